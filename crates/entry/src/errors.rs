//! Errors that prevent the entry from starting.

use {
    chestnutrun_net::TlsError,
    chestnutrun_observe::MetricsError,
    chestnutrun_settings::{ByteSize, ConfError},
    std::{net::SocketAddr, path::PathBuf},
    thiserror::Error,
};

/// Why the entry cannot start.
#[derive(Debug, Error)]
pub enum EntryError {
    /// The settings are not valid.
    #[error(transparent)]
    Conf(#[from] ConfError),
    /// The longest body takes more memory than there is for bodies.
    #[error(
        "limits.body_size: {body_size} does not fit the memory of the machine, which has room \
         for bodies of {longest} bytes; lower it or raise machine.memory"
    )]
    NoMemoryForBody {
        /// Longest body of the settings.
        body_size: ByteSize,
        /// Longest body that can be admitted, in bytes.
        longest: usize,
    },
    /// The entry cannot listen on an address.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// A file with a token cannot be read.
    #[error("cannot read the token file {path}: {source}", path = .0.display(), source = .1)]
    Token(PathBuf, std::io::Error),
    /// A token is too short to be a secret.
    #[error("the token in {path} is too short; it needs 16 characters or more", path = .0.display())]
    ShortToken(PathBuf),
    /// A TLS certificate or its key is not usable.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// The handler of SIGTERM or SIGINT cannot be installed.
    #[error("cannot install a signal handler: {0}")]
    Signal(std::io::Error),
    /// The HTTP client for the table cannot be set up.
    #[error("cannot set up the HTTP client for the table: {0}")]
    Client(String),
    /// The metrics cannot be set up.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
}
