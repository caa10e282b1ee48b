//! Errors of the table's client.

use thiserror::Error;

/// Why a request to the table failed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum TableError {
    /// The table could not be reached, or its answer did not arrive in time.
    #[error("table cannot be reached: {0}")]
    Unreachable(String),
    /// The table answered with this HTTP error status.
    #[error("table answered with status {0}")]
    Status(u16),
    /// The answer or a row in it does not have the expected form.
    #[error("table's answer is not valid: {0}")]
    Answer(String),
}
