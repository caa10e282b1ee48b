//! Requests of callers and their results.

use {
    crate::{scenario::SubmitStep, site::HttpReply},
    serde_json::{Value, json},
};

/// One job as a caller submits it.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Id of the contract.
    pub contract: String,
    /// Idempotency key.
    pub key: String,
    /// Number of tasks.
    pub tasks: u16,
    /// Least length of each output, in bytes; a shorter output is padded.
    pub output_bytes: usize,
    /// Body of the request.
    pub body: Value,
}

/// Kind of a caller's request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// Submits a job.
    Submit,
    /// Requests the answer of a job.
    Ask,
    /// Cancels a job.
    Cancel,
}

/// The result of a caller's request.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// Name of the calls within the scenario.
    pub name: String,
    /// Kind of the request.
    pub kind: CallKind,
    /// The job that the request is about.
    pub submission: Submission,
    /// The answer; none if no answer was received or the caller disconnected.
    pub reply: Option<HttpReply>,
}

impl Submission {
    /// Builds the request for the job number `number` of a step.
    #[must_use]
    pub fn new(step: &SubmitStep, number: u32) -> Self {
        let input = json!({
            "run_ms": u64::try_from(step.run.as_millis()).unwrap_or(u64::MAX),
            "output_bytes": step.output_bytes,
            "fails": step.fails,
        });
        let task = json!({
            "kind": "honorific",
            "declared_run_time": format!("{}ms", step.run.as_millis().max(1)),
            "input": input.to_string(),
        });
        let tasks = vec![task; usize::from(step.tasks)];
        let deadline_in = format!("{}ms", step.deadline_in.as_millis());
        Self {
            contract: step.contract.clone(),
            key: format!("{}-{number}", step.keys_of.as_ref().unwrap_or(&step.name)),
            tasks: step.tasks,
            output_bytes: step.output_bytes,
            body: json!({"tasks": tasks, "deadline_in": deadline_in}),
        }
    }

    /// Returns the expected output of the job's task with this index.
    #[must_use]
    pub fn output(&self, index: usize) -> String {
        let mut output = format!("done {}/{}#{index}", self.contract, self.key);
        while output.len() < self.output_bytes {
            output.push('.');
        }
        output
    }
}

impl CallResult {
    /// Returns the status code, or 0 if there is no answer.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.reply.as_ref().map_or(0, |reply| reply.status)
    }

    /// Returns the body, or null if there is no answer.
    #[must_use]
    pub fn body(&self) -> &Value {
        self.reply
            .as_ref()
            .map_or(&Value::Null, |reply| &reply.body)
    }

    /// Returns whether the answer contains the outcomes of an ended job.
    #[must_use]
    pub fn is_answer(&self) -> bool {
        self.status() == 200 && self.body()["state"] == "ended"
    }

    /// Returns the name of each task's outcome, `none` for a task without one.
    #[must_use]
    pub fn outcomes(&self) -> Vec<String> {
        let tasks = self.body()["tasks"].as_array();
        let outcomes = tasks.into_iter().flatten();
        outcomes
            .map(|task| task["outcome"].as_str().unwrap_or("none").to_owned())
            .collect()
    }
}
