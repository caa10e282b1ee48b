//! Jobs that are held by the entry that took them, and answered when they end.

use {
    crate::{JobId, StepSpec},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
    thiserror::Error,
};

/// Longest payload of a job, in bytes; the platform's limit.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;

/// Most tasks of all steps; wider jobs than the target's 170 are refused.
pub const MAX_STEP_TASKS: usize = 1_000;

/// Why a job is not valid.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum BestEffortJobError {
    /// The id is not 16 hexadecimal digits.
    #[error("job id {0:?} is not 16 hexadecimal digits")]
    Id(String),
    /// The payload is too long.
    #[error("payload of {0} bytes is longer than {MAX_PAYLOAD_BYTES} bytes")]
    Payload(usize),
    /// There is nothing to run.
    #[error("job has no task")]
    Empty,
    /// There are too many tasks.
    #[error("job has {0} tasks, more than {MAX_STEP_TASKS}")]
    TooManyTasks(usize),
    /// A step waits for itself, for a later step or for one that is not there.
    #[error("step {0} waits for step {1}, which is not an earlier one")]
    Order(usize, u16),
}

/// A job that its entry holds until it ends.
///
/// It is not stored: where the entry dies, the caller submits it again.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BestEffortJob {
    /// The caller's name of the job.
    pub id: JobId,
    /// Input that every task gets, untouched.
    pub payload: Arc<str>,
    /// The steps.
    pub steps: Vec<StepSpec>,
}

impl BestEffortJob {
    /// Checks the job as a whole.
    ///
    /// # Errors
    /// Returns the first rule that it breaks.
    pub fn check(&self) -> Result<(), BestEffortJobError> {
        if self.id.len() != 16 || !self.id.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(BestEffortJobError::Id(self.id.to_string()));
        }
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(BestEffortJobError::Payload(self.payload.len()));
        }
        let tasks = self.steps.iter().map(|step| usize::from(step.tasks)).sum();
        if self.steps.is_empty() || self.steps.iter().any(|step| step.tasks == 0) {
            return Err(BestEffortJobError::Empty);
        }
        if tasks > MAX_STEP_TASKS {
            return Err(BestEffortJobError::TooManyTasks(tasks));
        }
        for (index, step) in self.steps.iter().enumerate() {
            if let Some(after) = step.after.iter().find(|a| usize::from(**a) >= index) {
                return Err(BestEffortJobError::Order(index, *after));
            }
        }
        Ok(())
    }
}
