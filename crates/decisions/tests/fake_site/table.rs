//! A fake table, which can be down or unreachable for single processes. The site
//! adds delays and lost replies.

use {
    super::Node,
    chestnutrun_types::{Revision, TableRow, TableSnapshot, TableWrite, Versioned, WriteResult},
    indexmap::IndexSet,
};

/// The table in memory.
#[derive(Debug, Default)]
pub struct FakeTable {
    /// Whether no process can reach the table.
    pub down: bool,
    /// Processes that cannot reach the table.
    pub cut_off: IndexSet<Node>,
    /// The present rows.
    pub rows: TableSnapshot,
    revision: Revision,
}

impl FakeTable {
    /// Applies a write if the row still has the expected revision.
    pub fn write(&mut self, write: &TableWrite) -> WriteResult {
        let present = self.present_revision(&write.row);
        if present != write.expected {
            return WriteResult::Conflict(present);
        }
        self.revision += 1;
        let revision = self.revision;
        match write.row.clone() {
            TableRow::Member(value) => {
                let row = Versioned { value, revision };
                self.rows.members.insert(row.value.entry.clone(), row);
            }
            TableRow::MemberRemoval(entry) => {
                self.rows.members.shift_remove(&entry);
            }
            TableRow::Owner(value) => {
                let row = Versioned { value, revision };
                self.rows.owners.insert(row.value.shard, row);
            }
            TableRow::Contract(contract) => {
                let contracts = &mut self.rows.configuration.contracts;
                contracts.insert(contract.id.clone(), contract);
                self.rows.configuration.revision = revision;
            }
            TableRow::Drain(endpoint, state) => {
                self.rows.configuration.drains.insert(endpoint, state);
                self.rows.configuration.revision = revision;
            }
        }
        WriteResult::Accepted(revision)
    }

    fn present_revision(&self, row: &TableRow) -> Revision {
        let rows = &self.rows;
        match row {
            TableRow::Member(member) => rows.members.get(&member.entry).map(|r| r.revision),
            TableRow::MemberRemoval(entry) => rows.members.get(entry).map(|r| r.revision),
            TableRow::Owner(owner) => rows.owners.get(&owner.shard).map(|r| r.revision),
            TableRow::Contract(_) | TableRow::Drain(..) => None,
        }
        .unwrap_or_default()
    }
}
