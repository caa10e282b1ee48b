//! The machine that keeps one entry's membership and ownerships.

use {
    crate::membership::{
        AgentLedger, MembershipAction, MembershipInput, OwnedShard, Peers,
        vouching::{VouchQuestion, VouchRound},
    },
    chestnutrun_types::{
        Confirmation, Electorate, EndpointId, Epoch, Member, MemberList, Nonce, Now, ShardId,
        ShardOwner, TableRow, TableSnapshot, TableWrite, WriteResult,
    },
    indexmap::IndexMap,
    std::time::{Duration, Instant},
};

/// How often the table is read.
const READ_INTERVAL: Duration = Duration::from_millis(300);

/// An agent's question which ownership is valid.
#[derive(Clone, Debug)]
pub(super) struct AgentQuestion {
    endpoint: EndpointId,
    shard: ShardId,
    nonce: Nonce,
    at: Instant,
}

/// What the machine is made for.
#[derive(Clone, Debug)]
pub struct MembershipConf {
    /// This entry.
    pub me: Member,
    /// Number of shards of the site.
    pub shards: ShardId,
}

/// Keeps this entry's row, and owns the shards that fall to it.
#[derive(Debug)]
pub struct MembershipMachine {
    pub(super) conf: MembershipConf,
    pub(super) table: Option<TableSnapshot>,
    pub(super) peers: Peers,
    pub(super) owned: IndexMap<ShardId, OwnedShard>,
    pub(super) claimed: IndexMap<(ShardId, Epoch), Vec<Electorate>>,
    pub(super) agents: AgentLedger,
    pub(super) announced: IndexMap<ShardId, Epoch>,
    pub(super) is_reading: bool,
    pub(super) next_read_at: Option<Instant>,
    pub(super) read_began_at: Option<Instant>,
    pub(super) writes: Vec<TableWrite>,
    pub(super) has_failed: bool,
    pub(super) asked: Vec<AgentQuestion>,
    pub(super) round: Option<VouchRound>,
    pub(super) vouch_questions: Vec<VouchQuestion>,
    pub(super) leaving: bool,
    pub(super) actions: Vec<MembershipAction>,
}

impl MembershipMachine {
    /// Creates a machine that knows nothing of the table.
    #[must_use]
    pub fn new(conf: MembershipConf) -> Self {
        Self {
            conf,
            table: None,
            peers: Peers::default(),
            owned: IndexMap::new(),
            claimed: IndexMap::new(),
            agents: AgentLedger::default(),
            announced: IndexMap::new(),
            is_reading: false,
            next_read_at: None,
            read_began_at: None,
            writes: Vec::new(),
            has_failed: false,
            asked: Vec::new(),
            round: None,
            vouch_questions: Vec::new(),
            leaving: false,
            actions: Vec::new(),
        }
    }

