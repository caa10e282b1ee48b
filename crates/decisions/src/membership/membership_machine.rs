//! State machine for the membership and the ownerships of one entry.

use {
    crate::membership::{
        AgentRuns, MembershipAction, MembershipInput, OwnedShard, Peers,
        votes::{PendingVoteRequest, VoteRound},
    },
    chestnutrun_types::{
        Confirmation, Electorate, EndpointId, Epoch, Member, MemberList, Nonce, Now, ShardId,
        ShardOwner, TableRow, TableSnapshot, TableWrite, WriteResult,
    },
    indexmap::IndexMap,
    std::time::{Duration, Instant},
};

/// Interval between reads of the table.
const READ_INTERVAL: Duration = Duration::from_millis(300);

/// An agent's unanswered request to confirm the ownership of its shard.
#[derive(Clone, Debug)]
pub(super) struct ConfirmRequest {
    endpoint: EndpointId,
    shard: ShardId,
    nonce: Nonce,
    at: Instant,
}

/// Settings of a [`MembershipMachine`].
#[derive(Clone, Debug)]
pub struct MembershipConf {
    /// This entry, as it is recorded among the members.
    pub me: Member,
    /// Number of shards of the site.
    pub shards: ShardId,
}

/// Keeps this entry recorded as a member, claims shards without an owner, and
/// confirms the ownerships of this entry.
#[derive(Debug)]
pub struct MembershipMachine {
    pub(super) conf: MembershipConf,
    pub(super) table: Option<TableSnapshot>,
    pub(super) peers: Peers,
    pub(super) owned: IndexMap<ShardId, OwnedShard>,
    /// Claims that are not yet known to be recorded, each with the electorates of
    /// earlier ownerships.
    pub(super) open_claims: IndexMap<(ShardId, Epoch), Vec<Electorate>>,
    pub(super) agents: AgentRuns,
    /// Newest known epoch of each shard.
    pub(super) newest_epochs: IndexMap<ShardId, Epoch>,
    pub(super) is_reading: bool,
    pub(super) next_read_at: Option<Instant>,
    pub(super) read_began_at: Option<Instant>,
    /// Writes whose result is not known yet.
    pub(super) open_writes: Vec<TableWrite>,
    pub(super) last_read_failed: bool,
    pub(super) confirm_requests: Vec<ConfirmRequest>,
    pub(super) vote_round: Option<VoteRound>,
    pub(super) pending_vote_requests: Vec<PendingVoteRequest>,
    pub(super) leaving: bool,
    pub(super) actions: Vec<MembershipAction>,
}

impl MembershipMachine {
    /// Creates a machine that has not read the table.
    #[must_use]
    pub fn new(conf: MembershipConf) -> Self {
        Self {
            conf,
            table: None,
            peers: Peers::default(),
            owned: IndexMap::new(),
            open_claims: IndexMap::new(),
            agents: AgentRuns::default(),
            newest_epochs: IndexMap::new(),
            is_reading: false,
            next_read_at: None,
            read_began_at: None,
            open_writes: Vec::new(),
            last_read_failed: false,
            confirm_requests: Vec::new(),
            vote_round: None,
            pending_vote_requests: Vec::new(),
            leaving: false,
            actions: Vec::new(),
        }
    }

