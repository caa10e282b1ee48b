//! Answers to callers.

use {
    crate::RefusalReason,
    serde::{Deserialize, Serialize},
};

/// How one task ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskOutcome {
    /// It ran once, and this is its output.
    Completed(String),
    /// It ran, and the endpoint reported an error.
    FailedWhileRunning(String),
    /// It did not run and never will.
    NotRun(RefusalReason),
    /// It may have run; nothing can be proved.
    OutcomeUnknown,
    /// It was cancelled before it started.
    Cancelled,
    /// The job's deadline passed before it started.
    DeadlinePassed,
}

impl TaskOutcome {
    /// Whether it says that the task did not run.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        matches!(
            self,
            Self::NotRun(_) | Self::Cancelled | Self::DeadlinePassed
        )
    }

    /// Whether the task completed.
    #[must_use]
    pub fn is_completed(&self) -> bool {
        matches!(self, Self::Completed(_))
    }
}

/// One task's part of a job's answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskAnswer {
    /// How the task ended.
    pub outcome: TaskOutcome,
}

/// Whether every task of a job completed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobStatus {
    /// Every task completed.
    Complete,
    /// At least one task did not complete.
    Failed,
}

/// The whole answer of a job, in the order of its submission.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobAnswer {
    /// Complete or failed, never partial.
    pub status: JobStatus,
    /// One answer for each task of the submission.
    pub tasks: Vec<TaskAnswer>,
}

impl JobAnswer {
    /// Whether it says of a task that it did not run.
    #[must_use]
    pub fn has_task_not_run(&self) -> bool {
        self.tasks.iter().any(|task| task.outcome.is_not_run())
    }

    /// Builds the answer from the outcome of every task.
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
