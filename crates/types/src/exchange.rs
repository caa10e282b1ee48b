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

/// Hash of a job's contract and key, for long lists of jobs.
pub type KeyHash = u64;

/// First message of an agent on a link: announces its endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AgentHello {
    /// The endpoint beside the agent.
    pub endpoint: EndpointId,
    /// Run of the agent.
    pub incarnation: Incarnation,
    /// Shard whose owner may use the endpoint.
    pub shard: ShardId,
    /// Slots of the endpoint.
    pub slots: u32,
    /// Where the endpoint runs.
    pub zone: ZoneId,
    /// Whether the endpoint is leaving.
    pub leaving: bool,
}

/// What is known of the records of one run of an agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunRecords {
    /// The agent has them.
    AtAgent,
    /// The agent left, and these are the jobs of which it had started a task.
    Departed(Vec<KeyHash>),
}

/// One run of an agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KnownRun {
    /// The endpoint beside the agent.
    pub endpoint: EndpointId,
    /// Run of the agent.
    pub incarnation: Incarnation,
    /// Shard whose owner may use the endpoint.
    pub shard: ShardId,
    /// Where its records are.
    pub records: RunRecords,
}

/// The runs of agents that an entry knows.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct KnownAgents {
    /// The runs that may hold records.
    pub runs: Vec<KnownRun>,
    /// Whether no other run can hold records.
    pub complete: bool,
}

/// An entry took note of a new ownership and vouches for no earlier one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Acknowledgement {
    /// The shard.
    pub shard: ShardId,
    /// The new ownership.
    pub epoch: Epoch,
    /// What it knows of the shard's agents.
    pub agents: KnownAgents,
}

/// An owner that cannot read the table asks whether its ownership is valid.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vouch {
    /// Number that the answer repeats.
    pub nonce: Nonce,
    /// The shard.
    pub shard: ShardId,
    /// Number of the ownership.
    pub epoch: Epoch,
}

/// How an entry knows that an ownership is valid.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Testimony {
    /// It read the table after the question came.
    Read,
    /// It cannot read the table, and knows of no later ownership.
    Word,
}

/// Answers [`Vouch`]: the ownership was valid after the question came.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vouched {
    /// The question.
    pub question: Vouch,
    /// How the entry knows.
    pub testimony: Testimony,
}

/// A submission on its way to the owner of its shard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Submit {
    /// Name of the job.
    pub job: JobRef,
    /// What is asked for.
    pub spec: JobSpec,
    /// Digest of the submission's body.
    pub digest: BodyDigest,
    /// Whether an earlier owner may have seen the same key.
    pub may_be_older: bool,
    /// Whether the entry wants to hear at once that the job is accepted.
    pub wants_receipt: bool,
}

/// What an owner replies to a submission or to a question for its answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// The job ended; this is the whole answer.
    Answered(JobAnswer),
    /// The job was refused; nothing of it ran or will run.
    Refused(Refusal),
    /// The key belongs to a submission with another body.
    KeyReused,
    /// No job of that name is known.
    NotFound,
    /// Nothing is known at the moment; nothing is claimed about earlier tries.
    Unavailable(Refusal),
    /// The job is accepted and goes on.
    Accepted,
}

impl Reply {
    /// Whether it says that a task did not run, which only holds as long as no
    /// later owner gets the same submission.
    #[must_use]
    pub fn claims_not_run(&self) -> bool {
        match self {
            Self::Refused(_) => true,
            Self::Answered(answer) => answer.has_task_not_run(),
            Self::KeyReused | Self::NotFound | Self::Unavailable(_) | Self::Accepted => false,
        }
    }
}

/// A reply, with what it is about.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobReply {
    /// The job.
    pub job: JobRef,
    /// Digest of the submission that it is about; none where the question
    /// named no submission and none is known.
    pub digest: Option<BodyDigest>,
    /// Ownership under which it is said.
    pub epoch: Epoch,
    /// What the owner says.
    pub reply: Reply,
}

