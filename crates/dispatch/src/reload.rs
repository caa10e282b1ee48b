//! Interface between the loops and the settings file.

use {
    crate::recorder::Recorder,
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

/// Reloads the settings file; returns none if the file is invalid, which changes
/// nothing.
pub(crate) fn reload_settings(
    settings: &dyn SettingsFile,
    recorder: &mut Recorder,
    held: usize,
) -> Option<ReloadedSettings> {
    match settings.reload() {
        Ok(reloaded) => {
            recorder.record_process("reloaded", held);
            Some(reloaded)
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
