//! Replies that are true only while the ownership is in force.

use {
    crate::owner::OwnerAction,
    chestnutrun_types::{EntryId, JobReply},
    std::{collections::VecDeque, time::Instant},
};

/// Holds replies that claim "not run" until the ownership is confirmed.
///
/// A deposed owner may not know of its successor yet, so it can't rule out that
/// the successor started the task.
#[derive(Debug, Default)]
pub struct ReplyGate {
    held: VecDeque<(Instant, EntryId, JobReply)>,
}

impl ReplyGate {
    /// Holds the replies that need a confirmation of `at` or later; returns the
    /// other actions.
    pub fn hold_unconfirmed(&mut self, at: Instant, actions: Vec<OwnerAction>) -> Vec<OwnerAction> {
        let mut other_actions = Vec::with_capacity(actions.len());
        for action in actions {
            match action {
                OwnerAction::Reply(to, reply) if reply.reply.claims_not_run() => {
                    self.held.push_back((at, to, reply));
                }
                action => other_actions.push(action),
            }
        }
        other_actions
    }

    /// Removes and returns the replies held at or before `confirmed_at`.
    pub fn release(&mut self, confirmed_at: Instant) -> Vec<(EntryId, JobReply)> {
        let count = self.held.partition_point(|held| held.0 <= confirmed_at);
        let released = self.held.drain(..count);
        released.map(|(_, to, reply)| (to, reply)).collect()
    }

    /// Whether no reply is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}
