//! State that an entry keeps for a shard that it owns.

use {
    crate::membership::{Acknowledgements, is_majority},
    chestnutrun_types::{Electorate, EntryId, Revision, ShardOwner},
    indexmap::IndexSet,
};

/// A shard that this entry owns.
#[derive(Debug)]
pub struct OwnedShard {
    /// The newest recorded row of the ownership that this entry knows.
    pub owner: ShardOwner,
    /// Voters of earlier ownerships that acknowledged this one.
    pub acknowledgements: Acknowledgements,
    /// Whether a majority of every earlier electorate has acknowledged.
    pub acknowledged: bool,
    /// Voters in row writes of unknown outcome, each with the revision of the row
    /// that the write replaces.
    pub uncertain_voters: Vec<(Revision, Electorate)>,
}

impl OwnedShard {
    /// Begins an ownership; `earlier` are the electorates of earlier ownerships.
    #[must_use]
    pub fn new(owner: ShardOwner, earlier: Vec<Electorate>) -> Self {
        Self {
            owner,
            acknowledgements: Acknowledgements::new(earlier),
            acknowledged: false,
            uncertain_voters: Vec::new(),
        }
    }

    /// Whether the votes confirm the ownership, whichever of its recorded or
    /// attempted rows is in force.
    #[must_use]
    pub fn has_vote_majority(&self, votes: &IndexSet<EntryId>) -> bool {
        let uncertain_voters = self.uncertain_voters.iter().map(|(_, voters)| voters);
        let mut electorates = uncertain_voters.chain([&self.owner.voters]);
        electorates.all(|voters| is_majority(voters, votes))
    }

    /// Returns the electorates that may still vote for earlier ownerships.
    #[must_use]
    pub fn earlier_electorates(&self) -> Vec<Electorate> {
        if self.acknowledged {
            Vec::new()
        } else {
            self.acknowledgements.electorates().to_vec()
        }
    }
}
