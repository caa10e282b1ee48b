//! Errors that prevent the agent from starting.

use {
    chestnutrun_observe::MetricsError, chestnutrun_settings::ConfError, std::net::SocketAddr,
    thiserror::Error,
};

/// Why the agent cannot start.
#[derive(Debug, Error)]
pub enum AgentError {
    /// The settings are not valid.
    #[error(transparent)]
    Conf(#[from] ConfError),
    /// The agent cannot listen on an address.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// The file with the site's token cannot be read.
    #[error("cannot read the file with the site's token: {0}")]
    Token(std::io::Error),
    /// The handler of SIGTERM or SIGINT cannot be installed.
    #[error("cannot install a signal handler: {0}")]
    Signal(std::io::Error),
    /// The HTTP client for the endpoint cannot be set up.
    #[error("cannot set up the HTTP client for the endpoint: {0}")]
    Client(String),
    /// The metrics cannot be set up.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
}
