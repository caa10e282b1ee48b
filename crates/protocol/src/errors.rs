//! Errors of the protocol.

use thiserror::Error;

/// Why a message could not be encoded or decoded.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The frame is longer than the protocol allows.
    #[error("frame of {0} bytes is longer than {max} bytes", max = crate::MAX_FRAME_BYTES)]
    TooLong(usize),
    /// The message could not be encoded, for this reason.
    #[error("message cannot be encoded: {0}")]
    Encode(String),
    /// The frame is not a valid message, for this reason.
    #[error("frame is not a valid message: {0}")]
    Decode(String),
}
