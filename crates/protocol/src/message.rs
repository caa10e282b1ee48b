//! Messages between entries and agents.

use {
    chestnutrun_types::{
        Acknowledgement, AgentHello, AgentId, AgentUpdate, Assignment, Configuration, Confirm,
        Confirmation, EndpointInfo, Fence, FenceReply, Finished, Incarnation, JobRef, JobReply,
        KeyHash, KnownAgents, Lookup, LookupReply, Member, MemberList, Resync, Revocation,
        RoutingTable, RoutingVersion, ShardOwner, Start, StartRefused, Submit, Vote, VoteRequest,
    },
    serde::{Deserialize, Serialize},
};

/// Name and version of the protocol; a link opens only if both sides use the same
/// one.
pub const PROTOCOL: &str = "chestnutrun.3";

/// First message on a link: the side that opened the link identifies itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Hello {
    /// An agent that serves the owner of a shard announces its endpoint.
    Agent(AgentHello),
    /// An entry identifies itself.
    Entry(Member),
    /// An agent that serves several entries identifies itself.
    Guard(GuardHello),
}

/// Identifies an agent that runs tasks of several entries on its endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GuardHello {
    /// Name of the agent.
    pub agent: AgentId,
    /// Number of the agent's current run.
    pub incarnation: Incarnation,
}

/// Any message on a link.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// First message on a link, from the side that opened it.
    Hello(Hello),
    /// Entry to agent or entry: the entries of the site, to which the receiver
    /// keeps links.
    Members(MemberList),
    /// Entry to agent or entry: the newest configuration that the sender has.
    Configuration(Configuration),
    /// Agent to entry: asks which ownership is valid.
    Confirm(Confirm),
    /// Entry to agent: confirms an ownership, in answer to `Confirm`.
    Confirmation(Confirmation),
    /// Entry to agent: asks the agent to fence earlier ownerships.
    Fence(Fence),
    /// Agent to entry: earlier ownerships are fenced, in answer to `Fence`.
    FenceReply(FenceReply),
    /// Agent to entry: the agent is leaving and has records of these jobs.
    Departed(Vec<KeyHash>),
    /// Entry to agent: asks the agent to start a task.
    Start(Start),
    /// Agent to entry: a task did not start.
    StartRefused(StartRefused),
    /// Agent to entry: a task ended.
    Finished(Finished),
    /// Entry to agent: asks for the agent's records of a job.
    Lookup(Lookup),
    /// Agent to entry: the agent's records of a job, in answer to `Lookup`.
    LookupReply(LookupReply),
    /// Entry to entry: forwards a submission to the owner of its shard.
    Submit(Submit),
    /// Entry to entry: asks the owner for the answer of a job.
    Ask(JobRef),
    /// Entry to entry: asks the owner to cancel the job's tasks that have not
    /// started.
    Cancel(JobRef),
    /// Entry to entry: the owner's reply about a job.
    Reply(JobReply),
    /// Entry to entry: the sender owns a shard.
    Owner(ShardOwner),
    /// Entry to entry: the sender has recorded an ownership.
    Acknowledgement(Acknowledgement),
    /// Entry to entry: asks the receiver to vote for the sender's ownership.
    #[serde(rename = "vouch")]
    VoteRequest(VoteRequest),
    /// Entry to entry: a vote for the receiver's ownership, in answer to
    /// `VoteRequest`.
    #[serde(rename = "vouched")]
    Vote(Vote),
    /// Entry to entry: the runs of agents that the sender knows of.
    Agents(KnownAgents),
    /// Agent to entry: the state of the entry's assignments, sent first on a link.
    Resync(Resync),
    /// Agent to entry: the endpoint changed; none if it can no longer be used.
    Endpoint(Option<EndpointInfo>),
    /// Agent to entry: free resources and ended tasks.
    Update(AgentUpdate),
    /// Entry to agent: asks the agent to start tasks of a best-effort job.
    Assign(Assignment),
    /// Entry to agent: asks the agent to drop or stop the tasks of assignments.
    Revoke(Revocation),
    /// To any peer: version of the newest routing table that the sender has.
    RoutingVersion(RoutingVersion),
    /// To any peer: asks the receiver for its routing table.
    RoutingRequest,
    /// To any peer: the routing table, in answer to `RoutingRequest`.
    Routing(RoutingTable),
    /// Entry to agent: asks the agent to read the routing table from the
    /// directory, since the directory does not answer the entry.
    DirectoryRequest,
}

impl Message {
    /// Returns the name of the message's kind in metrics.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Hello(_) => "hello",
            Self::Members(_) => "members",
            Self::Configuration(_) => "configuration",
            Self::Confirm(_) => "confirm",
            Self::Confirmation(_) => "confirmation",
            Self::Fence(_) => "fence",
            Self::FenceReply(_) => "fence-reply",
            Self::Start(_) => "start",
            Self::StartRefused(_) => "start-refused",
            Self::Finished(_) => "finished",
            Self::Lookup(_) => "lookup",
            Self::LookupReply(_) => "lookup-reply",
            Self::Submit(_) => "submit",
            Self::Ask(_) => "ask",
            Self::Cancel(_) => "cancel",
            Self::Reply(..) => "reply",
            Self::Owner(_) => "owner",
            Self::Acknowledgement(_) => "acknowledgement",
            Self::Agents(_) => "agents",
            Self::VoteRequest(_) => "vouch",
            Self::Vote(_) => "vouched",
            Self::Departed(_) => "departed",
            Self::Resync(_) => "resync",
            Self::Endpoint(_) => "endpoint",
            Self::Update(_) => "update",
            Self::Assign(_) => "assign",
            Self::Revoke(_) => "revoke",
            Self::RoutingVersion(_) => "routing-version",
            Self::RoutingRequest => "routing-request",
            Self::DirectoryRequest => "directory-request",
            Self::Routing(_) => "routing",
        }
    }
}
