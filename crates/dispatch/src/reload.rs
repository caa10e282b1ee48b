//! The border between the loops and the settings file.

use {
    crate::{entry_dialers::EntryDialers, recorder::Recorder},
    std::{fmt, net::SocketAddr, time::Duration},
};

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

/// Takes what may change of the settings; bad ones leave all as it is.
///
/// Returns the new grace.
pub(crate) fn reload(
    settings: &dyn SettingsFile,
    dialers: &mut EntryDialers,
    recorder: &mut Recorder,
    held: usize,
) -> Option<Duration> {
    match settings.reload() {
        Ok(reloaded) => {
            dialers.dial_seeds(&reloaded.seeds);
            recorder.process("reloaded", held);
            Some(reloaded.grace)
        }
        Err(error) => {
            log::error!("settings stay as they are: {error}");
            recorder.process("settings-refused", held);
            None
        }
    }
}
