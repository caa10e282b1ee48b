//! Problem documents, as RFC 9457 defines them.

use {
    chestnutrun_types::{Refusal, RefusalReason},
    indexmap::IndexMap,
    ntex::{
        http::{StatusCode, header},
        web::HttpResponse,
    },
    serde::Serialize,
    serde_json::Value,
    std::time::SystemTime,
};

/// Prefix of every problem type.
const TYPE_PREFIX: &str = "urn:chestnutrun:problem:";

/// Media type of problem documents.
const MEDIA_TYPE: &str = "application/problem+json";

/// Value of `Retry-After`, in seconds, for a problem without `retry_at`.
const DEFAULT_RETRY_SECONDS: u64 = 1;

/// Problem document: the body of a response that reports an error.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// Type, a URN that programs can match.
    #[serde(rename = "type")]
    pub kind: String,
    /// Human-readable name of the type.
    pub title: String,
    /// HTTP status code of the response.
    pub status: u16,
    /// Description of what is wrong with this request.
    pub detail: String,
    /// Whether it is certain that no part of the request ran or will run.
    pub not_run: bool,
    /// Line of the error in the body, from 1; none if the error is elsewhere.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub line: Option<u32>,
    /// Column of the error in its line, from 1; none if the error is elsewhere.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub column: Option<u32>,
    /// Further members, which only some problem types have.
    #[serde(flatten)]
    pub extra: Box<IndexMap<&'static str, Value>>,
    /// Earliest moment at which a retry can succeed; sent as `Retry-After`.
    #[serde(skip)]
    pub retry_at: Option<SystemTime>,
}

impl Problem {
    /// Creates the problem of a request that did not run.
    #[must_use]
    pub fn new(status: StatusCode, name: &str, detail: impl Into<String>) -> Self {
        Self {
            kind: format!("{TYPE_PREFIX}{name}"),
            title: name.replace('-', " "),
            status: status.as_u16(),
            detail: detail.into(),
            not_run: true,
            line: None,
            column: None,
            extra: Box::default(),
            retry_at: None,
        }
    }

    /// Clears `not_run`: a part of the request may have run.
    #[must_use]
    pub fn maybe_run(mut self) -> Self {
        self.not_run = false;
        self
    }

    /// Sets the line and column of the error in the body, both counted from 1.
    #[must_use]
    pub fn at(mut self, line: usize, column: usize) -> Self {
        self.line = u32::try_from(line).ok();
        self.column = u32::try_from(column).ok();
        self
    }

    /// Adds a member that only this problem type has.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl Into<Value>) -> Self {
        self.extra.insert(name, value.into());
        self
    }

    /// Creates the problem of a refused submission, which did not run.
    #[must_use]
    pub fn refused(refusal: &Refusal) -> Self {
        let (status, name, detail) = describe_refusal(refusal.reason);
        let mut problem = Self::new(status, name, detail);
        problem.retry_at = refusal.retry_at;
        problem
    }

    /// Creates the problem of a request whose outcome cannot be determined now.
    #[must_use]
    pub fn unavailable(refusal: &Refusal) -> Self {
        let mut problem = Self::refused(refusal);
        problem.status = StatusCode::SERVICE_UNAVAILABLE.as_u16();
        problem.not_run = false;
        problem
    }

    /// Creates the HTTP response with this document as its body.
    #[must_use]
    pub fn response(&self) -> HttpResponse {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_REQUEST);
        let mut builder = HttpResponse::build(status);
        builder.content_type(MEDIA_TYPE);
        if self.status == StatusCode::UNAUTHORIZED.as_u16() {
            builder.header(header::WWW_AUTHENTICATE, "Bearer");
        }
        if self.may_retry() {
            builder.header(header::RETRY_AFTER, self.retry_seconds().to_string());
        }
        builder.body(serde_json::to_string(self).unwrap_or_default())
    }

    fn may_retry(&self) -> bool {
        self.status == StatusCode::SERVICE_UNAVAILABLE.as_u16() || self.retry_at.is_some()
    }

    fn retry_seconds(&self) -> u64 {
        let left = self
            .retry_at
            .and_then(|at| at.duration_since(SystemTime::now()).ok());
        left.map_or(DEFAULT_RETRY_SECONDS, |left| left.as_secs().max(1))
    }
}

/// Returns the response to a request for an unknown path.
pub(crate) fn not_found() -> HttpResponse {
    let detail = "there is no such path";
    Problem::new(StatusCode::NOT_FOUND, "not-found", detail).response()
}

/// Returns the response to a request whose method the path does not support. `allowed`
/// names the supported methods.
pub(crate) fn method_not_allowed(allowed: &'static str) -> HttpResponse {
    let detail = format!("this path takes {allowed}");
    let problem = Problem::new(StatusCode::METHOD_NOT_ALLOWED, "method-not-allowed", detail);
    let mut res = problem.response();
    let value = header::HeaderValue::from_static(allowed);
    res.headers_mut().insert(header::ALLOW, value);
    res
}

fn describe_refusal(reason: RefusalReason) -> (StatusCode, &'static str, &'static str) {
    use RefusalReason as R;
    match reason {
        R::UnknownContract => (
            StatusCode::NOT_FOUND,
            "unknown-contract",
            "the contract does not exist",
        ),
        R::OverLimit => (
            StatusCode::TOO_MANY_REQUESTS,
            "over-limit",
            "the contract is at its limit and does not queue",
        ),
        R::QueueFull => (
            StatusCode::TOO_MANY_REQUESTS,
            "queue-full",
            "the contract's queue is full",
        ),
        R::DeadlineTooNear => (
            StatusCode::UNPROCESSABLE_ENTITY,
            "deadline-too-near",
            "the deadline leaves no time to run",
        ),
        R::KeyReused => (
            StatusCode::CONFLICT,
            "key-reused",
            "the key belongs to a submission with another body",
        ),
        R::NoOwner => (
            StatusCode::SERVICE_UNAVAILABLE,
            "no-owner",
            "no entry owns the shard at the moment",
        ),
        R::TakingOver => (
            StatusCode::SERVICE_UNAVAILABLE,
            "taking-over",
            "the shard's new owner is reading records",
        ),
        R::NeverRunnable => (
            StatusCode::UNPROCESSABLE_ENTITY,
            "never-runnable",
            "no endpoint can ever run this job",
        ),
        R::Stopping => (
            StatusCode::SERVICE_UNAVAILABLE,
            "stopping",
            "the entry is stopping",
        ),
        R::RetriesExhausted => (
            StatusCode::SERVICE_UNAVAILABLE,
            "retries-exhausted",
            "no endpoint took the task within the retry budget",
        ),
    }
}
