//! The border between the loops and the settings file.

use std::{fmt, net::SocketAddr, time::Duration};

/// What a process takes from its settings while it runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Reloaded {
    /// Addresses for links of entries that may exist.
    pub seeds: Vec<SocketAddr>,
    /// How long the process may go on after it is told to stop.
    pub grace: Duration,
}

/// The settings file, read again when the process is told that it changed.
pub trait SettingsFile: fmt::Debug {
    /// Reads and checks the file.
    ///
    /// # Errors
    /// Returns what is wrong with it; the earlier settings then stay.
    fn reload(&self) -> Result<Reloaded, String>;
}
