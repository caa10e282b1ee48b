//! Inputs and actions of the machine that keeps membership and ownership.

use {
    chestnutrun_types::{
        Acknowledgement, AgentHello, Configuration, Confirmation, EndpointId, EntryId, Epoch,
        Incarnation, KeyHash, KnownAgents, MemberList, Nonce, ShardId, ShardOwner, TableSnapshot,
        TableWrite, Vote, VoteRequest, WriteResult,
    },
    std::time::Instant,
};

/// What entries tell each other about agents and ownerships.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryMessage {
    /// The runs of agents that the sender knows.
    Agents(KnownAgents),
    /// The sender owns a shard.
    Owner(ShardOwner),
    /// The sender took note of an ownership.
    Acknowledgement(Acknowledgement),
    /// Is the sender's ownership valid?
    Vouch(VoteRequest),
    /// The ownership is valid.
    Vouched(Vote),
}

/// What the machine takes.
#[derive(Clone, Debug)]
pub enum MembershipInput {
    /// A read of the table succeeded.
    Read(Box<TableSnapshot>),
    /// A read of the table failed.
    ReadFailed,
    /// A write of the table ended.
    Written(TableWrite, WriteResult),
    /// A link to another entry opened.
    LinkUp(EntryId),
    /// The link to another entry closed.
    LinkDown(EntryId),
    /// An agent asks for a confirmation of the ownership of its shard.
    Confirm(EndpointId, ShardId, Nonce),
    /// A link from an agent opened.
    AgentUp(AgentHello),
    /// The link from an agent closed.
    AgentDown(EndpointId, Incarnation),
    /// A run of an agent left, and these are the jobs of its records.
    AgentDeparted(EndpointId, Incarnation, Vec<KeyHash>),
    /// Another entry says something.
    FromEntry(EntryId, EntryMessage),
    /// The process was told to stop.
    Leave,
    /// Time passed.
    Tick,
}

/// What the machine asks its front end to do.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// Read the table.
    Read,
    /// Write the table.
    Write(TableWrite),
    /// This entry owns a shard from here on.
    Own {
        /// The shard.
        shard: ShardId,
        /// Number of the ownership.
        epoch: Epoch,
        /// A moment at which the ownership was recorded already.
        written_at: Instant,
        /// What this entry knows of the shard's agents.
        known: KnownAgents,
    },
    /// Another entry took note of an ownership of this one.
    Acknowledged {
        /// The shard.
        shard: ShardId,
        /// When a majority of every earlier electorate knew, where it now does.
        at: Option<Instant>,
        /// What that entry knows of the shard's agents.
        agents: KnownAgents,
    },
    /// Tell another entry something.
    Send(EntryId, EntryMessage),
    /// This entry owned a shard at a moment that is not before `at`.
    Owned {
        /// The shard.
        shard: ShardId,
        /// When the question was asked.
        at: Instant,
    },
    /// This entry no longer owns a shard.
    Deposed(ShardId),
    /// A shard has an owner.
    OwnerIs(ShardOwner),
    /// The owner of a shard says that it takes requests.
    OwnerReady(ShardId),
    /// Confirm an ownership to an agent.
    Confirm(EndpointId, Confirmation),
    /// The entries of the site, as recorded.
    Members(MemberList),
    /// A configuration was read.
    Configured(Configuration),
}
