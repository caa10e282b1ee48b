//! Body of a response about a job: its state and answer.

use {
    chestnutrun_types::{JobAnswer, JobRef, JobStatus, RefusalReason, TaskAnswer, TaskOutcome},
    serde::{Deserialize, Serialize},
};

/// State of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// The owner of the shard has recorded the job; its answer is pending.
    Accepted,
    /// Every task has ended.
    Ended,
}

/// Outcome of one task of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum TaskPage {
    /// The task ran once and completed.
    Completed {
        /// Output that the endpoint returned.
        output: String,
    },
    /// The task ran, and the endpoint reported an error.
    FailedWhileRunning {
        /// Error that the endpoint reported.
        error: String,
    },
    /// The task did not run and never will.
    NotRun {
        /// Why the task did not run.
        reason: RefusalReason,
    },
    /// The task may have run; no record proves whether it did.
    OutcomeUnknown,
    /// The task was cancelled before it started.
    Cancelled,
    /// The job's deadline passed before the task started.
    DeadlinePassed,
}

/// State of a job and, once the job has ended, its complete answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobPage {
    /// Contract of the job.
    pub contract: String,
    /// Key of the job, which the caller chose.
    pub key: String,
    /// Whether the job has ended.
    pub state: JobState,
    /// Whether all tasks completed; none until the job has ended.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub status: Option<JobStatus>,
    /// Outcome of each task, in the order of the submission; none until the job has
    /// ended.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tasks: Option<Vec<TaskPage>>,
}

impl JobPage {
    /// Creates the page of an accepted job that has not ended.
    #[must_use]
    pub fn accepted(job: &JobRef) -> Self {
        Self {
            contract: job.contract.to_string(),
            key: job.key.to_string(),
            state: JobState::Accepted,
            status: None,
            tasks: None,
        }
    }

    /// Creates the page of a job that has ended.
    #[must_use]
    pub fn ended(job: &JobRef, answer: JobAnswer) -> Self {
        let tasks = answer.tasks.into_iter().map(TaskPage::from).collect();
        Self {
            state: JobState::Ended,
            status: Some(answer.status),
            tasks: Some(tasks),
            ..Self::accepted(job)
        }
    }
}

impl From<TaskAnswer> for TaskPage {
    fn from(answer: TaskAnswer) -> Self {
        match answer.outcome {
            TaskOutcome::Completed(output) => Self::Completed { output },
            TaskOutcome::FailedWhileRunning(error) => Self::FailedWhileRunning { error },
            TaskOutcome::NotRun(reason) => Self::NotRun { reason },
            TaskOutcome::OutcomeUnknown => Self::OutcomeUnknown,
            TaskOutcome::Cancelled => Self::Cancelled,
            TaskOutcome::DeadlinePassed => Self::DeadlinePassed,
        }
    }
}
