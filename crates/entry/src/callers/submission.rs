//! Reads a submission from an HTTP request.

use {
    crate::{
        job_body::JobBody,
        problem::Problem,
        request_body::{no_memory, read_body},
    },
    chestnutrun_net::RequestService,
    chestnutrun_settings::RequestLimits,
    chestnutrun_types::{JobError, JobRef, JobSpec, Submit},
    ntex::{
        http::StatusCode,
        web::{HttpRequest, types::Payload},
    },
    std::time::SystemTime,
    xxhash_rust::xxh3::xxh3_128,
};

/// Header with the key that identifies a job, which the caller chose.
const KEY_HEADER: &str = "idempotency-key";

/// Header with the number of times that the caller has submitted this key.
const ATTEMPT_HEADER: &str = "submission-attempt";

/// Value of [`ATTEMPT_HEADER`] in the first submission of a key.
const FIRST_ATTEMPT: &str = "1";

/// Reads a submission. If this returns a problem, no part of the request ran.
///
/// The body is read before the headers are checked: a connection with an unread
/// body cannot be reused.
pub(crate) async fn read_submission(
    req: &HttpRequest,
    contract: &str,
    payload: Payload,
    service: &RequestService,
    limits: &RequestLimits,
) -> Result<Submit, Problem> {
    let buf = read_body(req, payload, service, limits).await;
    let key = idempotency_key(req)?;
    let may_be_older = header_text(req, ATTEMPT_HEADER) != Some(FIRST_ATTEMPT);
    let buf = buf?;
    let body: JobBody = parse_json(&buf)?;
    let spec = body
        .into_spec(SystemTime::now())
        .map_err(|error| bad_request("bad-deadline", error.to_string()))?;
    spec.check().map_err(|error| bad_job(&error))?;
    let submit = Submit {
        job: JobRef {
            contract: contract.into(),
            key: key.into(),
        },
        spec,
        digest: xxh3_128(&buf),
        may_be_older,
        wants_receipt: false,
    };
    if service.hold(held_bytes(&submit, buf.len())) {
        Ok(submit)
    } else {
        Err(no_memory("there is no memory for the job at the moment"))
    }
}

/// Returns the memory that a job takes while its caller waits, in bytes, from the length of
/// its body.
fn held_bytes(submit: &Submit, body: usize) -> usize {
    body + size_of_val(submit.spec.tasks.as_slice())
}

/// Parses a JSON body; a problem names the line and column of the error.
pub(crate) fn parse_json<T: serde::de::DeserializeOwned>(buf: &[u8]) -> Result<T, Problem> {
    let text =
        std::str::from_utf8(buf).map_err(|error| bad_request("bad-utf8", error.to_string()))?;
    serde_json::from_str(text).map_err(|error| {
        let name = if error.is_data() {
            "bad-field"
        } else {
            "bad-json"
        };
        bad_request(name, error.to_string()).at(error.line(), error.column())
    })
}

fn idempotency_key(req: &HttpRequest) -> Result<&str, Problem> {
    let value = req.headers().get(KEY_HEADER);
    let value =
        value.ok_or_else(|| bad_request("key-missing", "the header Idempotency-Key is missing"))?;
    let key = value.to_str().unwrap_or_default();
    JobSpec::check_key(key).map_err(|error| bad_job(&error))?;
    Ok(key)
}

fn header_text<'a>(req: &'a HttpRequest, name: &str) -> Option<&'a str> {
    req.headers().get(name).and_then(|v| v.to_str().ok())
}

/// Returns the problem of a job that is not valid.
pub(crate) fn bad_job(error: &JobError) -> Problem {
    let name = match error {
        JobError::NoTask => "no-task",
        JobError::TooManyTasks(_) => "too-many-tasks",
        JobError::BadKey => "bad-key",
        JobError::EmptyKind(_) => "bad-task",
    };
    bad_request(name, error.to_string())
}

fn bad_request(name: &str, detail: impl Into<String>) -> Problem {
    Problem::new(StatusCode::BAD_REQUEST, name, detail)
}
