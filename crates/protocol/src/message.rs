//! Messages between entries and agents.

use {
    chestnutrun_types::{
        Acknowledgement, AgentHello, AgentId, AgentUpdate, Assignment, Configuration, Confirm,
        Confirmation, EndpointInfo, Fence, FenceReply, Finished, Incarnation, JobRef, JobReply,
        KeyHash, KnownAgents, Lookup, LookupReply, Member, MemberList, Resync, Revocation,
        RoutingTable, RoutingVersion, ShardOwner, Start, StartRefused, Submit, Vouch, Vouched,
    },
    serde::{Deserialize, Serialize},
};

/// Name and version of the protocol, compared when a link opens.
pub const PROTOCOL: &str = "chestnutrun.3";

/// First message on a link, from the side that opened it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Hello {
    /// An agent announces its endpoint.
    Agent(AgentHello),
    /// An entry names itself.
    Entry(Member),
    /// An agent that guards an endpoint for several entries names itself.
    Guard(GuardHello),
}

/// Names an agent that guards an endpoint for several entries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GuardHello {
    /// The agent.
    pub agent: AgentId,
    /// Run of the agent.
    pub incarnation: Incarnation,
}

/// Any message on a link.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// Opens the link.
    Hello(Hello),
    /// Entry to agent and entry to entry: the entries to link to.
    Members(MemberList),
    /// Entry to agent and entry to entry: the newest configuration.
    Configuration(Configuration),
    /// Agent to entry: which ownership is valid?
    Confirm(Confirm),
    /// Entry to agent: the ownership is valid.
    Confirmation(Confirmation),
    /// Entry to agent: shuts out earlier ownerships.
    Fence(Fence),
    /// Agent to entry: earlier ownerships are shut out.
    FenceReply(FenceReply),
    /// Agent to entry: the agent leaves, and these are the jobs of its records.
    Departed(Vec<KeyHash>),
    /// Entry to agent: start a task.
    Start(Start),
    /// Agent to entry: a task did not start.
    StartRefused(StartRefused),
    /// Agent to entry: a task ended.
    Finished(Finished),
    /// Entry to agent: what is known of a job?
    Lookup(Lookup),
    /// Agent to entry: what is known of a job.
    LookupReply(LookupReply),
    /// Entry to entry: a submission for the owner.
    Submit(Submit),
    /// Entry to entry: a question for a job's answer.
    Ask(JobRef),
    /// Entry to entry: cancel what has not started.
    Cancel(JobRef),
    /// Entry to entry: the owner's reply.
    Reply(JobReply),
    /// Entry to entry: the sender owns a shard.
    Owner(ShardOwner),
    /// Entry to entry: the sender took note of an ownership.
    Acknowledgement(Acknowledgement),
    /// Entry to entry: is the sender's ownership valid?
    Vouch(Vouch),
    /// Entry to entry: the ownership is valid.
    Vouched(Vouched),
    /// Entry to entry: the runs of agents that the sender knows.
    Agents(KnownAgents),
    /// Agent to entry: what the agent knows of the entry's assignments.
    Resync(Resync),
    /// Agent to entry: the endpoint changed; none where it is gone.
    Endpoint(Option<EndpointInfo>),
    /// Agent to entry: room and ended tasks.
    Update(AgentUpdate),
    /// Entry to agent: start tasks of a job.
    Assign(Assignment),
    /// Entry to agent: drop or stop tasks.
    Revoke(Revocation),
    /// To any peer: the newest routing table that the sender has.
    RoutingVersion(RoutingVersion),
    /// To any peer: send the routing table.
    RoutingRequest,
    /// To any peer: the routing table.
    Routing(RoutingTable),
    /// Entry to agent: read the routing table from the directory, which does not
    /// answer the sender.
    DirectoryRequest,
}

impl Message {
    /// Returns the kind of the message, as metrics name it.
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
            Self::Vouch(_) => "vouch",
            Self::Vouched(_) => "vouched",
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
