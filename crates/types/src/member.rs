//! Entries of the site and owners of shards, as recorded in the platform's table.

use {
    crate::{EntryId, Epoch, Incarnation, Revision, ShardId, ZoneId},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// An entry of the site, as it registers itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Name of the entry.
    pub entry: EntryId,
    /// Number of the entry's current run.
    pub incarnation: Incarnation,
    /// Address at which other entries and agents open links.
    pub inner: SocketAddr,
    /// Availability zone in which the entry runs.
    pub zone: ZoneId,
}

/// The entries of the site at one revision of the platform's table.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberList {
    /// Revision of the table; a process ignores a list with a lower revision
    /// than the one it has.
    pub revision: Revision,
    /// The entries.
    pub members: Vec<Member>,
}

/// Entries of which a majority must vote for an ownership; empty if no vote is
/// needed.
pub type Electorate = Vec<EntryId>;

/// An ownership of a shard, as recorded in the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ShardOwner {
    /// The shard.
    pub shard: ShardId,
    /// The owning entry.
    pub entry: EntryId,
    /// Number of the owning entry's run.
    pub incarnation: Incarnation,
    /// Epoch of this ownership.
    pub epoch: Epoch,
    /// Entries that vote for this ownership while the table is down.
    pub voters: Electorate,
    /// Voters of earlier ownerships that may not yet know of this one.
    pub earlier: Vec<Electorate>,
}
