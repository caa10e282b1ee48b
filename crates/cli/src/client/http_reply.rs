//! The answer of a server to a request.

use {
    crate::{CliError, client::Problem},
    serde_json::Value,
};

/// The answer of a server to a request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct HttpReply {
    /// HTTP status code.
    pub(crate) status: u16,
    /// Body as received.
    pub(crate) body: Vec<u8>,
    /// Value of the `Retry-After` header, if the server sent one.
    pub(crate) retry_after: Option<String>,
}

/// Lowest status code of an error.
const MIN_ERROR_STATUS: u16 = 400;

impl HttpReply {
    /// Parses the body as JSON; if the status is an error, returns the problem instead.
    pub(crate) fn json(self) -> Result<Value, CliError> {
        if self.status >= MIN_ERROR_STATUS {
            return Err(CliError::Problem(Box::new(self.problem())));
        }
        serde_json::from_slice(&self.body)
            .map_err(|error| CliError::Invalid(format!("the answer is not valid JSON: {error}")))
    }

    /// Parses the body as a problem document; any other body becomes the problem's
    /// detail.
    fn problem(self) -> Problem {
        let mut problem: Problem = serde_json::from_slice(&self.body).unwrap_or_default();
        problem.status = self.status;
        problem.retry_after = self.retry_after;
        if problem.detail.is_empty() {
            problem.detail = String::from_utf8_lossy(&self.body).into_owned();
        }
        problem
    }
}
