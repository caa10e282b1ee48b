//! Errors of the command line.

use {
    crate::{Outcome, client::Problem},
    chestnutrun_settings::ConfError,
    std::path::PathBuf,
    thiserror::Error,
};

/// Error of a command.
#[derive(Debug, Error)]
pub enum CliError {
    /// The settings file cannot be read or is not valid.
    #[error(transparent)]
    Conf(#[from] ConfError),
    /// A required option or setting was not given.
    #[error("{0}")]
    Missing(&'static str),
    /// A file could not be read or written.
    #[error("{path}: {source}", path = .path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A value or an answer is not valid.
    #[error("{0}")]
    Invalid(String),
    /// No complete answer arrived.
    #[error("no answer from {url}: {reason}")]
    NoAnswer {
        /// URL of the request.
        url: String,
        /// Error of the HTTP client.
        reason: String,
    },
    /// The server answered with a problem document.
    #[error("{0}")]
    Problem(Box<Problem>),
}

/// Name of the problem type for a change that conflicts with a newer change.
const CONFLICT: &str = "conflict";

impl CliError {
    /// Returns the exit code, which says what is certain about the request.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Conf(_) | Self::Missing(_) | Self::File { .. } | Self::Invalid(_) => {
                Outcome::WrongUsage
            }
            Self::Problem(problem) if problem.name() == CONFLICT => Outcome::Conflict,
            Self::Problem(problem) if problem.is_refusal() => Outcome::Refused,
            Self::NoAnswer { .. } | Self::Problem(_) => Outcome::Unknown,
        }
    }
}
