//! Bodies of the messages that entries and agents exchange.

use {
    crate::{
        Attempt, BodyDigest, Electorate, EndpointId, EntryId, Epoch, Incarnation, JobAnswer,
        JobRef, JobSpec, Nonce, Refusal, ShardId, TaskIndex, TaskOutcome, TaskRef, TaskSpec,
        ZoneId,
    },
    serde::{Deserialize, Serialize},
    std::time::SystemTime,
};

/// Hash of a job's contract and key, which keeps long lists of jobs short.
pub type KeyHash = u64;

/// First message of an agent on a link: announces its endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AgentHello {
    /// The endpoint beside the agent.
    pub endpoint: EndpointId,
    /// Number of the agent's current run.
    pub incarnation: Incarnation,
    /// Shard whose owner may use the endpoint.
    pub shard: ShardId,
    /// Number of the endpoint's slots.
    pub slots: u32,
    /// Availability zone in which the endpoint runs.
    pub zone: ZoneId,
    /// Whether the endpoint is shutting down and gets no new work.
    pub leaving: bool,
}

/// Location of the task records of one run of an agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunRecords {
    /// The agent still has the records.
    AtAgent,
    /// The agent has left; these are the jobs of which it had started a task.
    Departed(Vec<KeyHash>),
}

/// One run of an agent that an entry knows of.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KnownRun {
    /// The endpoint beside the agent.
    pub endpoint: EndpointId,
    /// Number of the agent's run.
    pub incarnation: Incarnation,
    /// Shard whose owner may use the endpoint.
    pub shard: ShardId,
    /// Location of the run's task records.
    pub records: RunRecords,
}

/// The runs of agents that an entry knows of.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct KnownAgents {
    /// The runs that may have task records.
    pub runs: Vec<KnownRun>,
    /// Whether the list is complete, so that no other run has records.
    pub complete: bool,
}

/// Confirms that an entry has recorded a new ownership and no longer votes for
/// an earlier one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Acknowledgement {
    /// The shard whose owner changed.
    pub shard: ShardId,
    /// Epoch of the new ownership.
    pub epoch: Epoch,
    /// Runs of the shard's agents that the entry knows of.
    pub agents: KnownAgents,
}

/// Asks for a vote: an owner that cannot read the table sends it to the voters of
/// a shard to learn whether its ownership is still valid.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VoteRequest {
    /// Number that the vote repeats.
    pub nonce: Nonce,
    /// The shard that the sender owns.
    pub shard: ShardId,
    /// Epoch of the ownership.
    pub epoch: Epoch,
}

/// Evidence on which a voter bases a vote.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VoteBasis {
    /// The voter read the table after it received the request.
    #[serde(rename = "read")]
    TableRead,
    /// The voter cannot read the table and knows of no later ownership.
    #[serde(rename = "word")]
    NoLaterOwnership,
}

/// A vote for an ownership, in answer to [`VoteRequest`]. It states that the
/// ownership was valid after the voter received the request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vote {
    /// The request that the vote answers.
    #[serde(rename = "question")]
    pub request: VoteRequest,
    /// Evidence on which the voter bases the vote.
    #[serde(rename = "testimony")]
    pub basis: VoteBasis,
}

/// A submission that an entry forwards to the owner of the job's shard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Submit {
    /// The job that is submitted.
    pub job: JobRef,
    /// Tasks, deadline and urgency of the job.
    pub spec: JobSpec,
    /// Digest of the submission's body.
    pub digest: BodyDigest,
    /// Whether the same key may have reached an owner before, so that tasks of
    /// the job may already have started.
    pub may_be_older: bool,
    /// Whether the owner sends [`Reply::Accepted`] as soon as it accepts the job.
    pub wants_receipt: bool,
}

/// Reply of an owner to a submission or to a request for a job's answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// The job ended with this answer.
    Answered(JobAnswer),
    /// The job was refused; nothing of it ran or will run.
    Refused(Refusal),
    /// The key belongs to a submission with another body.
    KeyReused,
    /// The owner knows no such job.
    NotFound,
    /// The owner cannot answer at the moment; an earlier submission of the job
    /// may have run.
    Unavailable(Refusal),
    /// The job is accepted and has not ended.
    Accepted,
}

impl Reply {
    /// Returns whether the reply states that a task did not run. This stays true
    /// only as long as no later owner receives the same submission.
    #[must_use]
    pub fn claims_not_run(&self) -> bool {
        match self {
            Self::Refused(_) => true,
            Self::Answered(answer) => answer.has_task_not_run(),
            Self::KeyReused | Self::NotFound | Self::Unavailable(_) | Self::Accepted => false,
        }
    }
}

/// A reply with the job, submission and ownership that it refers to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobReply {
    /// The job.
    pub job: JobRef,
    /// Digest of the submission's body; none if the request named no
    /// submission and the owner knows none.
    pub digest: Option<BodyDigest>,
    /// Epoch of the ownership under which the owner replies.
    pub epoch: Epoch,
    /// The owner's reply.
    pub reply: Reply,
}

