//! Events of the timeline.

use {
    chestnutrun_types::{ContractId, EndpointId, IdempotencyKey, TaskIndex},
    serde::{Deserialize, Serialize},
    std::{borrow::Cow, sync::Arc, time::SystemTime},
};

/// Name of a process of the site.
pub type ProcessId = Arc<str>;

/// Number of an event among those of its process, from 1.
pub type Sequence = u64;

/// Kinds of timeline events.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// A caller submitted a job.
    Submitted,
    /// The owner accepted a submission, whose tasks now wait for slots.
    Admitted,
    /// The owner refused a submission.
    Refused,
    /// The owner sent a task to an agent.
    StartSent,
    /// An agent started a task at its endpoint.
    Started,
    /// An agent refused a start.
    StartRefused,
    /// A task ended.
    Ended,
    /// An entry received the owner's confirmation that a job is accepted.
    Receipt,
    /// An entry received the reply that a job was refused or is unknown.
    Declined,
    /// An entry received the complete answer of a job.
    Answered,
    /// This process became a shard's owner.
    Owned,
    /// This process is no longer a shard's owner.
    Deposed,
    /// A link to another process opened.
    LinkUp,
    /// A link to another process closed.
    LinkDown,
    /// A configuration came into force.
    Configured,
    /// The process was told to stop.
    Leaving,
}

/// One event of a process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Event {
    /// Number among the events of its process, from 1.
    pub sequence: Sequence,
    /// Wall clock of the process.
    pub at: SystemTime,
    /// Name of the process.
    pub process: ProcessId,
    /// What happened.
    pub kind: EventKind,
    /// Contract of the job; none if the event is not about a job.
    pub contract: Option<ContractId>,
    /// Key of the job; none if the event is not about a job.
    pub key: Option<IdempotencyKey>,
    /// Position of the task in its job; none if the event is not about a task.
    pub task: Option<TaskIndex>,
    /// Endpoint of the task; none if the event is not about a task.
    pub endpoint: Option<EndpointId>,
    /// Further information for people; may be empty.
    pub detail: Cow<'static, str>,
}
