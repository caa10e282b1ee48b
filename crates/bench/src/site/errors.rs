//! Errors of starting a site on loopback and of requests to it.

use thiserror::Error;

/// Why a site could not be started or a request to it failed.
#[derive(Debug, Error)]
pub enum SiteError {
    /// An operation on a file, a socket or a process failed.
    #[error("{0}: {1}")]
    Io(String, std::io::Error),
    /// A process did not become ready in time.
    #[error("{0} did not become ready in time")]
    NotReady(String),
    /// A request to a URL failed or got no complete answer.
    #[error("no answer from {0}: {1}")]
    NoAnswer(String, String),
    /// A request to a path got an unexpected status or body.
    #[error("{0} answered with status {1}: {2}")]
    UnexpectedAnswer(String, u16, String),
}
