//! Settings of the log.

use {
    log::LevelFilter,
    serde::{Deserialize, Serialize},
};

/// Level of the log: messages of this and of more severe levels are logged.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Nothing is logged.
    Off,
    /// Broken invariants and loss of service.
    Error,
    /// Conditions that an operator should look into.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Each request.
    Debug,
    /// Each message.
    Trace,
}

/// Settings of the log.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogConf {
    /// Least severe level that is logged.
    pub level: LogLevel,
}

impl From<LogLevel> for LevelFilter {
    fn from(level: LogLevel) -> Self {
        match level {
            LogLevel::Off => Self::Off,
            LogLevel::Error => Self::Error,
            LogLevel::Warn => Self::Warn,
            LogLevel::Info => Self::Info,
            LogLevel::Debug => Self::Debug,
            LogLevel::Trace => Self::Trace,
        }
    }
}
