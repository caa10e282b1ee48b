//! Reading request bodies up to a limit.

use ntex::{util::BytesMut, web::types::Payload};

/// How much of a body that is too long is read and discarded, as a multiple of
/// the limit.
///
/// If the connection closed while the caller still sends, the caller would see a
/// connection reset in place of the response.
const MAX_DISCARD_FACTOR: usize = 4;

/// Reads a whole body; returns none if it is longer than `limit` bytes, or if
/// its declared length is.
///
/// # Errors
/// Returns the reason if the body did not arrive completely.
pub async fn collect_body(
    mut payload: Payload,
    limit: usize,
    declared: usize,
) -> Result<Option<BytesMut>, String> {
    let mut buf = BytesMut::new();
    let mut read = 0;
    let mut is_too_long = declared > limit;
    while let Some(chunk) = payload.recv().await {
        let chunk = chunk.map_err(|e| e.to_string())?;
        read += chunk.len();
        is_too_long |= read > limit;
        if read > limit.saturating_mul(MAX_DISCARD_FACTOR) {
            break;
        }
        if is_too_long {
            buf.clear();
        } else {
            buf.extend_from_slice(&chunk);
        }
    }
    Ok((!is_too_long).then_some(buf))
}
