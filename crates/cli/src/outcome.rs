//! Exit codes of commands.

use std::process::ExitCode;

/// How a command ended; the number is its exit code.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Outcome {
    /// The command succeeded.
    Done = 0,
    /// The job ended, but not every task completed.
    JobFailed = 1,
    /// Arguments, settings or a file are wrong; nothing was sent.
    WrongUsage = 2,
    /// The server refused the request; the message says if it is certain that nothing
    /// ran or changed.
    Refused = 3,
    /// Another change was made first; nothing was written.
    Conflict = 4,
    /// No answer arrived, or the answer leaves open what happened: ask again.
    Unknown = 5,
    /// The job has not ended; its result can be requested later.
    JobPending = 6,
}

impl From<Outcome> for ExitCode {
    fn from(outcome: Outcome) -> Self {
        Self::from(outcome as u8)
    }
}
