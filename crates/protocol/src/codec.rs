//! CBOR encoding of messages.

use crate::{CodecError, Message};

/// Longest encoded message, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Deepest nesting of values that the decoder accepts.
const MAX_DEPTH: usize = 32;

/// Encodes a message as one frame.
///
/// # Errors
/// Returns an error if the encoded message is longer than [`MAX_FRAME_BYTES`].
pub fn encode(message: &Message) -> Result<Vec<u8>, CodecError> {
    let mut buf = Vec::new();
    ciborium::into_writer(message, &mut buf).map_err(|e| CodecError::Encode(e.to_string()))?;
    if buf.len() > MAX_FRAME_BYTES {
        return Err(CodecError::TooLong(buf.len()));
    }
    Ok(buf)
}

/// Decodes the message in a frame.
///
/// # Errors
/// Returns an error if the frame is too long or is not a valid message.
pub fn decode(buf: &[u8]) -> Result<Message, CodecError> {
    if buf.len() > MAX_FRAME_BYTES {
        return Err(CodecError::TooLong(buf.len()));
    }
    ciborium::de::from_reader_with_recursion_limit(buf, MAX_DEPTH)
        .map_err(|e| CodecError::Decode(e.to_string()))
}