    /// Processes an input and returns the resulting actions in order.
    pub fn handle(&mut self, now: Now, input: MembershipInput) -> Vec<MembershipAction> {
        match input {
            MembershipInput::Read(snapshot) => self.handle_read(now, *snapshot),
            MembershipInput::ReadFailed => self.handle_read_failure(),
            MembershipInput::Written(write, result) => {
                self.handle_write_result(now, &write, result);
            }
            MembershipInput::LinkUp(entry) => self.link_up(entry),
            MembershipInput::LinkDown(entry) => self.peers.link_down(now.instant, entry),
            MembershipInput::Confirm(endpoint, shard, nonce) => {
                self.confirm_requests.push(ConfirmRequest {
                    endpoint,
                    shard,
                    nonce,
                    at: now.instant,
                });
            }
            MembershipInput::AgentUp(hello) => self.agent_up(&hello),
            MembershipInput::AgentDown(endpoint, run) => {
                self.agents.link_down(now.instant, &endpoint, run);
            }
            MembershipInput::AgentDeparted(endpoint, run, jobs) => {
                self.agents.record_departure(&endpoint, run, jobs);
                self.broadcast_known_agents();
            }
            MembershipInput::FromEntry(entry, message) => {
                self.handle_entry_message(now, &entry, message);
            }
            MembershipInput::Leave => self.leave(),
            MembershipInput::Tick => self.tick(now),
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the shards that this entry owns, with their epochs.
    pub fn owned(&self) -> impl Iterator<Item = (ShardId, Epoch)> + '_ {
        self.owned
            .iter()
            .map(|(shard, owned)| (*shard, owned.owner.epoch))
    }

    /// Whether this entry has left the site: it is no longer a member, and it owns
    /// no shard or no linked entry could take its shards over.
    #[must_use]
    pub fn has_left(&self) -> bool {
        let has_peers = self.peers.any_linked();
        self.leaving && !self.is_recorded() && (self.owned.is_empty() || !has_peers)
    }

    /// Returns the last successful read of the table.
    #[must_use]
    pub fn table(&self) -> Option<&TableSnapshot> {
        self.table.as_ref()
    }

    fn tick(&mut self, now: Now) {
        self.agents.expire(now.instant);
        let is_due = self.next_read_at.is_none_or(|at| now.instant >= at);
        if is_due && !self.is_reading {
            self.start_read(now);
        }
        self.start_vote_round_if_due(now);
    }

    fn start_read(&mut self, now: Now) {
        self.is_reading = true;
        self.next_read_at = Some(now.instant + READ_INTERVAL);
        self.read_began_at = Some(now.instant);
        self.actions.push(MembershipAction::Read);
    }

    fn handle_read_failure(&mut self) {
        self.is_reading = false;
        self.last_read_failed = true;
        self.vote_from_memory();
    }

    fn handle_read(&mut self, now: Now, snapshot: TableSnapshot) {
        self.is_reading = false;
        self.last_read_failed = false;
        let members: Vec<Member> = snapshot.members.values().map(|m| m.value.clone()).collect();
        self.peers.add_members(now.instant, members.iter());
        self.actions.push(MembershipAction::Members(MemberList {
            revision: snapshot.revision,
            members,
            ..MemberList::default()
        }));
        let configuration = snapshot.configuration.clone();
        self.actions
            .push(MembershipAction::Configured(configuration));
        let owners: Vec<ShardOwner> = snapshot.owners.values().map(|o| o.value.clone()).collect();
        self.table = Some(snapshot);
        for owner in owners {
            self.apply_owner(now, owner);
        }
        self.confirm_from_read();
        self.update_member_row();
        self.claim_shards(now);
        self.refresh_rows();
    }

    /// Applies an ownership that the table records, unless a later one is known.
    pub(super) fn apply_owner(&mut self, now: Now, owner: ShardOwner) {
        let shard = owner.shard;
        let newest = self.newest_epochs.get(&shard).copied().unwrap_or_default();
        if owner.epoch < newest {
            // The read began before the later ownership was written.
            return;
        }
        if self.is_me(&owner) {
            self.take_ownership(now, &owner);
        } else if self.owned.shift_remove(&shard).is_some() {
            self.actions.push(MembershipAction::OwnershipLost(shard));
        }
        if self.newest_epochs.get(&shard) != Some(&owner.epoch) {
            self.newest_epochs.insert(shard, owner.epoch);
            self.actions.push(MembershipAction::OwnerChanged(owner));
        }
    }

    /// Answers the requests of agents and owners that arrived before the read that
    /// just succeeded began.
    fn confirm_from_read(&mut self) {
        let Some(at) = self.read_began_at else {
            return;
        };
        let owned: Vec<ShardId> = self.owned.keys().copied().collect();
        for shard in owned {
            self.confirm(shard, at);
        }
        self.confirm_requests.retain(|request| request.at > at);
        self.vote_from_read(at);
    }

    /// Confirms an ownership that was valid at or after `at` to the agents whose
    /// requests arrived by then.
    pub(super) fn confirm(&mut self, shard: ShardId, at: Instant) {
        let Some(owned) = self.owned.get(&shard) else {
            return;
        };
        for request in &self.confirm_requests {
            if request.shard == shard && request.at <= at {
                let confirmation = Confirmation {
                    nonce: request.nonce,
                    shard,
                    epoch: owned.owner.epoch,
                    voters: owned.owner.voters.clone(),
                };
                let endpoint = request.endpoint.clone();
                self.actions
                    .push(MembershipAction::Confirm(endpoint, confirmation));
            }
        }
        self.confirm_requests
            .retain(|request| request.shard != shard || request.at > at);
        self.actions
            .push(MembershipAction::OwnershipConfirmed { shard, at });
    }

    /// Writes this entry's row if the table lacks it, or removes the row if the
    /// entry is leaving.
    fn update_member_row(&mut self) {
        if self.leaving {
            self.leave();
            return;
        }
        let me = self.conf.me.clone();
        let row = self.table.as_ref().and_then(|t| t.members.get(&me.entry));
        let expected = row.map_or(0, |row| row.revision);
        let is_replaced = row.is_some_and(|row| row.value.incarnation > me.incarnation);
        if !is_replaced && row.is_none_or(|row| row.value != me) {
            self.write_row(TableWrite {
                row: TableRow::Member(me),
                expected,
            });
        }
    }

    pub(super) fn write_row(&mut self, write: TableWrite) {
        if !self.open_writes.contains(&write) {
            self.open_writes.push(write.clone());
            self.actions.push(MembershipAction::Write(write));
        }
    }

    fn handle_write_result(&mut self, now: Now, write: &TableWrite, result: WriteResult) {
        self.open_writes.retain(|open| open != write);
        if matches!(result, WriteResult::Accepted(_))
            && let TableRow::Owner(owner) = &write.row
        {
            self.apply_owner(now, owner.clone());
        }
        // After a conflict or a lost answer the next read shows what is recorded.
        self.next_read_at = Some(now.instant);
    }

    fn leave(&mut self) {
        self.leaving = true;
        let entry = self.conf.me.entry.clone();
        let row = self.table.as_ref().and_then(|t| t.members.get(&entry));
        if let Some(row) = row.filter(|row| row.value == self.conf.me) {
            let expected = row.revision;
            self.write_row(TableWrite {
                row: TableRow::MemberRemoval(entry),
                expected,
            });
        }
    }

    pub(super) fn is_me(&self, owner: &ShardOwner) -> bool {
        let me = &self.conf.me;
        owner.entry == me.entry && owner.incarnation == me.incarnation
    }

    pub(super) fn is_recorded(&self) -> bool {
        let me = &self.conf.me;
        let row = self.table.as_ref().and_then(|t| t.members.get(&me.entry));
        row.is_some_and(|row| row.value == *me)
    }
}
