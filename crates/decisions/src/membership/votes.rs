//! Votes of entries on the validity of ownerships while an owner cannot read the
//! table.

use {
    crate::membership::{EntryMessage, MembershipMachine},
    chestnutrun_types::{EntryId, Epoch, Nonce, Now, ShardId, Vote, VoteBasis, VoteRequest},
    indexmap::{IndexMap, IndexSet},
    std::time::{Duration, Instant},
};

/// How long a read of the table may take before the owner requests votes.
const SLOW_READ: Duration = Duration::from_millis(250);

/// Shortest time between two rounds of vote requests.
const ROUND_INTERVAL: Duration = Duration::from_millis(300);

/// Vote requests sent to the voters of all owned shards at one moment, and the
/// votes received.
#[derive(Debug)]
pub(super) struct VoteRound {
    nonce: Nonce,
    began_at: Instant,
    votes: IndexMap<ShardId, IndexSet<EntryId>>,
}

/// A vote request from an owner that has not been answered.
#[derive(Debug)]
pub(super) struct PendingVoteRequest {
    from: EntryId,
    request: VoteRequest,
    at: Instant,
}

impl MembershipMachine {
    /// Requests votes for the owned shards if the table is unavailable and the last
    /// round is old enough.
    pub(super) fn start_vote_round_if_due(&mut self, now: Now) {
        let last = self.vote_round.as_ref();
        let is_due = last.is_none_or(|round| now.instant >= round.began_at + ROUND_INTERVAL);
        if is_due && !self.owned.is_empty() && self.is_table_unavailable(now) {
            self.start_vote_round(now);
        }
    }

    /// Queues an owner's vote request; answers it at once if the table is
    /// unavailable.
    pub(super) fn handle_vote_request(&mut self, now: Now, from: &EntryId, request: VoteRequest) {
        self.pending_vote_requests.push(PendingVoteRequest {
            from: from.clone(),
            request,
            at: now.instant,
        });
        if self.is_table_unavailable(now) {
            self.vote_from_memory();
        }
    }

    /// Counts another entry's vote.
    ///
    /// One vote of an entry that read the table confirms the ownership; votes from
    /// memory confirm it once a majority of the voters sent one.
    pub(super) fn handle_vote(&mut self, from: &EntryId, vote: Vote) {
        let request = vote.request;
        let Some(round) = &mut self.vote_round else {
            return;
        };
        let Some(owned) = self.owned.get(&request.shard) else {
            return;
        };
        if round.nonce != request.nonce || owned.owner.epoch != request.epoch {
            return;
        }
        let began_at = round.began_at;
        let votes = round.votes.entry(request.shard).or_default();
        votes.insert(from.clone());
        if vote.basis == VoteBasis::TableRead || owned.has_vote_majority(votes) {
            self.confirm(request.shard, began_at);
        }
    }

    /// Answers the vote requests that arrived before the last successful read began
    /// at `at`: a vote is sent if the read shows the requested epoch.
    pub(super) fn vote_from_read(&mut self, at: Instant) {
        let requests = std::mem::take(&mut self.pending_vote_requests);
        for pending in requests {
            if pending.at > at {
                self.pending_vote_requests.push(pending);
            } else if self.recorded_epoch(pending.request.shard) == Some(pending.request.epoch) {
                self.send_vote(&pending, VoteBasis::TableRead);
            }
        }
    }

    /// Votes for the requested ownerships unless this entry knows of a later one; an
    /// entry that has never read the table sends no votes.
    pub(super) fn vote_from_memory(&mut self) {
        let requests = std::mem::take(&mut self.pending_vote_requests);
        if self.table.is_none() {
            return;
        }
        for pending in requests {
            let known = self.newest_epochs.get(&pending.request.shard);
            if known.is_none_or(|epoch| *epoch <= pending.request.epoch) {
                self.send_vote(&pending, VoteBasis::NoLaterOwnership);
            }
        }
    }

    fn start_vote_round(&mut self, now: Now) {
        let nonce = self.vote_round.as_ref().map_or(0, |round| round.nonce) + 1;
        let me = self.conf.me.entry.clone();
        let mut votes = IndexMap::new();
        let mut requests = Vec::new();
        for (shard, owned) in &self.owned {
            votes.insert(*shard, IndexSet::from([me.clone()]));
            let request = VoteRequest {
                nonce,
                shard: *shard,
                epoch: owned.owner.epoch,
            };
            requests.push((owned.owner.voters.clone(), request));
        }
        self.vote_round = Some(VoteRound {
            nonce,
            began_at: now.instant,
            votes,
        });
        for (voters, request) in requests {
            for voter in voters.iter().filter(|voter| **voter != me) {
                self.send(voter, EntryMessage::VoteRequest(request));
            }
        }
    }

    fn send_vote(&mut self, pending: &PendingVoteRequest, basis: VoteBasis) {
        let vote = Vote {
            request: pending.request,
            basis,
        };
        self.send(&pending.from, EntryMessage::Vote(vote));
    }

    fn recorded_epoch(&self, shard: ShardId) -> Option<Epoch> {
        let row = self.table.as_ref()?.owners.get(&shard)?;
        Some(row.value.epoch)
    }

    /// Whether the last read of the table failed or the current one is slow.
    fn is_table_unavailable(&self, now: Now) -> bool {
        let began_at = self.read_began_at.filter(|_| self.is_reading);
        self.last_read_failed || began_at.is_some_and(|at| now.instant >= at + SLOW_READ)
    }
}
