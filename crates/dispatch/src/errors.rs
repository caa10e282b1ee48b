//! Errors of the loops.

use {std::io, thiserror::Error};

/// Why a loop cannot run.
#[derive(Debug, Error)]
pub enum DispatchError {
    /// A signal cannot be listened for.
    #[error("signals cannot be listened for: {0}")]
    Signal(io::Error),
}
