//! What an agent knows of its endpoint.

use {
    crate::{
        guard::{Announcement, EndNumber, EndpointClock, EndpointHealth},
        timing::{ENDPOINT_SILENCE_LIMIT, REFUSED_PAUSE},
    },
    chestnutrun_types::EndpointInfo,
    std::time::Instant,
};

/// The list orders that are out.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ListsOut {
    /// One that waits for ends.
    pub(crate) poll: bool,
    /// One that does not wait.
    pub(crate) look: bool,
}

/// What an agent knows of its endpoint.
#[derive(Debug)]
pub(crate) struct EndpointState {
    pub(crate) info: EndpointInfo,
    pub(crate) clock: EndpointClock,
    /// Position of the newest announcement.
    pub(crate) sequence: u64,
    pub(crate) health: EndpointHealth,
    pub(crate) is_leaving: bool,
    /// Whether runs that this agent did not start are gone.
    pub(crate) is_clean: bool,
    /// Newest end that was noted.
    pub(crate) seen: EndNumber,
    /// When the endpoint last answered or announced itself.
    pub(crate) heard_at: Instant,
    /// The list orders that are out.
    pub(crate) lists: ListsOut,
    /// Moment until which no list is asked for, after one was refused.
    pub(crate) poll_after: Option<Instant>,
    /// Moment until which no start is tried, after one was refused for room.
    pub(crate) full_until: Option<Instant>,
    /// Moment until which no work is taken, after an order failed at once.
    pub(crate) failing_until: Option<Instant>,
}

impl EndpointState {
    pub(crate) fn new(now: Instant, announcement: Announcement) -> Self {
        Self {
            info: announcement.info,
            clock: EndpointClock::new(now, announcement.clock),
            sequence: announcement.sequence,
            health: EndpointHealth::default(),
            is_leaving: announcement.leaving,
            is_clean: false,
            seen: 0,
            heard_at: now,
            lists: ListsOut::default(),
            poll_after: None,
            full_until: None,
            failing_until: None,
        }
    }

    /// Whether the endpoint answered a short while ago.
    pub(crate) fn is_heard(&self, now: Instant) -> bool {
        now < self.heard_at + ENDPOINT_SILENCE_LIMIT
    }

    /// Whether tasks may start.
    pub(crate) fn takes_work(&self, now: Instant) -> bool {
        let is_failing = self.failing_until.is_some_and(|until| now < until);
        self.is_clean && !self.is_leaving && !is_failing && self.is_heard(now)
    }

    /// Takes no work for a while where an order sent at `sent_at` has failed at
    /// once: each try costs a connection. One that was not answered in time
    /// has waited long enough.
    pub(crate) fn note_failed(&mut self, now: Instant, sent_at: Instant) {
        let until = sent_at + REFUSED_PAUSE;
        if now < until {
            self.failing_until = self.failing_until.max(Some(until));
        }
    }
}
