//! Decisions of an entry about the site's members and the owners of shards, as
//! recorded in the platform's table.

mod acknowledgements;
mod agent_runs;
mod claims;
mod membership_machine;
mod messages;
mod owned_shard;
mod peers;
mod votes;

pub use {
    acknowledgements::{Acknowledgements, is_majority},
    agent_runs::AgentRuns,
    membership_machine::{MembershipConf, MembershipMachine},
    messages::{EntryMessage, MembershipAction, MembershipInput},
    owned_shard::OwnedShard,
    peers::Peers,
};
