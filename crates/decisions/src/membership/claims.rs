//! Claims of shards, and the messages between entries about ownerships.

use {
    crate::membership::{
        EntryMessage, MembershipAction, MembershipMachine, OwnedShard, peers::preference,
    },
    chestnutrun_types::{
        Acknowledgement, AgentHello, Electorate, EntryId, KnownAgents, Now, Revision, ShardId,
        ShardOwner, TableRow, TableWrite,
    },
};

/// Fewest voters of an ownership; with fewer members nobody votes on it.
const MIN_VOTERS: usize = 3;

impl MembershipMachine {
    /// Claims the shards without a reachable owner for which this entry is the
    /// preferred owner.
    pub(super) fn claim_shards(&mut self, now: Now) {
        if self.leaving || !self.is_recorded() {
            return;
        }
        for shard in 0..self.conf.shards {
            let row = self.table.as_ref().and_then(|t| t.owners.get(&shard));
            let is_unowned = row.is_none_or(|row| self.is_owner_lost(now, &row.value));
            if is_unowned && self.is_preferred_owner(shard) {
                let expected = row.map_or(0, |row| row.revision);
                let previous = row.map(|row| row.value.clone());
                self.claim_shard(shard, previous, expected);
            }
        }
    }

    fn claim_shard(&mut self, shard: ShardId, previous: Option<ShardOwner>, expected: Revision) {
        let epoch = previous.as_ref().map_or(0, |owner| owner.epoch) + 1;
        let earlier = previous.map(electorates).unwrap_or_default();
        self.open_claims.insert((shard, epoch), earlier.clone());
        let owner = ShardOwner {
            shard,
            entry: self.conf.me.entry.clone(),
            incarnation: self.conf.me.incarnation,
            epoch,
            voters: self.voters(),
            earlier,
        };
        self.write_row(TableWrite {
            row: TableRow::Owner(owner),
            expected,
        });
    }

    /// Begins an ownership that the table records for this entry, or updates a known
    /// one.
    pub(super) fn take_ownership(&mut self, now: Now, owner: &ShardOwner) {
        let (shard, epoch) = (owner.shard, owner.epoch);
        if let Some(owned) = self.owned.get_mut(&shard)
            && owned.owner.epoch == epoch
        {
            owned.owner = owner.clone();
            return;
        }
        if epoch == 1 && self.is_first_run() {
            self.agents.mark_complete();
            self.broadcast_known_agents();
        }
        let claimed = self.open_claims.shift_remove(&(shard, epoch));
        let earlier = claimed.unwrap_or_else(|| owner.earlier.clone());
        let mut begun = OwnedShard::new(owner.clone(), earlier);
        begun.acknowledgements.add(self.conf.me.entry.clone());
        self.owned.insert(shard, begun);
        self.actions.push(MembershipAction::OwnershipBegan {
            shard,
            epoch,
            written_at: now.instant,
            known: self.agents.shard_agents(shard),
        });
        self.check_acknowledged(now, shard, KnownAgents::default());
        self.announce_ownership(shard, None);
    }

    pub(super) fn link_up(&mut self, entry: EntryId) {
        self.send_known_agents(&entry);
        for shard in self.owned.keys().copied().collect::<Vec<_>>() {
            self.announce_ownership(shard, Some(&entry));
        }
        self.peers.link_up(entry);
    }

    pub(super) fn agent_up(&mut self, hello: &AgentHello) {
        if self.agents.link_up(hello) {
            self.broadcast_known_agents();
        }
    }

    pub(super) fn handle_entry_message(
        &mut self,
        now: Now,
        entry: &EntryId,
        message: EntryMessage,
    ) {
        match message {
            EntryMessage::Agents(agents) => self.merge_known_agents(now, agents),
            EntryMessage::Owner(owner) => self.handle_announced_owner(now, entry, owner),
            EntryMessage::Acknowledgement(ack) => self.handle_acknowledgement(now, entry, ack),
            EntryMessage::VoteRequest(request) => self.handle_vote_request(now, entry, request),
            EntryMessage::Vote(vote) => self.handle_vote(entry, vote),
        }
    }

    /// Rewrites the rows of owned shards whose voters changed or whose earlier
    /// electorates have acknowledged the ownership.
    pub(super) fn refresh_rows(&mut self) {
        if self.leaving {
            return;
        }
        let voters = self.voters();
        let mut writes = Vec::new();
        for (shard, owned) in &mut self.owned {
            let row = self.table.as_ref().and_then(|t| t.owners.get(shard));
            let Some(row) = row.filter(|row| row.value.epoch == owned.owner.epoch) else {
                continue;
            };
            owned
                .uncertain_voters
                .retain(|(expected, _)| *expected == row.revision);
            let owner = ShardOwner {
                voters: voters.clone(),
                earlier: owned.earlier_electorates(),
                ..row.value.clone()
            };
            if owner != row.value {
                let doubt = (row.revision, voters.clone());
                if !owned.uncertain_voters.contains(&doubt) {
                    owned.uncertain_voters.push(doubt);
                }
                writes.push(TableWrite {
                    row: TableRow::Owner(owner),
                    expected: row.revision,
                });
            }
        }
        for write in writes {
            self.write_row(write);
        }
    }

