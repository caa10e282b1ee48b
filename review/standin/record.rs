//! The record of a case: what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::Mutex,
    time::{Duration, Instant},
};

/// Writes lines with the time since the start of the case.
pub struct Record {
    begin: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            begin: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    /// Returns the time since the start of the case.
    pub fn now(&self) -> Duration {
        self.begin.elapsed()
    }

    /// Returns a moment as the time since the start of the case.
    pub fn at(&self, moment: Instant) -> Duration {
        moment.saturating_duration_since(self.begin)
    }

    /// Writes a line and returns its time.
    pub fn line(&self, text: &str) -> Duration {
        let mut file = self.file.lock().unwrap();
        let at = self.now();
        let _ = writeln!(file, "{:9.4}  {text}", at.as_secs_f64());
        at
    }
}
