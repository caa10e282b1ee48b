//! Replies that hold only while the ownership does.

use {
    crate::owner::OwnerAction,
    chestnutrun_types::{EntryId, JobReply},
    std::{collections::VecDeque, time::Instant},
};

/// Keeps replies that say "not run" until the ownership is confirmed.
///
/// An owner that was deposed and does not know it cannot tell what its
/// successor started.
#[derive(Debug, Default)]
pub struct ReplyGate {
    held: VecDeque<(Instant, EntryId, JobReply)>,
}

impl ReplyGate {
    /// Holds back what needs a confirmation later than `at`; returns the rest.
    pub fn pass(&mut self, at: Instant, actions: Vec<OwnerAction>) -> Vec<OwnerAction> {
        let mut passed = Vec::with_capacity(actions.len());
        for action in actions {
            match action {
                OwnerAction::Reply(to, reply) if reply.reply.claims_not_run() => {
                    self.held.push_back((at, to, reply));
                }
                action => passed.push(action),
            }
        }
        passed
    }

    /// Releases what was held at or before `confirmed_at`.
    pub fn release(&mut self, confirmed_at: Instant) -> Vec<(EntryId, JobReply)> {
        let count = self.held.partition_point(|held| held.0 <= confirmed_at);
        let released = self.held.drain(..count);
        released.map(|(_, to, reply)| (to, reply)).collect()
    }

    /// Whether nothing is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}