/// One of the starts that an owner sent for a task of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SentStart {
    /// The task.
    pub index: TaskIndex,
    /// Which of the starts under the ownership.
    pub attempt: Attempt,
}

/// Asks an agent for its records of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lookup {
    /// The job.
    pub job: JobRef,
    /// Ownership under which the question is asked.
    pub epoch: Epoch,
    /// Starts that the agent must never carry out if it has not yet.
    pub forgo: Vec<SentStart>,
}

/// Asks an agent to start one task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Start {
    /// The task.
    pub task: TaskRef,
    /// Shard under whose ownership it starts.
    pub shard: ShardId,
    /// Ownership under which it starts.
    pub epoch: Epoch,
    /// Which of the starts under that ownership.
    pub attempt: Attempt,
    /// Digest of the submission's body.
    pub digest: BodyDigest,
    /// Number of tasks of the job.
    pub total: TaskIndex,
    /// What to run.
    pub spec: TaskSpec,
    /// Moment after which it must not start.
    pub deadline: SystemTime,
}

/// Why an agent did not start a task.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum StartRefusal {
    /// The ownership is not the newest that the agent knows.
    StaleEpoch,
    /// The ownership was not confirmed within its lease.
    LeaseLapsed,
    /// Every slot is taken.
    NoSlot,
    /// The endpoint is leaving or drained.
    Leaving,
    /// The deadline passed.
    DeadlinePassed,
    /// The owner asked what became of the task before its start arrived.
    Forgone,
    /// The endpoint refused before it started.
    EndpointRefused,
    /// The task was cancelled before it started.
    Cancelled,
    /// A task of another body under the same key has started there.
    KeyReused,
}

/// Proves that a task did not start on an agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartRefused {
    /// The task.
    pub task: TaskRef,
    /// Ownership under which the start was asked for.
    pub epoch: Epoch,
    /// Which of the starts under that ownership.
    pub attempt: Attempt,
    /// Why it did not start.
    pub reason: StartRefusal,
}

/// Tells how a started task ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Finished {
    /// The task.
    pub task: TaskRef,
    /// Digest of the body that it belongs to.
    pub digest: BodyDigest,
    /// How it ended.
    pub outcome: TaskOutcome,
}

/// Asks an entry which ownerships it holds, confirmed after this was sent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Confirm {
    /// Number that the answer repeats.
    pub nonce: Nonce,
    /// Ownership under which the agent may start work now, if any.
    pub leased: Option<Epoch>,
}

/// Answers [`Confirm`]: the ownership that was valid after the question came.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Confirmation {
    /// Number of the question.
    pub nonce: Nonce,
    /// Shard that is owned.
    pub shard: ShardId,
    /// Number of the ownership.
    pub epoch: Epoch,
    /// Who vouches for the ownership while the table is down.
    pub voters: Electorate,
}

/// A new owner asks for records and shuts out every earlier ownership.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fence {
    /// The shard.
    pub shard: ShardId,
    /// The new ownership.
    pub epoch: Epoch,
    /// The new owner.
    pub owner: EntryId,
}

/// State of a task that an agent started.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RecordState {
    /// It runs.
    Running,
    /// It ended.
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
    /// Whether it runs or how it ended.
    pub state: RecordState,
}

/// Answers [`Fence`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FenceReply {
    /// The shard.
    pub shard: ShardId,
    /// The ownership that the agent now takes as the newest.
    pub epoch: Epoch,
    /// Tasks that run.
    pub running: Vec<TaskRecord>,
    /// Jobs of which the agent holds at least one record.
    pub jobs: Vec<KeyHash>,
}

/// An agent's records of one job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LookupReply {
    /// The job.
    pub job: JobRef,
    /// The records that the agent holds.
    pub records: Vec<TaskRecord>,
    /// Starts that were asked about and that the agent will never carry out.
    pub forgone: Vec<SentStart>,
}
