//! Reads bodies of requests within limits.

use ntex::{util::BytesMut, web::types::Payload};

/// Most that is read of a body beyond its limit, as a multiple of the limit,
/// so that the caller gets the response rather than a reset connection.
const MAX_DISCARDED_BODIES: usize = 4;

/// Collects a body; returns none where it is longer than `limit`, or declared
/// to be.
///
/// # Errors
/// Returns what went wrong where the body did not arrive whole.
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
        if read > limit.saturating_mul(MAX_DISCARDED_BODIES) {
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
