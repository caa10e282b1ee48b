//! Reads request bodies within limits of size and time.

use {
    crate::problem::Problem,
    chestnutrun_net::collect_body,
    chestnutrun_settings::RequestLimits,
    ntex::{
        http::{StatusCode, header},
        util::BytesMut,
        web::{HttpRequest, types::Payload},
    },
    std::time::Duration,
    tokio::time::timeout,
};

/// Longest body that is read and discarded, in bytes.
const MAX_DISCARDED_BYTES: usize = 1024 * 1024;

/// How long a discarded body may take to arrive.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads a whole body. If this returns a problem, no part of the request ran.
pub(crate) async fn read_body(
    req: &HttpRequest,
    payload: Payload,
    limits: &RequestLimits,
) -> Result<BytesMut, Problem> {
    let declared = content_length(req).unwrap_or_default();
    let reading = collect_body(payload, limits.body_size.bytes(), declared);
    match timeout(limits.body_timeout, reading).await {
        Ok(Ok(Some(buf))) => Ok(buf),
        Ok(Ok(None)) => Err(body_too_long(limits)),
        Ok(Err(detail)) => Err(Problem::new(
            StatusCode::BAD_REQUEST,
            "body-cut-off",
            detail,
        )),
        Err(_) => Err(Problem::new(
            StatusCode::REQUEST_TIMEOUT,
            "body-too-slow",
            "the body did not arrive in time",
        )),
    }
}

/// Reads and discards a body, so that the connection can be reused.
pub(crate) async fn discard_body(payload: Payload) {
    // If the body exceeds a limit, the connection is closed after the response.
    let _ = timeout(
        DISCARD_TIMEOUT,
        collect_body(payload, MAX_DISCARDED_BYTES, 0),
    )
    .await;
}

fn body_too_long(limits: &RequestLimits) -> Problem {
    Problem::new(
        StatusCode::PAYLOAD_TOO_LARGE,
        "body-too-long",
        format!("a body has at most {}", limits.body_size),
    )
}

fn content_length(req: &HttpRequest) -> Option<usize> {
    let value = req.headers().get(header::CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}
