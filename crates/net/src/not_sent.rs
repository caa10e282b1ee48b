//! Determines whether an HTTP request that got no answer was sent at all.

use ntex::client::error::{ClientError, ConnectError};

/// Returns whether nothing of a request was sent, so that it had no effect.
///
/// Not every connect error proves this: if the peer closes the connection after
/// the request was sent, the client library reports `Disconnected` without a
/// cause.
#[must_use]
pub fn was_not_sent(error: &ClientError) -> bool {
    match error {
        ClientError::Connect(ConnectError::Disconnected(cause)) => cause.is_some(),
        ClientError::Connect(_) => true,
        _ => false,
    }
}
