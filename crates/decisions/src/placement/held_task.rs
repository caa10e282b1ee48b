//! One task of a job that an entry holds.

use {
    chestnutrun_types::{AgentId, AssignmentId, EndpointId, TaskPosition},
    std::time::Instant,
};

/// State of a task that an entry holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum TaskState {
    /// The task waits for earlier steps or for room.
    Waiting,
    /// The task is assigned to a linked agent.
    Assigned(AgentId, AssignmentId),
    /// The link to the agent was lost; the task no longer runs after this moment.
    InDoubt(AgentId, AssignmentId, Instant),
    /// The task completed.
    Done,
}

/// One task of a job that an entry holds.
#[derive(Clone, Debug)]
pub(crate) struct HeldTask {
    pub(crate) at: TaskPosition,
    pub(crate) state: TaskState,
    /// Number of failed runs. A run does not count if its agent suspects the
    /// endpoint.
    pub(crate) failures: u32,
    /// Endpoints where the task failed or made no progress.
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

    /// Returns whether an agent may hold the task under this assignment.
    pub(crate) fn is_assigned_as(&self, agent: &AgentId, assignment: AssignmentId) -> bool {
        match &self.state {
            TaskState::Assigned(a, id) | TaskState::InDoubt(a, id, _) => {
                a == agent && *id == assignment
            }
            TaskState::Waiting | TaskState::Done => false,
        }
    }

    /// Returns the agent that may hold the task, with the assignment.
    pub(crate) fn holder(&self) -> Option<(&AgentId, AssignmentId)> {
        match &self.state {
            TaskState::Assigned(agent, id) | TaskState::InDoubt(agent, id, _) => Some((agent, *id)),
            TaskState::Waiting | TaskState::Done => None,
        }
    }
}
