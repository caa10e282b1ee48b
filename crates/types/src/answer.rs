//! Answers to callers.

use {
    crate::RefusalReason,
    serde::{Deserialize, Serialize},
};

/// Outcome of one task, as reported to the caller.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskOutcome {
    /// The task ran once and returned this output.
    Completed(String),
    /// The task ran, and the endpoint reported this error.
    FailedWhileRunning(String),
    /// The task did not run and never will, for this reason.
    NotRun(RefusalReason),
    /// The task may have run; no record proves either case.
    OutcomeUnknown,
    /// The task was cancelled before it started.
    Cancelled,
    /// The job's deadline passed before the task started.
    DeadlinePassed,
}

impl TaskOutcome {
    /// Returns whether the outcome guarantees that the task did not run.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        matches!(
            self,
            Self::NotRun(_) | Self::Cancelled | Self::DeadlinePassed
        )
    }

    /// Returns whether the task completed.
    #[must_use]
    pub fn is_completed(&self) -> bool {
        matches!(self, Self::Completed(_))
    }
}

/// The answer for one task of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskAnswer {
    /// How the task ended.
    pub outcome: TaskOutcome,
}

/// Combined result of all tasks of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobStatus {
    /// Every task completed.
    Complete,
    /// At least one task did not complete.
    Failed,
}

/// The answer that a caller receives once a job ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobAnswer {
    /// `Complete` if every task completed, else `Failed`.
    pub status: JobStatus,
    /// One answer for each task, in the order of the submission.
    pub tasks: Vec<TaskAnswer>,
}

impl JobAnswer {
    /// Returns whether the answer reports at least one task as not run.
    #[must_use]
    pub fn has_task_not_run(&self) -> bool {
        self.tasks.iter().any(|task| task.outcome.is_not_run())
    }

    /// Creates the answer from the outcome of every task, in the order of the
    /// submission.
    #[must_use]
    pub fn new(outcomes: impl IntoIterator<Item = TaskOutcome>) -> Self {
        let tasks: Vec<TaskAnswer> = outcomes
            .into_iter()
            .map(|outcome| TaskAnswer { outcome })
            .collect();
        let complete = tasks.iter().all(|task| task.outcome.is_completed());
        Self {
            status: if complete {
                JobStatus::Complete
            } else {
                JobStatus::Failed
            },
            tasks,
        }
    }
}
