//! Errors of links.

use {chestnutrun_protocol::CodecError, thiserror::Error};

/// Why a link ended or did not open.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The TCP connection failed.
    #[error("connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// The websocket failed, or the peer refused the handshake.
    #[error("websocket failed: {0}")]
    WebSocket(Box<tokio_tungstenite::tungstenite::Error>),
    /// A message could not be encoded, or a frame was not a valid message.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The peer did not connect, answer or accept data within the time limit.
    #[error("peer did not respond in time")]
    Silent,
    /// The peer's first message was not a hello, or the site token cannot be sent
    /// in a header.
    #[error("peer did not send a hello as its first message")]
    NoHello,
    /// The link was closed for a newer one before its peer had proved that it belongs to
    /// the site.
    #[error("peer did not prove in time that it belongs to the site, and others wait")]
    Yielded,
    /// The peer closed the link.
    #[error("peer closed the link")]
    Closed,
}

impl From<tokio_tungstenite::tungstenite::Error> for LinkError {
    fn from(error: tokio_tungstenite::tungstenite::Error) -> Self {
        Self::WebSocket(Box::new(error))
    }
}
