//! Requests of callers of the product's own interface.

use crate::crowd::{ClientRequests, OWN_ID};

/// Most tasks of a job.
const MAX_TASKS: usize = 170;

/// A task that ends soon.
const TASK: &str = r#"{"kind":"stamp","declared_run_time":"1ms","input":"{\"run_ms\":1}"}"#;

/// Requests of callers with one contract.
#[derive(Clone, Debug)]
pub struct OwnRequests {
    contract: String,
    token: String,
    longest_body: usize,
}

impl OwnRequests {
    /// Creates the requests under a contract, with the token of its customer and the
    /// longest body that the entry accepts, in bytes.
    #[must_use]
    pub fn new(contract: impl Into<String>, token: impl Into<String>, longest_body: usize) -> Self {
        Self {
            contract: contract.into(),
            token: token.into(),
            longest_body,
        }
    }

    /// Returns the head of a request to a path below the contract's jobs, without the
    /// line that ends it.
    fn head(&self, method: &str, path: &str) -> String {
        format!(
            "{method} /v1/contracts/{}/jobs{path} HTTP/1.1\r\nHost: entry.example\r\n\
             Authorization: Bearer {}\r\n",
            self.contract, self.token
        )
    }
}

impl ClientRequests for OwnRequests {
    fn submission_head(&self) -> String {
        let head = self.head("POST", "");
        format!("{head}Idempotency-Key: {OWN_ID}\r\nContent-Type: application/json\r\n")
    }

    fn job(&self) -> String {
        format!(r#"{{"tasks":[{TASK}]}}"#)
    }

    fn wide_job(&self) -> String {
        format!(r#"{{"tasks":[{}]}}"#, [TASK; MAX_TASKS].join(","))
    }

    fn open_head(&self) -> String {
        self.head("GET", "/nothing")
    }

    fn page(&self) -> String {
        self.head("GET", "/nothing") + "\r\n"
    }

    fn cancel(&self) -> String {
        self.head("DELETE", "/nothing") + "\r\n"
    }

    fn longest_body(&self) -> usize {
        self.longest_body
    }
}
