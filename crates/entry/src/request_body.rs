//! Reads request bodies within limits of size, time and memory.

use {
    crate::problem::Problem,
    chestnutrun_net::{BodyFault, BodyLimits, RequestService, SharedIntake, collect_body},
    chestnutrun_settings::RequestLimits,
    ntex::{
        http::StatusCode,
        web::{HttpRequest, HttpResponse, types::Payload},
    },
    std::time::Duration,
};

/// Limits of a body that is read and dropped.
const DISCARD_LIMITS: BodyLimits = BodyLimits {
    max_bytes: 1024 * 1024,
    timeout: Duration::from_secs(1),
};

/// Reads a whole body. If this returns a problem, no part of the request ran.
pub(crate) async fn read_body(
    req: &HttpRequest,
    payload: Payload,
    service: &RequestService,
    limits: &RequestLimits,
) -> Result<Vec<u8>, Problem> {
    let body_limits = BodyLimits {
        max_bytes: limits.body_size.bytes(),
        timeout: limits.body_timeout,
    };
    let body = collect_body(req, payload, body_limits, service).await;
    body.map_err(|fault| body_problem(&fault, limits))
}

/// Reads and drops a body, so that the connection can be reused. If the body exceeds a
/// limit, the connection is closed after the response.
pub(crate) async fn discard_body(req: &HttpRequest, payload: Payload, service: &RequestService) {
    chestnutrun_net::discard_body(req, payload, DISCARD_LIMITS, service).await;
}

/// Reads and drops the body of a request that is refused without it, and returns the
/// response.
pub(crate) async fn refuse_unread(
    req: &HttpRequest,
    payload: Payload,
    intake: &SharedIntake,
    res: HttpResponse,
) -> HttpResponse {
    let service = intake.begin(req.io());
    discard_body(req, payload, &service).await;
    service.close();
    res
}

/// Returns the problem of a submission that was not accepted for want of memory.
pub(crate) fn no_memory(detail: impl Into<String>) -> Problem {
    Problem::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "no-memory-for-body",
        detail,
    )
}

fn body_problem(fault: &BodyFault, limits: &RequestLimits) -> Problem {
    match fault {
        BodyFault::TooLong => Problem::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body-too-long",
            format!("a body has at most {}", limits.body_size),
        ),
        BodyFault::TooSlow => Problem::new(
            StatusCode::REQUEST_TIMEOUT,
            "body-too-slow",
            fault.to_string(),
        ),
        BodyFault::NoBytes => no_memory(fault.to_string()),
        BodyFault::LongLine => Problem::new(
            StatusCode::BAD_REQUEST,
            "chunk-line-too-long",
            fault.to_string(),
        ),
        BodyFault::Broken(detail) => {
            Problem::new(StatusCode::BAD_REQUEST, "body-cut-off", detail.clone())
        }
    }
}
