//! A problem of a configuration.

use {
    serde::Serialize,
    std::fmt::{self, Display, Formatter},
};

/// How much a problem matters.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// Processes refuse the configuration, or a part of it can never have an effect.
    Error,
    /// The configuration works, but hardly as intended.
    Warning,
}

impl Display for Severity {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str(match self {
            Self::Error => "error",
            Self::Warning => "warning",
        })
    }
}

/// A problem of a configuration, with its place.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ConfigProblem {
    /// How much it matters.
    pub severity: Severity,
    /// The entry and its field, such as `routes.letters.timeout`.
    pub place: String,
    /// What is wrong, and what follows from it.
    pub text: String,
}

impl ConfigProblem {
    /// Creates a problem that makes an entry, or all of it, useless.
    pub fn error(place: impl Into<String>, text: impl Into<String>) -> Self {
        Self {
            severity: Severity::Error,
            place: place.into(),
            text: text.into(),
        }
    }

    /// Creates a problem that leaves the entry in use.
    pub fn warning(place: impl Into<String>, text: impl Into<String>) -> Self {
        Self {
            severity: Severity::Warning,
            ..Self::error(place, text)
        }
    }
}

impl Display for ConfigProblem {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "{}: {}: {}", self.severity, self.place, self.text)
    }
}
