//! The result of one job of the demo.

use {crate::site::HttpReply, serde_json::Value, std::time::Duration};

/// Classification of the answer to a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Every task completed, each with its own output.
    Completed,
    /// The whole job is reported as failed.
    Failed,
    /// The job was refused, and nothing of it ran.
    Refused,
    /// The site was unavailable: the job may or may not run, and the caller may retry.
    Unavailable,
    /// The answer lacks a task, contains the output of another task or has an
    /// unexpected status.
    Invalid,
    /// No answer was received, or the job had not ended yet.
    Missing,
}

/// Result of one job of the demo.
#[derive(Clone, Debug)]
pub struct JobResult {
    /// Index of the job in the plan.
    pub number: usize,
    /// Verdict on the answer to the first submission.
    pub verdict: Verdict,
    /// Verdict on the answer to the resubmission; none if the job was not
    /// resubmitted.
    pub resubmission_verdict: Option<Verdict>,
    /// False if the two submissions got different answers.
    pub answers_agree: bool,
    /// Delay between the planned arrival and the first submission.
    pub sent_late: Duration,
    /// Time from the first submission to its answer.
    pub response_time: Duration,
}

impl Verdict {
    /// Classifies the reply to a job with `tasks` tasks.
    #[must_use]
    pub fn from_reply(reply: &HttpReply, contract: &str, key: &str, tasks: usize) -> Self {
        match reply.status {
            200 => judge_answer(&reply.body, contract, key, tasks),
            202 => Self::Missing,
            _ if reply.body["not_run"] == true => Self::Refused,
            503 => Self::Unavailable,
            _ => Self::Invalid,
        }
    }
}

/// Classifies the body of a reply with status 200.
fn judge_answer(body: &Value, contract: &str, key: &str, tasks: usize) -> Verdict {
    let answers = body["tasks"].as_array().map_or(&[][..], Vec::as_slice);
    if answers.len() != tasks {
        return Verdict::Invalid;
    }
    if body["status"] == "failed" {
        return Verdict::Failed;
    }
    let is_own = |(index, answer): (usize, &Value)| {
        let output = format!("done {contract}/{key}#{index}");
        answer["outcome"] == "completed" && answer["output"] == output
    };
    if body["status"] == "complete" && answers.iter().enumerate().all(is_own) {
        Verdict::Completed
    } else {
        Verdict::Invalid
    }
}
