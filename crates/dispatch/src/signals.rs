//! Signals that a process handles.

use {
    crate::DispatchError,
    tokio::signal::unix::{Signal, SignalKind, signal},
};

/// Signals that a process handles. Until they are installed, each of them ends the process.
#[derive(Debug)]
pub struct Signals {
    /// SIGTERM: shut down.
    pub(crate) terminate: Signal,
    /// SIGHUP: read the settings again.
    pub(crate) hang_up: Signal,
}

impl Signals {
    /// Installs the handlers; call it before anything else.
    ///
    /// # Errors
    /// Returns an error if a handler cannot be installed.
    pub fn install() -> Result<Self, DispatchError> {
        let install = |kind| signal(kind).map_err(DispatchError::Signal);
        Ok(Self {
            terminate: install(SignalKind::terminate())?,
            hang_up: install(SignalKind::hangup())?,
        })
    }
}
