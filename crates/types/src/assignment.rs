//! Assignments: tasks of one job that an entry asks an agent to start.

use {
    crate::{AssignmentId, ClassDemand, JobId, Resources, RunNumber, StepIndex, TaskIndex},
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc, time::Duration},
};

/// Position of a task within its job: the step, and the task in that step.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct TaskPosition {
    /// Index of the step in the job.
    pub step: StepIndex,
    /// Index of the task in the step.
    pub index: TaskIndex,
}

/// Identifies one task of a best-effort job.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// Position of the task in the job.
    pub at: TaskPosition,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}.{}", self.job, self.at.step, self.at.index)
    }
}

/// One task of an assignment.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AssignedTask {
    /// Position of the task in the job.
    pub at: TaskPosition,
    /// Resources that the task needs.
    pub need: Resources,
    /// Run time that the entry expects on a healthy endpoint.
    pub expected: Duration,
}

/// Asks an agent to start tasks of one job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Assignment {
    /// Number of the assignment, counted from 1 in each run of the entry.
    pub id: AssignmentId,
    /// The job that the tasks belong to.
    pub job: JobId,
    /// Input passed to every task.
    pub payload: Arc<str>,
    /// Highest run number that the entry knows for the job, 0 if none of its
    /// tasks has started. The agent gives its starts higher numbers.
    pub after_run: RunNumber,
    /// How long the tasks may wait at the agent for free resources, counted
    /// from the moment at which the agent reads the message.
    pub start_within: Duration,
    /// Priority of the job's route; 0 is the most urgent one.
    #[serde(default)]
    pub priority: u32,
    /// Whether the tasks run beside no task of another job, since an endpoint crashed
    /// under one of them.
    #[serde(default)]
    pub alone: bool,
    /// The tasks to start.
    pub tasks: Vec<AssignedTask>,
}

/// Cancels assignments: the agent drops tasks that wait and stops tasks that
/// run. It also carries the entry's demand, which an agent of an earlier build ignores.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Revocation {
    /// The assignments to cancel.
    pub assignments: Vec<AssignmentId>,
    /// The agent's part of the entry's demand, by class; none leaves the known one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub demand: Option<Vec<ClassDemand>>,
}
