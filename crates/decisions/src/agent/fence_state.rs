//! The newest ownership that an agent knows, and how long it is valid.

use {
    crate::{membership::is_majority, timing::OWNERSHIP_LEASE},
    chestnutrun_types::{Confirmation, EntryId, Epoch, Nonce, StartRefusal},
    indexmap::{IndexMap, IndexSet},
    std::time::Instant,
};

/// Most questions that may wait for an answer.
const MAX_OPEN_QUESTIONS: usize = 16;

/// Guards starts by the epoch and the lease of the owner.
#[derive(Debug, Default)]
pub struct FenceState {
    epoch: Epoch,
    owner: Option<EntryId>,
    lease_until: Option<Instant>,
    next_nonce: Nonce,
    asked_at: IndexMap<Nonce, Instant>,
    known_to: IndexSet<EntryId>,
}

impl FenceState {
    /// Returns the newest epoch.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the entry that holds the newest epoch.
    #[must_use]
    pub fn owner(&self) -> Option<&EntryId> {
        self.owner.as_ref()
    }

    /// Notes an entry that knows of this agent.
    pub fn known_to(&mut self, entry: EntryId) {
        self.known_to.insert(entry);
    }

    /// Opens a question for a confirmation, asked at `at`.
    pub fn ask(&mut self, at: Instant) -> Nonce {
        self.next_nonce += 1;
        if self.asked_at.len() >= MAX_OPEN_QUESTIONS {
            self.asked_at.shift_remove_index(0);
        }
        self.asked_at.insert(self.next_nonce, at);
        self.next_nonce
    }

    /// Takes a confirmation: the lease runs from the moment of the question.
    pub fn confirm(&mut self, entry: &EntryId, confirmation: &Confirmation) {
        let Some(asked_at) = self.asked_at.get(&confirmation.nonce).copied() else {
            return;
        };
        if confirmation.epoch < self.epoch {
            return;
        }
        if confirmation.epoch > self.epoch {
            self.raise(entry, confirmation.epoch);
        }
        let voters = &confirmation.voters;
        if !voters.is_empty() && !is_majority(voters, &self.known_to) {
            // A new owner might not learn of this agent.
            return;
        }
        let until = asked_at + OWNERSHIP_LEASE;
        self.lease_until = self.lease_until.max(Some(until));
    }

    /// Takes a newer epoch; the lease of the earlier one ends.
    ///
    /// Returns whether `epoch` is now the newest.
    pub fn raise(&mut self, entry: &EntryId, epoch: Epoch) -> bool {
        if epoch < self.epoch {
            return false;
        }
        if epoch > self.epoch {
            self.epoch = epoch;
            self.lease_until = None;
        }
        self.owner = Some(entry.clone());
        true
    }

    /// Returns the ownership under which a start is allowed at `at`, if any.
    #[must_use]
    pub fn leased(&self, at: Instant) -> Option<Epoch> {
        let is_valid = self.lease_until.is_some_and(|until| at < until);
        is_valid.then_some(self.epoch)
    }

    /// Checks whether a start under `epoch` is allowed at `at`.
    ///
    /// # Errors
    /// Returns the reason for which it is not.
    pub fn check(&self, at: Instant, epoch: Epoch) -> Result<(), StartRefusal> {
        if epoch != self.epoch {
            return Err(StartRefusal::StaleEpoch);
        }
        match self.leased(at) {
            Some(_) => Ok(()),
            None => Err(StartRefusal::LeaseLapsed),
        }
    }
}
