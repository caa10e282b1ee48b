//! The text of a scenario's run, which is the same for every successful run.

use std::fmt::{self, Display, Formatter};

/// The text of a scenario's run, to compare with its golden file.
#[derive(Clone, Debug, Default)]
pub struct Transcript {
    lines: Vec<String>,
}

impl Transcript {
    /// Appends a line.
    pub fn push_line(&mut self, text: impl Into<String>) {
        self.lines.push(text.into());
    }
}

impl Display for Transcript {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            writeln!(f, "{line}")?;
        }
        Ok(())
    }
}
