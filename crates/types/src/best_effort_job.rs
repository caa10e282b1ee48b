//! Best-effort jobs: the entry that accepts one keeps it in memory and answers
//! the caller when it ends.

use {
    crate::{JobId, StepSpec},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
    thiserror::Error,
};

/// Longest payload of a job, in bytes; a limit of the platform.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;

/// Most tasks that a job may have over all of its steps; the target is 170.
pub const MAX_STEP_TASKS: usize = 1_000;

/// Why a best-effort job is not valid.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum BestEffortJobError {
    /// The id is not 16 hexadecimal digits.
    #[error("job id {0:?} is not 16 hexadecimal digits")]
    Id(String),
    /// The payload is too long.
    #[error("payload of {0} bytes is longer than {MAX_PAYLOAD_BYTES} bytes")]
    Payload(usize),
    /// The job has no steps, or a step has no tasks.
    #[error("job has no task")]
    Empty,
    /// The steps have too many tasks in total.
    #[error("job has {0} tasks, more than {MAX_STEP_TASKS}")]
    TooManyTasks(usize),
    /// A step depends on itself, on a later step or on a step that does not
    /// exist.
    #[error("step {0} waits for step {1}, which is not an earlier one")]
    Order(usize, u16),
}

/// A job that its entry keeps in memory until the job ends.
///
/// The job is not stored: if the entry dies, the caller has to submit the job
/// again.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BestEffortJob {
    /// Id that the caller chose for the job.
    pub id: JobId,
    /// Input passed to every task unchanged.
    pub payload: Arc<str>,
    /// The steps; a step may depend only on steps before it in this list.
    pub steps: Vec<StepSpec>,
}

impl BestEffortJob {
    /// Checks the id, the payload, the number of tasks and the order of steps.
    ///
    /// # Errors
    /// Returns the first rule that the job breaks.
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
