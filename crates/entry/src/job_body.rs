//! Body of a submission.

use {
    chestnutrun_types::{JobSpec, KindId, TaskSpec},
    serde::{Deserialize, Serialize},
    std::time::{Duration, SystemTime},
    thiserror::Error,
};

/// Longest time from a submission to its deadline. It must be shorter than the time for
/// which starts and answers are kept.
pub const MAX_DEADLINE_IN: Duration = Duration::from_mins(5);

/// The deadline is more than [`MAX_DEADLINE_IN`] ahead.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("deadline_in is at most 5m")]
pub struct DeadlineError;

/// Task in the body of a submission.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TaskBody {
    /// Kind of work; run times are estimated for each kind.
    pub kind: KindId,
    /// Run time that the caller expects, written with a unit.
    #[serde(with = "humantime_serde")]
    pub declared_run_time: Duration,
    /// Input that the endpoint gets unchanged; empty by default.
    #[serde(default)]
    pub input: String,
    /// Whether the task can be run again safely.
    #[serde(default)]
    pub idempotent: bool,
}

/// Body of a submission.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct JobBody {
    /// Tasks of the job, at least one.
    pub tasks: Vec<TaskBody>,
    /// Time from the submission to the deadline. From the deadline on, no task of the job
    /// is started. Written with a unit; 1 min by default.
    #[serde(default = "default_deadline_in", with = "humantime_serde")]
    pub deadline_in: Duration,
    /// Urgency among the contract's jobs; higher values start first.
    #[serde(default)]
    pub urgency: u8,
}

fn default_deadline_in() -> Duration {
    Duration::from_mins(1)
}

impl JobBody {
    /// Converts the body to a job that was submitted at `at`.
    ///
    /// # Errors
    /// Returns an error if `deadline_in` exceeds [`MAX_DEADLINE_IN`].
    pub fn into_spec(self, at: SystemTime) -> Result<JobSpec, DeadlineError> {
        if self.deadline_in > MAX_DEADLINE_IN {
            return Err(DeadlineError);
        }
        let tasks = self.tasks.into_iter().map(TaskBody::into_spec).collect();
        Ok(JobSpec {
            tasks,
            deadline: at + self.deadline_in,
            urgency: self.urgency,
        })
    }
}

impl TaskBody {
    fn into_spec(self) -> TaskSpec {
        TaskSpec {
            kind: self.kind,
            declared_run_time: self.declared_run_time,
            input: self.input,
            idempotent: self.idempotent,
        }
    }
}
