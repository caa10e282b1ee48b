//! How entries vouch for ownerships while the table cannot be read.

use {
    crate::membership::{EntryMessage, MembershipMachine},
    chestnutrun_types::{EntryId, Epoch, Nonce, Now, ShardId, Vote, VoteBasis, VoteRequest},
    indexmap::{IndexMap, IndexSet},
    std::time::{Duration, Instant},
};

/// How long a read of the table may take before others are asked.
const SLOW_READ: Duration = Duration::from_millis(250);

/// How often others are asked.
const ROUND_INTERVAL: Duration = Duration::from_millis(300);

/// Questions to all voters, asked at one moment.
#[derive(Debug)]
pub(super) struct VouchRound {
    nonce: Nonce,
    began_at: Instant,
    words: IndexMap<ShardId, IndexSet<EntryId>>,
}

/// A question that waits for a read of the table.
#[derive(Debug)]
pub(super) struct VouchQuestion {
    from: EntryId,
    question: VoteRequest,
    at: Instant,
}

impl MembershipMachine {
    /// Asks the voters of owned shards where the table does not answer.
    pub(super) fn start_round_if_due(&mut self, now: Now) {
        let last = self.round.as_ref();
        let is_due = last.is_none_or(|round| now.instant >= round.began_at + ROUND_INTERVAL);
        if is_due && !self.owned.is_empty() && self.is_table_out(now) {
            self.start_round(now);
        }
    }

    /// Answers an owner's question, at once or after the next read.
    pub(super) fn asked_to_vouch(&mut self, now: Now, from: &EntryId, question: VoteRequest) {
        self.vouch_questions.push(VouchQuestion {
            from: from.clone(),
            question,
            at: now.instant,
        });
        if self.is_table_out(now) {
            self.give_word();
        }
    }

    /// Takes another entry's answer.
    pub(super) fn vouched(&mut self, from: &EntryId, vouched: Vote) {
        let question = vouched.request;
        let Some(round) = &mut self.round else {
            return;
        };
        let Some(owned) = self.owned.get(&question.shard) else {
            return;
        };
        if round.nonce != question.nonce || owned.owner.epoch != question.epoch {
            return;
        }
        let began_at = round.began_at;
        let words = round.words.entry(question.shard).or_default();
        words.insert(from.clone());
        if vouched.basis == VoteBasis::TableRead || owned.is_vouched(words) {
            self.confirm(question.shard, began_at);
        }
    }

    /// Answers what was asked before a read that succeeded began at `at`.
    pub(super) fn give_testimony(&mut self, at: Instant) {
        let questions = std::mem::take(&mut self.vouch_questions);
        for question in questions {
            if question.at > at {
                self.vouch_questions.push(question);
            } else if self.recorded_epoch(question.question.shard) == Some(question.question.epoch)
            {
                self.testify(&question, VoteBasis::TableRead);
            }
        }
    }

    /// Answers by what this entry knows; one that never read the table knows
    /// nothing.
    pub(super) fn give_word(&mut self) {
        let questions = std::mem::take(&mut self.vouch_questions);
        if self.table.is_none() {
            return;
        }
        for question in questions {
            let known = self.announced.get(&question.question.shard);
            if known.is_none_or(|epoch| *epoch <= question.question.epoch) {
                self.testify(&question, VoteBasis::NoLaterOwnership);
            }
        }
    }

    fn start_round(&mut self, now: Now) {
        let nonce = self.round.as_ref().map_or(0, |round| round.nonce) + 1;
        let me = self.conf.me.entry.clone();
        let mut words = IndexMap::new();
        let mut questions = Vec::new();
        for (shard, owned) in &self.owned {
            words.insert(*shard, IndexSet::from([me.clone()]));
            let question = VoteRequest {
                nonce,
                shard: *shard,
                epoch: owned.owner.epoch,
            };
            questions.push((owned.owner.voters.clone(), question));
        }
        self.round = Some(VouchRound {
            nonce,
            began_at: now.instant,
            words,
        });
        for (voters, question) in questions {
            for voter in voters.iter().filter(|voter| **voter != me) {
                self.send(voter, EntryMessage::Vouch(question));
            }
        }
    }

    fn testify(&mut self, question: &VouchQuestion, testimony: VoteBasis) {
        let vouched = Vote {
            request: question.question,
            basis: testimony,
        };
        self.send(&question.from, EntryMessage::Vouched(vouched));
    }

    fn recorded_epoch(&self, shard: ShardId) -> Option<Epoch> {
        let row = self.table.as_ref()?.owners.get(&shard)?;
        Some(row.value.epoch)
    }

    /// Whether the last read failed, or the present one takes too long.
    fn is_table_out(&self, now: Now) -> bool {
        let began_at = self.read_began_at.filter(|_| self.is_reading);
        self.has_failed || began_at.is_some_and(|at| now.instant >= at + SLOW_READ)
    }
}
