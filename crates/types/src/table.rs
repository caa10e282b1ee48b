//! Rows of the platform's table that the dispatcher reads and writes.

use {
    crate::{
        Configuration, Contract, DrainState, EndpointId, EntryId, Member, Revision, ShardId,
        ShardOwner,
    },
    indexmap::IndexMap,
};

/// A row of the table with the revision of its last write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Versioned<T> {
    /// Value of the row.
    pub value: T,
    /// Revision of the row's last write.
    pub revision: Revision,
}

/// The dispatcher's rows as one read of the table returned them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TableSnapshot {
    /// Revision of the table.
    pub revision: Revision,
    /// Rows of the site's entries.
    pub members: IndexMap<EntryId, Versioned<Member>>,
    /// Rows of the shards' owners.
    pub owners: IndexMap<ShardId, Versioned<ShardOwner>>,
    /// Contracts and drains.
    pub configuration: Configuration,
}

/// A row to write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TableRow {
    /// Registers an entry.
    Member(Member),
    /// Removes an entry's row.
    MemberRemoval(EntryId),
    /// Records the owner of a shard.
    Owner(ShardOwner),
    /// Creates or changes a contract.
    Contract(Contract),
    /// Sets the drain state of an endpoint.
    Drain(EndpointId, DrainState),
}

/// A write of one row that takes effect only at the expected revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TableWrite {
    /// The row to write.
    pub row: TableRow,
    /// Revision that the row must have; 0 if the row must not exist.
    pub expected: Revision,
}

/// Result of a conditional write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteResult {
    /// The write took effect at this revision.
    Accepted(Revision),
    /// The write had no effect, since the row has this other revision; 0 if the
    /// row does not exist.
    Conflict(Revision),
    /// The table did not answer, so the write may have taken effect or not.
    Unknown,
}
