//! Interface between the loops and the settings file.

use {
    crate::{entry_dialers::EntryDialers, recorder::Recorder},
    std::{fmt, net::SocketAddr, time::Duration},
};

/// Settings that a running process applies when it reloads its settings file.
#[derive(Clone, Debug, PartialEq)]
pub struct ReloadedSettings {
    /// Link addresses at which entries may run.
    pub seeds: Vec<SocketAddr>,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
}

/// The settings file, which the process reloads on SIGHUP.
pub trait SettingsFile: fmt::Debug {
    /// Reads and checks the file.
    ///
    /// # Errors
    /// Returns a message if the file is invalid; the process then keeps its settings.
    fn reload(&self) -> Result<ReloadedSettings, String>;
}

/// Reloads the settings file and dials new seeds; an invalid file changes nothing.
///
/// Returns the new grace period; none if the file is invalid.
pub(crate) fn reload_settings(
    settings: &dyn SettingsFile,
    dialers: &mut EntryDialers,
    recorder: &mut Recorder,
    held: usize,
) -> Option<Duration> {
    match settings.reload() {
        Ok(reloaded) => {
            dialers.dial_seeds(&reloaded.seeds);
            recorder.record_process("reloaded", held);
            Some(reloaded.grace)
        }
        Err(error) => {
            log::error!(
                "rejected the changed settings file and kept the earlier settings: {error}"
            );
            recorder.record_process("settings-refused", held);
            None
        }
    }
}
