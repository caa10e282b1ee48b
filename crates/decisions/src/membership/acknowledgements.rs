//! Acknowledgements of a new ownership by the voters of earlier ones.

use {
    chestnutrun_types::{Electorate, EntryId},
    indexmap::IndexSet,
};

/// Counts the voters of earlier ownerships that acknowledged the new one.
#[derive(Debug, Default)]
pub struct Acknowledgements {
    electorates: Vec<Electorate>,
    voters: IndexSet<EntryId>,
}

impl Acknowledgements {
    /// Creates a count for the electorates of earlier ownerships; skips empty ones.
    #[must_use]
    pub fn new(electorates: Vec<Electorate>) -> Self {
        let mut electorates = electorates;
        electorates.retain(|voters| !voters.is_empty());
        Self {
            electorates,
            voters: IndexSet::new(),
        }
    }

    /// Adds a voter that acknowledged the new ownership.
    pub fn add(&mut self, voter: EntryId) {
        self.voters.insert(voter);
    }

    /// Returns the electorates of which a majority must acknowledge.
    #[must_use]
    pub fn electorates(&self) -> &[Electorate] {
        &self.electorates
    }

    /// Whether a majority of each electorate acknowledged the ownership.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        let has_majority = |voters: &Electorate| is_majority(voters, &self.voters);
        self.electorates.iter().all(has_majority)
    }
}

/// Whether more than half of the voters are in `agreed`.
#[must_use]
pub fn is_majority(voters: &[EntryId], agreed: &IndexSet<EntryId>) -> bool {
    let count = voters
        .iter()
        .filter(|voter| agreed.contains(*voter))
        .count();
    2 * count > voters.len()
}
