//! Entries of the site and owners of shards, as recorded in the platform's table.

use {
    crate::{CancelledJob, EntryId, Epoch, EvacuatedZones, Incarnation, Revision, ShardId, ZoneId},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
    thiserror::Error,
};

/// Longest name of an entry or an availability zone, in bytes.
pub const MAX_NAME_BYTES: usize = 200;

/// Why no link to an entry can be opened.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum MemberError {
    /// The address has no port, or stands for every address.
    #[error("entry {0:?} has the address {1}, which cannot be dialed")]
    Address(EntryId, SocketAddr),
    /// The name is empty, or the name or the zone is too long.
    #[error("name or zone of an entry at {0} is empty or longer than {MAX_NAME_BYTES} bytes")]
    Name(SocketAddr),
}

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

impl Member {
    /// Checks that a link to the entry can be opened.
    ///
    /// # Errors
    /// Returns the first rule that the entry breaks.
    pub fn check(&self) -> Result<(), MemberError> {
        if self.inner.port() == 0 || self.inner.ip().is_unspecified() {
            return Err(MemberError::Address(self.entry.clone(), self.inner));
        }
        if self.entry.is_empty() || self.entry.len().max(self.zone.len()) > MAX_NAME_BYTES {
            return Err(MemberError::Name(self.inner));
        }
        Ok(())
    }
}

/// An entry that left the site, or that no other entry could reach for long.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Departure {
    /// Name of the entry.
    pub entry: EntryId,
    /// Number of the run that ended.
    pub incarnation: Incarnation,
}

/// Entries of the site: those at one revision of the platform's table, or those
/// that a process without the table knows of.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberList {
    /// Revision of the table; a process ignores a list with a lower revision
    /// than the one it has. 0 without a table.
    pub revision: Revision,
    /// The entries.
    pub members: Vec<Member>,
    /// Entries that are no longer part of the site.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub departed: Vec<Departure>,
    /// Whether `members` are all entries that the sender knows; otherwise they are
    /// changes, which the receiver passes on.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_whole: bool,
    /// Digest of the sender's list; a receiver whose digest differs answers with
    /// its own list.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub digest: Option<u64>,
    /// Best-effort jobs that callers cancelled. They are told in a list of entries, since
    /// an earlier build refuses a message of an unknown kind, but ignores a field.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cancelled: Vec<CancelledJob>,
    /// The evacuated zones, as far as the sender knows them; they are told in a list of
    /// entries for the same reason.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evacuated: Option<EvacuatedZones>,
}

impl MemberList {
    /// Returns a list that only tells the evacuated zones.
    #[must_use]
    pub fn with_evacuated(zones: EvacuatedZones) -> Self {
        Self {
            evacuated: Some(zones),
            ..Self::default()
        }
    }
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
