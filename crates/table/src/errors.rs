//! Errors of the table's client.

use thiserror::Error;

/// Why the table gave no answer.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum TableError {
    /// No connection, or none in time.
    #[error("table cannot be reached: {0}")]
    Unreachable(String),
    /// The table answered with an error.
    #[error("table answered with status {0}")]
    Status(u16),
    /// The answer makes no sense.
    #[error("table's answer is not valid: {0}")]
    Answer(String),
}
