//! What an entry asks of an agent for one job.

use {
    crate::{AssignmentId, JobId, Room, RunNumber, StepIndex, TaskIndex},
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc, time::Duration},
};

/// Position of a task within its job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct StepTask {
    /// The step.
    pub step: StepIndex,
    /// The task within the step.
    pub index: TaskIndex,
}

/// Names one task of a best-effort job.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The task within the job.
    pub at: StepTask,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}.{}", self.job, self.at.step, self.at.index)
    }
}

/// One task of an assignment.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AssignedTask {
    /// The task within the job.
    pub at: StepTask,
    /// What it needs.
    pub need: Room,
    /// Run time that the entry expects on a sound endpoint.
    pub expected: Duration,
}

/// Tasks of one job that an agent shall start.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Assignment {
    /// Number of the assignment; grows within a run of the entry.
    pub id: AssignmentId,
    /// The job.
    pub job: JobId,
    /// Input of the tasks.
    pub payload: Arc<str>,
    /// Highest number of an earlier start of one of the tasks; 0 for none.
    pub after_run: RunNumber,
    /// How long the tasks may wait at the agent for room; counted from the
    /// moment at which the agent reads the message.
    pub start_within: Duration,
    /// The tasks.
    pub tasks: Vec<AssignedTask>,
}

/// Takes assignments back: what waits is dropped, what runs is stopped.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Revocation {
    /// The assignments.
    pub assignments: Vec<AssignmentId>,
}