    /// Takes one input.
    pub fn handle(&mut self, now: Now, input: MembershipInput) -> Vec<MembershipAction> {
        match input {
            MembershipInput::Read(snapshot) => self.read(now, *snapshot),
            MembershipInput::ReadFailed => self.read_failed(),
            MembershipInput::Written(write, result) => self.written(now, &write, result),
            MembershipInput::LinkUp(entry) => self.link_up(entry),
            MembershipInput::LinkDown(entry) => self.peers.down(now.instant, entry),
            MembershipInput::Confirm(endpoint, shard, nonce) => {
                self.asked.push(AgentQuestion {
                    endpoint,
                    shard,
                    nonce,
                    at: now.instant,
                });
            }
            MembershipInput::AgentUp(hello) => self.agent_up(&hello),
            MembershipInput::AgentDown(endpoint, run) => {
                self.agents.down(now.instant, &endpoint, run);
            }
            MembershipInput::AgentDeparted(endpoint, run, jobs) => {
                self.agents.depart(&endpoint, run, jobs);
                self.tell_all_agents();
            }
            MembershipInput::FromEntry(entry, message) => {
                self.entry_message(now, &entry, message);
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

    /// Whether the site's other entries took over what this one had.
    #[must_use]
    pub fn has_left(&self) -> bool {
        let has_peers = self.peers.any_linked();
        self.leaving && !self.is_recorded() && (self.owned.is_empty() || !has_peers)
    }

    /// Returns what the last read of the table showed.
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
        self.start_round_if_due(now);
    }

    fn start_read(&mut self, now: Now) {
        self.is_reading = true;
        self.next_read_at = Some(now.instant + READ_INTERVAL);
        self.read_began_at = Some(now.instant);
        self.actions.push(MembershipAction::Read);
    }

    fn read_failed(&mut self) {
        self.is_reading = false;
        self.has_failed = true;
        self.give_word();
    }

    fn read(&mut self, now: Now, snapshot: TableSnapshot) {
        self.is_reading = false;
        self.has_failed = false;
        let members: Vec<Member> = snapshot.members.values().map(|m| m.value.clone()).collect();
        self.peers.record(now.instant, members.iter());
        self.actions.push(MembershipAction::Members(MemberList {
            revision: snapshot.revision,
            members,
        }));
        let configuration = snapshot.configuration.clone();
        self.actions
            .push(MembershipAction::Configured(configuration));
        let owners: Vec<ShardOwner> = snapshot.owners.values().map(|o| o.value.clone()).collect();
        self.table = Some(snapshot);
        for owner in owners {
            self.learn(now, owner);
        }
        self.confirm_read();
        self.join();
        self.claim(now);
        self.refresh_rows();
    }

    /// Takes an ownership that the table records.
    pub(super) fn learn(&mut self, now: Now, owner: ShardOwner) {
        let shard = owner.shard;
        let newest = self.announced.get(&shard).copied().unwrap_or_default();
        if owner.epoch < newest {
            // The read began before a later write.
            return;
        }
        if self.is_me(&owner) {
            self.own(now, &owner);
        } else if self.owned.shift_remove(&shard).is_some() {
            self.actions.push(MembershipAction::Deposed(shard));
        }
        if self.announced.get(&shard) != Some(&owner.epoch) {
            self.announced.insert(shard, owner.epoch);
            self.actions.push(MembershipAction::OwnerIs(owner));
        }
    }

    /// Confirms what was asked before the read that just succeeded began.
    fn confirm_read(&mut self) {
        let Some(at) = self.read_began_at else {
            return;
        };
        let owned: Vec<ShardId> = self.owned.keys().copied().collect();
        for shard in owned {
            self.confirm(shard, at);
        }
        self.asked.retain(|question| question.at > at);
        self.give_testimony(at);
    }

    /// Confirms an ownership that was valid at or after `at`.
    pub(super) fn confirm(&mut self, shard: ShardId, at: Instant) {
        let Some(owned) = self.owned.get(&shard) else {
            return;
        };
        for question in &self.asked {
            if question.shard == shard && question.at <= at {
                let confirmation = Confirmation {
                    nonce: question.nonce,
                    shard,
                    epoch: owned.owner.epoch,
                    voters: owned.owner.voters.clone(),
                };
                let endpoint = question.endpoint.clone();
                self.actions
                    .push(MembershipAction::Confirm(endpoint, confirmation));
            }
        }
        self.asked
            .retain(|question| question.shard != shard || question.at > at);
        self.actions.push(MembershipAction::Owned { shard, at });
    }

    /// Writes this entry's row where the table lacks it, or removes it where
    /// the entry leaves.
    fn join(&mut self) {
        if self.leaving {
            self.leave();
            return;
        }
        let me = self.conf.me.clone();
        let row = self.table.as_ref().and_then(|t| t.members.get(&me.entry));
        let expected = row.map_or(0, |row| row.revision);
        let is_replaced = row.is_some_and(|row| row.value.incarnation > me.incarnation);
        if !is_replaced && row.is_none_or(|row| row.value != me) {
            self.write(TableWrite {
                row: TableRow::Member(me),
                expected,
            });
        }
    }

    pub(super) fn write(&mut self, write: TableWrite) {
        if !self.writes.contains(&write) {
            self.writes.push(write.clone());
            self.actions.push(MembershipAction::Write(write));
        }
    }

    fn written(&mut self, now: Now, write: &TableWrite, result: WriteResult) {
        self.writes.retain(|open| open != write);
        if matches!(result, WriteResult::Accepted(_))
            && let TableRow::Owner(owner) = &write.row
        {
            self.learn(now, owner.clone());
        }
        // A conflict or a lost answer is settled by the next read.
        self.next_read_at = Some(now.instant);
    }

    fn leave(&mut self) {
        self.leaving = true;
        let entry = self.conf.me.entry.clone();
        let row = self.table.as_ref().and_then(|t| t.members.get(&entry));
        if let Some(row) = row.filter(|row| row.value == self.conf.me) {
            let expected = row.revision;
            self.write(TableWrite {
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
