//! Inputs and actions of the membership state machine.

use {
    chestnutrun_types::{
        Acknowledgement, AgentHello, Configuration, Confirmation, EndpointId, EntryId, Epoch,
        Incarnation, KeyHash, KnownAgents, MemberList, Nonce, ShardId, ShardOwner, TableSnapshot,
        TableWrite, Vote, VoteRequest, WriteResult,
    },
    std::time::Instant,
};

/// Messages between entries about agents and ownerships.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryMessage {
    /// The sender reports the runs of agents that it knows.
    Agents(KnownAgents),
    /// The sender owns a shard.
    Owner(ShardOwner),
    /// The sender acknowledges an ownership of the receiver.
    Acknowledgement(Acknowledgement),
    /// The sender requests a vote on the validity of its ownership.
    VoteRequest(VoteRequest),
    /// The sender votes for the receiver's ownership.
    Vote(Vote),
}

/// Inputs of the membership state machine.
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
    /// An agent requests a confirmation of the ownership of its shard.
    Confirm(EndpointId, ShardId, Nonce),
    /// A link from an agent opened.
    AgentUp(AgentHello),
    /// The link from an agent closed.
    AgentDown(EndpointId, Incarnation),
    /// A run of an agent departed; the hashes name the jobs of its records.
    AgentDeparted(EndpointId, Incarnation, Vec<KeyHash>),
    /// A message from another entry arrived.
    FromEntry(EntryId, EntryMessage),
    /// The process was told to stop.
    Leave,
    /// Time passed.
    Tick,
}

/// Actions that the membership state machine requests from its front end.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// Read the table.
    Read,
    /// Write the table.
    Write(TableWrite),
    /// This entry became the owner of a shard.
    OwnershipBegan {
        /// The shard.
        shard: ShardId,
        /// Epoch of the ownership.
        epoch: Epoch,
        /// A moment at which the table already recorded the ownership.
        written_at: Instant,
        /// Runs of the shard's agents that this entry knows.
        known: KnownAgents,
    },
    /// The acknowledgements or the known agents of an owned shard changed.
    Acknowledged {
        /// The shard.
        shard: ShardId,
        /// When a majority of every earlier electorate had acknowledged; set in only
        /// one action of an ownership.
        at: Option<Instant>,
        /// Runs of the shard's agents that the acknowledging entry knows.
        agents: KnownAgents,
    },
    /// Send a message to another entry.
    Send(EntryId, EntryMessage),
    /// This entry still owned a shard at `at` or later.
    OwnershipConfirmed {
        /// The shard.
        shard: ShardId,
        /// When the read or the vote round that confirmed the ownership began.
        at: Instant,
    },
    /// This entry no longer owns a shard.
    OwnershipLost(ShardId),
    /// A shard has a new owner, which may be this entry.
    OwnerChanged(ShardOwner),
    /// The owner of a shard announced that it accepts requests.
    OwnerReady(ShardId),
    /// Send a confirmation of an ownership to an agent.
    Confirm(EndpointId, Confirmation),
    /// A read of the table showed these members of the site.
    Members(MemberList),
    /// A read of the table showed this configuration.
    Configured(Configuration),
}