/// Identifies one of the starts that an owner sent for a task of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SentStart {
    /// Position of the task in the job.
    pub index: TaskIndex,
    /// Number of the start under the ownership, from 0.
    pub attempt: Attempt,
}

/// Asks an agent for its records of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lookup {
    /// The job.
    pub job: JobRef,
    /// Epoch of the ownership under which the records are requested.
    pub epoch: Epoch,
    /// Starts that the agent shall void, unless it has already carried them out.
    #[serde(rename = "forgo")]
    pub to_void: Vec<SentStart>,
}

/// Asks an agent to start one task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Start {
    /// The task.
    pub task: TaskRef,
    /// Shard whose owner sends the start.
    pub shard: ShardId,
    /// Epoch of the ownership under which the start is sent.
    pub epoch: Epoch,
    /// Number of the start under that ownership, from 0.
    pub attempt: Attempt,
    /// Digest of the submission's body.
    pub digest: BodyDigest,
    /// Number of tasks of the job.
    pub total: TaskIndex,
    /// Kind and input of the task.
    pub spec: TaskSpec,
    /// Moment after which the task must not start.
    pub deadline: SystemTime,
}

/// Why an agent did not start a task.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum StartRefusal {
    /// The agent knows of a newer ownership of the shard.
    StaleEpoch,
    /// The lease of the ownership expired before it was confirmed again.
    LeaseLapsed,
    /// Every slot is taken.
    NoSlot,
    /// The endpoint is leaving or drained.
    Leaving,
    /// The deadline of the start has passed.
    DeadlinePassed,
    /// The start was voided by a [`Lookup`] that reached the agent before it.
    #[serde(rename = "forgone")]
    Voided,
    /// The endpoint refused the task before it started.
    EndpointRefused,
    /// The task was cancelled before it started.
    Cancelled,
    /// The agent has started a task of a submission with the same key and
    /// another body.
    KeyReused,
}

/// States that an agent did not carry out a start.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartRefused {
    /// The task.
    pub task: TaskRef,
    /// Epoch of the ownership under which the start was sent.
    pub epoch: Epoch,
    /// Number of the start under that ownership, from 0.
    pub attempt: Attempt,
    /// Why the task did not start.
    pub reason: StartRefusal,
}

/// Reports how a started task ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Finished {
    /// The task.
    pub task: TaskRef,
    /// Digest of the body of the submission that the task belongs to.
    pub digest: BodyDigest,
    /// How the task ended.
    pub outcome: TaskOutcome,
}

/// Asks an entry which ownership it has, in order to extend the agent's lease.
///
/// The entry answers with an ownership that it confirmed after this request
/// arrived.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Confirm {
    /// Number that the answer repeats.
    pub nonce: Nonce,
    /// Epoch under which the agent may start tasks now; none without a lease.
    pub leased: Option<Epoch>,
}

/// Answers [`Confirm`] with an ownership that was valid after the entry received
/// the request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Confirmation {
    /// Number that the request carried.
    pub nonce: Nonce,
    /// Shard that the entry owns.
    pub shard: ShardId,
    /// Epoch of the ownership.
    pub epoch: Epoch,
    /// Entries that vote for the ownership while the table is down.
    pub voters: Electorate,
}

/// Asks an agent to fence every earlier ownership of a shard and to send its
/// records to the new owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fence {
    /// The shard whose owner changed.
    pub shard: ShardId,
    /// Epoch of the new ownership.
    pub epoch: Epoch,
    /// The new owner.
    pub owner: EntryId,
}

/// State of a task that an agent started.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RecordState {
    /// The task runs.
    Running,
    /// The task ended with this outcome.
    Ended(TaskOutcome),
}

/// An agent's record of one start.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskRecord {
    /// The task.
    pub task: TaskRef,
    /// Digest of the submission's body.
    pub digest: BodyDigest,
    /// Number of tasks of the job.
    pub total: TaskIndex,
    /// Whether the task runs, or how it ended.
    pub state: RecordState,
}

/// Answers [`Fence`] with a summary of the agent's records.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FenceReply {
    /// The shard of the agent's endpoint.
    pub shard: ShardId,
    /// Epoch of the newest ownership that the agent knows; lower epochs are fenced.
    pub epoch: Epoch,
    /// Records of the tasks that run.
    pub running: Vec<TaskRecord>,
    /// Jobs of which the agent has at least one record.
    pub jobs: Vec<KeyHash>,
}

/// Answers [`Lookup`] with an agent's records of one job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LookupReply {
    /// The job.
    pub job: JobRef,
    /// The agent's records of the job.
    pub records: Vec<TaskRecord>,
    /// Starts of the request that the agent voided and will never carry out.
    #[serde(rename = "forgone")]
    pub voided: Vec<SentStart>,
}
