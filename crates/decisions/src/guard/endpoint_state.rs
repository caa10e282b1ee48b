//! What an agent knows of its endpoint.

use {
    crate::{
        guard::{Announcement, EndNumber, EndpointClock, EndpointHealth},
        timing::{ENDPOINT_SILENCE_LIMIT, FAILING_PAUSE, IMMEDIATE_LIST_AFTER},
    },
    chestnutrun_types::EndpointInfo,
    std::time::Instant,
};

/// The list orders that are out.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ListsOut {
    /// One that waits for ends.
    pub(crate) poll: bool,
    /// One that does not wait, and when it was sent.
    pub(crate) look: Option<Instant>,
    /// When the newest was sent.
    pub(crate) sent_at: Option<Instant>,
}

impl ListsOut {
    /// Returns when one that does not wait is due, while something runs.
    pub(crate) fn look_at(&self) -> Option<Instant> {
        self.sent_at.map(|at| at + IMMEDIATE_LIST_AFTER)
    }
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
    /// Whether a later incarnation answers, which has not announced itself.
    pub(crate) is_superseded: bool,
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
    /// How many runs failed.
    pub(crate) failures: usize,
    /// When a run failed last.
    pub(crate) failed_at: Option<Instant>,
    /// Moment until which no start is tried, after one was refused for room.
    pub(crate) full_until: Option<Instant>,
}

impl EndpointState {
    pub(crate) fn new(now: Instant, announcement: Announcement) -> Self {
        Self {
            info: announcement.info,
            clock: EndpointClock::new(now, announcement.clock),
            sequence: announcement.sequence,
            health: EndpointHealth::default(),
            is_leaving: announcement.leaving,
            is_superseded: false,
            is_clean: false,
            seen: 0,
            heard_at: now,
            lists: ListsOut::default(),
            poll_after: None,
            failures: 0,
            failed_at: None,
            full_until: None,
        }
    }

    /// Whether the endpoint answered a short while ago.
    pub(crate) fn is_heard(&self, now: Instant) -> bool {
        now < self.heard_at + ENDPOINT_SILENCE_LIMIT
    }

    /// Returns how many tasks the endpoint is to get now.
    pub(crate) fn most_tasks(&self, now: Instant, is_idle: bool) -> u16 {
        if !self.health.is_suspect() {
            return u16::MAX;
        }
        let rests =
            self.health.is_failing() && self.failed_at.is_some_and(|at| now < at + FAILING_PAUSE);
        u16::from(is_idle && !rests)
    }

    /// Returns whose turn among `entries` it is to try an endpoint that fails
    /// nearly everything; none where each may.
    pub(crate) fn turn(&self, now: Instant, entries: usize) -> Option<usize> {
        let failed_at = self.failed_at.filter(|_| self.health.is_failing())?;
        let since = now.saturating_duration_since(failed_at).as_millis();
        let turns = usize::try_from(since / FAILING_PAUSE.as_millis()).unwrap_or_default();
        Some((turns + self.failures) % entries.max(1))
    }

    /// Notes that a run failed.
    pub(crate) fn run_failed(&mut self, now: Instant) {
        self.health.failed();
        self.failed_at = Some(now);
        self.failures += 1;
    }

    /// Whether tasks may start.
    pub(crate) fn takes_work(&self, now: Instant) -> bool {
        self.is_clean && !self.is_leaving && !self.is_superseded && self.is_heard(now)
    }
}
