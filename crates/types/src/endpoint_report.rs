//! What an agent tells entries of its endpoint and of their tasks.

use {
    crate::{
        AssignmentId, EndpointId, Incarnation, Label, Room, RunNumber, ServiceId, StepTask, ZoneId,
    },
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// What changes rarely about an endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointInfo {
    /// Name of the endpoint.
    pub endpoint: EndpointId,
    /// Run of the endpoint.
    pub incarnation: Incarnation,
    /// Pool that it belongs to.
    pub service: ServiceId,
    /// Where it runs.
    pub zone: ZoneId,
    /// Its kind, its rack and the like.
    pub labels: Vec<Label>,
    /// All of its room.
    pub total: Room,
}

/// How an assigned task ended at an agent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndKind {
    /// It ran to its end.
    Done,
    /// It ran and failed.
    Failed,
    /// It did not start, and will not.
    NotStarted,
    /// It ran and was stopped, or its endpoint ended; it does not run any more.
    Stopped,
    /// It made no progress and was stopped.
    Stalled,
}

impl EndKind {
    /// Returns the name of the kind, as it is written down and counted.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::NotStarted => "not-started",
            Self::Stopped => "stopped",
            Self::Stalled => "stalled",
        }
    }
}

/// Tells how one assigned task ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskEnd {
    /// The assignment.
    pub assignment: AssignmentId,
    /// The task within the job.
    pub at: StepTask,
    /// Number of the start; 0 where there was none.
    pub run: RunNumber,
    /// How it ended.
    pub kind: EndKind,
    /// How long it ran.
    pub ran: Duration,
}

/// What an agent tells one entry, again and again.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct AgentUpdate {
    /// Room that neither runs nor waits at the agent.
    pub free: Room,
    /// Most tasks that the endpoint takes besides those it has.
    pub most_tasks: u16,
    /// Observed run time over expected run time of the endpoint's tasks.
    pub slowness: f32,
    /// Newest assignment of this entry that `free` takes into account.
    pub seen: AssignmentId,
    /// Tasks of this entry that ended.
    pub ends: Vec<TaskEnd>,
}

/// First message of an agent on a link: what it knows of the entry's tasks.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Resync {
    /// The endpoint, once its earlier runs are gone.
    pub info: Option<EndpointInfo>,
    /// Assigned tasks that wait or run.
    pub live: Vec<(AssignmentId, StepTask)>,
    /// Recent ends, those that were told before among them.
    pub ends: Vec<TaskEnd>,
}