    /// Sends the ownership of a shard to one entry, or to every linked entry.
    fn announce_ownership(&mut self, shard: ShardId, to: Option<&EntryId>) {
        let Some(owned) = self.owned.get(&shard) else {
            return;
        };
        let message = EntryMessage::Owner(owned.owner.clone());
        let entries = match to {
            Some(entry) => vec![entry.clone()],
            None => self.peers.linked(),
        };
        for entry in entries {
            self.send(&entry, message.clone());
        }
    }

    /// Records an ownership that its owner announced, and acknowledges it if no
    /// later one is known.
    fn handle_announced_owner(&mut self, now: Now, entry: &EntryId, owner: ShardOwner) {
        let (shard, epoch) = (owner.shard, owner.epoch);
        self.apply_owner(now, owner);
        if self.newest_epochs.get(&shard) == Some(&epoch) {
            self.actions.push(MembershipAction::OwnerReady(shard));
            let acknowledgement = Acknowledgement {
                shard,
                epoch,
                agents: self.agents.shard_agents(shard),
            };
            self.send(entry, EntryMessage::Acknowledgement(acknowledgement));
        }
    }

    fn handle_acknowledgement(&mut self, now: Now, entry: &EntryId, ack: Acknowledgement) {
        self.agents.merge(now.instant, ack.agents.clone());
        let Some(owned) = self.owned.get_mut(&ack.shard) else {
            return;
        };
        if owned.owner.epoch == ack.epoch {
            owned.acknowledgements.add(entry.clone());
            self.check_acknowledged(now, ack.shard, ack.agents);
        }
    }

    /// Reports newly known agents of an owned shard. The first report after enough
    /// voters acknowledged the ownership also contains its own moment.
    fn check_acknowledged(&mut self, now: Now, shard: ShardId, agents: KnownAgents) {
        let Some(owned) = self.owned.get_mut(&shard) else {
            return;
        };
        let is_complete = owned.acknowledgements.is_complete();
        let at = (is_complete && !owned.acknowledged).then_some(now.instant);
        owned.acknowledged |= is_complete;
        self.actions
            .push(MembershipAction::Acknowledged { shard, at, agents });
    }

    fn merge_known_agents(&mut self, now: Now, agents: KnownAgents) {
        let was_complete = self.agents.is_complete();
        self.agents.merge(now.instant, agents);
        if self.agents.is_complete() && !was_complete {
            self.broadcast_known_agents();
        }
    }

    pub(super) fn broadcast_known_agents(&mut self) {
        for entry in self.peers.linked() {
            self.send_known_agents(&entry);
        }
    }

    fn send_known_agents(&mut self, entry: &EntryId) {
        let agents = self.agents.known_agents();
        self.send(entry, EntryMessage::Agents(agents));
    }

    pub(super) fn send(&mut self, entry: &EntryId, message: EntryMessage) {
        self.actions
            .push(MembershipAction::Send(entry.clone(), message));
    }

    /// Returns the voters for an ownership of this entry; none if there are fewer
    /// than [`MIN_VOTERS`] members.
    fn voters(&self) -> Electorate {
        let members = self.table.iter().flat_map(|table| table.members.keys());
        let mut voters: Electorate = members.cloned().collect();
        voters.sort();
        if voters.len() < MIN_VOTERS {
            return Vec::new();
        }
        voters
    }

    /// Whether no shard of the site had an owner before its current one.
    fn is_first_run(&self) -> bool {
        let owners = self.table.iter().flat_map(|table| table.owners.values());
        owners.map(|row| row.value.epoch).all(|epoch| epoch <= 1)
    }

    /// Whether the owner has restarted, left the site or is unreachable.
    fn is_owner_lost(&self, now: Now, owner: &ShardOwner) -> bool {
        if self.is_me(owner) {
            return false;
        }
        let row = self
            .table
            .as_ref()
            .and_then(|t| t.members.get(&owner.entry));
        match row {
            None => true,
            Some(row) if row.value.incarnation != owner.incarnation => true,
            Some(_) => self.peers.is_unreachable(now.instant, &owner.entry),
        }
    }

    /// Whether this entry is the preferred owner among itself and the linked entries.
    fn is_preferred_owner(&self, shard: ShardId) -> bool {
        let Some(table) = &self.table else {
            return false;
        };
        let me = &self.conf.me.entry;
        let is_live = |entry: &EntryId| entry == me || self.peers.is_linked(entry);
        let preferred = table
            .members
            .keys()
            .filter(|entry| is_live(entry))
            .max_by_key(|entry| preference(shard, entry));
        preferred == Some(me)
    }
}

/// Returns every electorate that may vote for an ownership or an earlier one.
fn electorates(owner: ShardOwner) -> Vec<Electorate> {
    let mut electorates = owner.earlier;
    if !owner.voters.is_empty() && !electorates.contains(&owner.voters) {
        electorates.push(owner.voters);
    }
    electorates
}
