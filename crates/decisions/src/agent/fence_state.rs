//! The newest ownership that an agent knows, and its lease.

use {
    crate::{membership::is_majority, timing::OWNERSHIP_LEASE},
    chestnutrun_types::{Confirmation, EntryId, Epoch, Nonce, StartRefusal},
    indexmap::{IndexMap, IndexSet},
    std::time::Instant,
};

/// Limit of unanswered confirmation requests; the oldest is dropped beyond it.
const MAX_OPEN_REQUESTS: usize = 16;

/// Checks starts against the owner's epoch and lease.
#[derive(Debug, Default)]
pub struct FenceState {
    epoch: Epoch,
    owner: Option<EntryId>,
    lease_until: Option<Instant>,
    next_nonce: Nonce,
    /// When each unanswered confirmation request was sent.
    open_requests: IndexMap<Nonce, Instant>,
    /// Entries that know of this agent.
    informed_entries: IndexSet<EntryId>,
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

    /// Records that an entry knows of this agent.
    pub fn add_informed_entry(&mut self, entry: EntryId) {
        self.informed_entries.insert(entry);
    }

    /// Registers a confirmation request sent at `at`; returns its nonce.
    pub fn open_request(&mut self, at: Instant) -> Nonce {
        self.next_nonce += 1;
        if self.open_requests.len() >= MAX_OPEN_REQUESTS {
            self.open_requests.shift_remove_index(0);
        }
        self.open_requests.insert(self.next_nonce, at);
        self.next_nonce
    }

    /// Applies a confirmation: the lease runs from the moment of the request.
    ///
    /// A confirmation extends no lease unless a majority of the owner's voters
    /// know of this agent.
    pub fn confirm(&mut self, entry: &EntryId, confirmation: &Confirmation) {
        let Some(requested_at) = self.open_requests.get(&confirmation.nonce).copied() else {
            return;
        };
        if confirmation.epoch < self.epoch {
            return;
        }
        if confirmation.epoch > self.epoch {
            self.raise(entry, confirmation.epoch);
        }
        let voters = &confirmation.voters;
        if !voters.is_empty() && !is_majority(voters, &self.informed_entries) {
            // Without that majority, a later owner might not learn of this agent.
            return;
        }
        let until = requested_at + OWNERSHIP_LEASE;
        self.lease_until = self.lease_until.max(Some(until));
    }

    /// Switches to an owner unless its epoch is older than the known one; a newer
    /// epoch ends the lease of the earlier one.
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

    /// Returns the epoch under which a start is allowed at `at`; none without a
    /// valid lease.
    #[must_use]
    pub fn leased_epoch(&self, at: Instant) -> Option<Epoch> {
        let is_valid = self.lease_until.is_some_and(|until| at < until);
        is_valid.then_some(self.epoch)
    }

    /// Checks whether a start under `epoch` is allowed at `at`.
    ///
    /// # Errors
    /// Returns an error if the epoch is not the newest or its lease has lapsed.
    pub fn check_start(&self, at: Instant, epoch: Epoch) -> Result<(), StartRefusal> {
        if epoch != self.epoch {
            return Err(StartRefusal::StaleEpoch);
        }
        match self.leased_epoch(at) {
            Some(_) => Ok(()),
            None => Err(StartRefusal::LeaseLapsed),
        }
    }
}
