//! Whether a request that has no answer was sent.

use ntex::client::error::{ClientError, ConnectError};

/// Whether nothing of a request was sent, so that it has no effect.
///
/// The client's library calls it a connect error without a cause, too, where
/// the peer closed the connection after the request was sent.
#[must_use]
pub fn was_not_sent(error: &ClientError) -> bool {
    match error {
        ClientError::Connect(ConnectError::Disconnected(cause)) => cause.is_some(),
        ClientError::Connect(_) => true,
        _ => false,
    }
}
