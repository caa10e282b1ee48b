//! A task that waits for a slot.

use {
    chestnutrun_types::{KindId, TaskRef},
    std::time::{Duration, Instant, SystemTime},
};

/// A task that waits for a slot.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingTask {
    /// The task.
    pub task: TaskRef,
    /// Kind of the task, by which run times are learned.
    pub kind: KindId,
    /// Run time that the caller expects.
    pub declared_run_time: Duration,
    /// Urgency of the job within its contract; higher goes first.
    pub urgency: u8,
    /// When the owner admitted the job, or queued the task again.
    pub since: Instant,
    /// Moment after which the task must not start.
    pub deadline: SystemTime,
}
