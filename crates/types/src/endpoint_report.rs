//! Reports of agents to entries about endpoints and assigned tasks.

use {
    crate::{
        AssignmentId, ClassDemand, EndpointId, Incarnation, Label, Resources, RunNumber, ServiceId,
        TaskId, TaskPosition, ZoneId,
    },
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Properties of an endpoint that rarely change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointInfo {
    /// Name of the endpoint.
    pub endpoint: EndpointId,
    /// Number of the endpoint's current run.
    pub incarnation: Incarnation,
    /// Pool that the endpoint belongs to.
    pub service: ServiceId,
    /// Availability zone in which the endpoint runs.
    pub zone: ZoneId,
    /// Labels of the endpoint, such as its kind and its rack.
    pub labels: Vec<Label>,
    /// Resources of the endpoint, used and free.
    pub total: Resources,
}

/// How an assigned task ended at an agent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndKind {
    /// The task ran and completed.
    Done,
    /// The task ran and failed.
    Failed,
    /// The task did not start and will not.
    NotStarted,
    /// The task started but no longer runs, since it was stopped or its endpoint
    /// ended.
    Stopped,
    /// The task made no progress and was stopped.
    Stalled,
}

impl EndKind {
    /// Returns the name of the kind in logs and metrics.
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

/// Reports how one assigned task ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskEnd {
    /// The assignment that the task belongs to.
    pub assignment: AssignmentId,
    /// Position of the task in the job.
    pub at: TaskPosition,
    /// Number of the start; 0 if the task did not start.
    pub run: RunNumber,
    /// How the task ended.
    pub kind: EndKind,
    /// How long the task ran.
    pub ran: Duration,
}

/// Reports that an endpoint crashed while tasks were there.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct EndpointCrash {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Number of the endpoint's run that ended.
    pub incarnation: Incarnation,
    /// Tasks of all entries that were at the endpoint.
    pub tasks: Vec<TaskId>,
}

/// Resources of an endpoint that only tasks above a priority may use.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Reserve {
    /// The resources; nothing if no task was short of room lately.
    pub room: Resources,
    /// The most urgent priority that may not use them.
    pub from_priority: u32,
}

impl Reserve {
    /// Returns whether room is kept.
    #[must_use]
    pub fn is_kept(self) -> bool {
        self.from_priority > 0
    }

    /// Returns what is left of `free` for tasks of a priority.
    #[must_use]
    pub fn usable(self, free: Resources, priority: u32) -> Resources {
        if priority < self.from_priority {
            free
        } else {
            free.minus(self.room)
        }
    }
}

/// Report of free resources and ended tasks that an agent sends repeatedly to
/// each entry.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct AgentUpdate {
    /// Resources of the endpoint that no running or waiting task needs.
    pub free: Resources,
    /// Part of `free` that is kept for tasks above a priority.
    #[serde(default)]
    pub reserve: Reserve,
    /// Most tasks that the endpoint accepts beyond those it has.
    pub most_tasks: u16,
    /// Ratio of observed to expected run time of the endpoint's tasks.
    pub slowness: f32,
    /// Newest assignment of this entry that `free` takes into account.
    #[serde(rename = "seen")]
    pub last_assignment: AssignmentId,
    /// Tasks of this entry that ended.
    pub ends: Vec<TaskEnd>,
    /// Crashes of the endpoint that this entry does not know of.
    #[serde(default)]
    pub crashes: Vec<EndpointCrash>,
    /// Demand that the other linked entries told, by class; the most urgent first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub demand: Vec<ClassDemand>,
    /// Work that the endpoint does while work waits, in thousandths of a core at the
    /// expected run times; none from an agent that does not measure it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate_cpu_millis: Option<u32>,
}

/// First message of an agent on a link, which reports the state of the entry's
/// tasks.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Resync {
    /// The endpoint; none until it is known to run only tasks that the agent started.
    pub info: Option<EndpointInfo>,
    /// Assigned tasks that wait or run.
    pub live: Vec<(AssignmentId, TaskPosition)>,
    /// Recent ends of tasks, including those that were reported before.
    pub ends: Vec<TaskEnd>,
    /// Recent crashes of the endpoint, including those that were reported before.
    #[serde(default)]
    pub crashes: Vec<EndpointCrash>,
}
