//! Errors of the loops.

use {std::io, thiserror::Error};

/// Why a loop cannot run.
#[derive(Debug, Error)]
pub enum DispatchError {
    /// The handler of SIGTERM or SIGHUP cannot be installed.
    #[error("cannot install a signal handler: {0}")]
    Signal(io::Error),
}
