//! One task of a job that an entry holds.

use {
    chestnutrun_types::{AgentId, AssignmentId, EndpointId, TaskPosition},
    std::time::Instant,
};

/// Where a task stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum TaskState {
    /// It waits for earlier steps or for room.
    Waiting,
    /// An agent has it.
    Assigned(AgentId, AssignmentId),
    /// The agent is out of reach; the task runs no more after this moment.
    InDoubt(AgentId, AssignmentId, Instant),
    /// It ran to its end.
    Done,
}

/// One task of a job that an entry holds.
#[derive(Clone, Debug)]
pub(crate) struct HeldTask {
    pub(crate) at: TaskPosition,
    pub(crate) state: TaskState,
    /// Runs that failed and were not blamed on the endpoint.
    pub(crate) failures: u32,
    /// Endpoints where it failed or made no progress.
    pub(crate) avoid: Vec<EndpointId>,
}

impl HeldTask {
    pub(crate) fn new(at: TaskPosition) -> Self {
        Self {
            at,
            state: TaskState::Waiting,
            failures: 0,
            avoid: Vec::new(),
        }
    }

    /// Whether an agent has the task under this assignment.
    pub(crate) fn is_under(&self, agent: &AgentId, assignment: AssignmentId) -> bool {
        match &self.state {
            TaskState::Assigned(a, id) | TaskState::InDoubt(a, id, _) => {
                a == agent && *id == assignment
            }
            TaskState::Waiting | TaskState::Done => false,
        }
    }

    /// Returns the agent that may have the task.
    pub(crate) fn holder(&self) -> Option<(&AgentId, AssignmentId)> {
        match &self.state {
            TaskState::Assigned(agent, id) | TaskState::InDoubt(agent, id, _) => Some((agent, *id)),
            TaskState::Waiting | TaskState::Done => None,
        }
    }
}
