//! Progress indicator of commands that wait.

use {
    indicatif::ProgressBar,
    std::io::{IsTerminal, stderr},
};

/// Spinner with a message on standard error; hidden if standard error is not a
/// terminal.
#[derive(Debug)]
pub(crate) struct Spinner {
    bar: ProgressBar,
}

impl Spinner {
    /// Creates a spinner; the message names what the command waits for.
    pub(crate) fn new(message: impl Into<String>) -> Self {
        let bar = if stderr().is_terminal() {
            ProgressBar::new_spinner()
        } else {
            ProgressBar::hidden()
        };
        bar.set_message(message.into());
        Self { bar }
    }

    /// Draws the next frame.
    pub(crate) fn draw(&self) {
        self.bar.tick();
    }

    /// Clears the spinner from the terminal.
    pub(crate) fn close(self) {
        self.bar.finish_and_clear();
    }
}
