//! State that an agent keeps for its endpoint.

use {
    crate::{
        guard::{
            Announcement, EndNumber, EndpointClock, EndpointHealth, EndpointTime, GuardConf,
            announcement_order::AnnouncementOrder,
        },
        timing::{ENDPOINT_SILENCE_LIMIT, FAILING_PAUSE, IMMEDIATE_LIST_AFTER},
    },
    chestnutrun_types::{EndpointInfo, TaskId},
    std::time::Instant,
};

/// Unanswered list orders, and when the last one was sent.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ListsInFlight {
    /// Whether a long poll, which waits for ended runs, is unanswered.
    pub(crate) long_poll: bool,
    /// When the unanswered immediate list was sent.
    pub(crate) immediate_sent_at: Option<Instant>,
    /// When the last order of either kind was sent.
    pub(crate) last_sent_at: Option<Instant>,
}

impl ListsInFlight {
    /// Returns when the next immediate list is due while tasks run.
    pub(crate) fn immediate_list_at(&self) -> Option<Instant> {
        self.last_sent_at.map(|at| at + IMMEDIATE_LIST_AFTER)
    }
}

/// What is known of the process that an endpoint announced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ProcessState {
    /// The process answers, or is only silent.
    Present,
    /// No connection was made for the last order.
    Unreachable,
    /// Another endpoint answers at the address.
    Superseded,
}

/// State that an agent keeps for its endpoint.
#[derive(Debug)]
pub(crate) struct EndpointState {
    pub(crate) info: EndpointInfo,
    pub(crate) clock: EndpointClock,
    /// Tells late announcements from new ones; none until the incarnation announced itself.
    pub(crate) order: Option<AnnouncementOrder>,
    pub(crate) health: EndpointHealth,
    pub(crate) is_leaving: bool,
    /// When the endpoint said that it ends; none once it answered a later list.
    pub(crate) end_reported_at: Option<Instant>,
    pub(crate) process: ProcessState,
    /// Announcement of another endpoint, taken once this one no longer answers.
    pub(crate) successor: Option<Announcement>,
    /// Tasks whose lease ended while the endpoint was silent.
    pub(crate) lapsed: Vec<TaskId>,
    /// Whether the endpoint is known to run only tasks that this agent started.
    pub(crate) is_clean: bool,
    /// When runs that this agent does not know must be over; none unless the last list
    /// shows one.
    pub(crate) foreign_over_by: Option<Instant>,
    /// Number of the newest end that was processed.
    pub(crate) last_end: EndNumber,
    /// When the endpoint last answered or announced itself.
    pub(crate) last_contact_at: Instant,
    /// Unanswered list orders.
    pub(crate) lists: ListsInFlight,
    /// Moment before which no list order is sent, because one was refused or its
    /// connection broke.
    pub(crate) lists_paused_until: Option<Instant>,
    /// How many runs failed.
    pub(crate) failures: usize,
    /// When a run last failed.
    pub(crate) failed_at: Option<Instant>,
    /// Moment before which no start is sent, because one was refused for lack of
    /// room.
    pub(crate) full_until: Option<Instant>,
}

impl EndpointState {
    pub(crate) fn new(now: Instant, announcement: Announcement, conf: GuardConf) -> Self {
        Self {
            order: Some(AnnouncementOrder::new(announcement.sequence)),
            is_leaving: announcement.leaving,
            ..Self::unannounced(now, announcement.info, announcement.clock, conf)
        }
    }

    /// Creates the state of an incarnation that answers orders before it announces itself.
    /// Its labels and capacity are unknown, so that it gets no tasks.
    pub(crate) fn unannounced(
        now: Instant,
        info: EndpointInfo,
        reading: EndpointTime,
        conf: GuardConf,
    ) -> Self {
        Self {
            info,
            clock: EndpointClock::announced(now, reading, conf.longest_lease),
            order: None,
            health: EndpointHealth::default(),
            is_leaving: false,
            end_reported_at: None,
            process: ProcessState::Present,
            successor: None,
            lapsed: Vec::new(),
            is_clean: false,
            foreign_over_by: None,
            last_end: 0,
            last_contact_at: now,
            lists: ListsInFlight::default(),
            lists_paused_until: None,
            failures: 0,
            failed_at: None,
            full_until: None,
        }
    }

    /// Whether this incarnation announced itself.
    pub(crate) fn is_announced(&self) -> bool {
        self.order.is_some()
    }

    /// Records an announcement of this incarnation; returns whether it is a new one.
    pub(crate) fn accept_announcement(&mut self, sequence: u64) -> bool {
        if let Some(order) = &mut self.order {
            return order.accept(sequence);
        }
        self.order = Some(AnnouncementOrder::new(sequence));
        true
    }

    /// Keeps the announcement of another endpoint. One that leaves does not stay after all.
    pub(crate) fn keep_successor(&mut self, mut announcement: Announcement) {
        let known = self.successor.as_ref().filter(|known| {
            known.info.endpoint == announcement.info.endpoint
                && known.info.incarnation == announcement.info.incarnation
        });
        announcement.leaving |= known.is_some_and(|known| known.leaving);
        self.successor = Some(announcement);
    }

    /// Records that the endpoint answered, so that its process is there.
    pub(crate) fn record_contact(&mut self, now: Instant) {
        self.last_contact_at = now;
        self.record_sent_order();
        self.lapsed.clear();
    }

    /// Records that an order was sent, so that a process accepted its connection.
    pub(crate) fn record_sent_order(&mut self) {
        if self.process == ProcessState::Unreachable {
            self.process = ProcessState::Present;
        }
    }

    /// Records that no connection was made for an order.
    pub(crate) fn record_unreachable(&mut self) {
        if self.process == ProcessState::Present {
            self.process = ProcessState::Unreachable;
        }
    }

    /// Whether the endpoint's process has ended: none accepts connections at its
    /// address, or that of another endpoint does.
    pub(crate) fn has_ended(&self) -> bool {
        self.process != ProcessState::Present
    }

    /// Whether the endpoint announced or reported its end.
    pub(crate) fn is_ending(&self) -> bool {
        self.is_leaving || self.end_reported_at.is_some()
    }

    /// Whether the endpoint reported its end and no longer answers.
    pub(crate) fn is_gone(&self, now: Instant) -> bool {
        self.end_reported_at.is_some() && (self.has_ended() || !self.is_responsive(now))
    }

    /// Records that the endpoint answered a list that was requested at this moment. One that
    /// did not announce its end is there to stay: the report of its end was that of an
    /// earlier incarnation. Returns whether that is news.
    pub(crate) fn disprove_end(&mut self, requested_at: Instant) -> bool {
        let is_later = self.end_reported_at.is_some_and(|at| at <= requested_at);
        let is_disproved = is_later && !self.is_leaving;
        if is_disproved {
            self.end_reported_at = None;
        }
        is_disproved
    }

    /// Whether the endpoint answered within `ENDPOINT_SILENCE_LIMIT`.
    pub(crate) fn is_responsive(&self, now: Instant) -> bool {
        now < self.last_contact_at + ENDPOINT_SILENCE_LIMIT
    }

    /// Returns how many tasks may be assigned to the endpoint now: one at a time
    /// if the endpoint is suspect, and none for `FAILING_PAUSE` after each failure
    /// if it is failing.
    pub(crate) fn most_tasks(&self, now: Instant, is_idle: bool) -> u16 {
        if !self.health.is_suspect() {
            return u16::MAX;
        }
        let must_pause =
            self.health.is_failing() && self.failed_at.is_some_and(|at| now < at + FAILING_PAUSE);
        u16::from(is_idle && !must_pause)
    }

    /// Returns the position, below `entries`, of the entry that may try a failing
    /// endpoint now; none if every entry may use the endpoint.
    pub(crate) fn turn(&self, now: Instant, entries: usize) -> Option<usize> {
        let failed_at = self.failed_at.filter(|_| self.health.is_failing())?;
        let since = now.saturating_duration_since(failed_at).as_millis();
        let turns = usize::try_from(since / FAILING_PAUSE.as_millis()).unwrap_or_default();
        Some((turns + self.failures) % entries.max(1))
    }

    /// Records a failed run.
    pub(crate) fn record_failed_run(&mut self, now: Instant) {
        self.health.record_failure();
        self.failed_at = Some(now);
        self.failures += 1;
    }

    /// Whether tasks may start at the endpoint.
    pub(crate) fn takes_work(&self, now: Instant) -> bool {
        self.is_clean
            && self.is_announced()
            && !self.is_ending()
            && self.process == ProcessState::Present
            && self.is_responsive(now)
    }
}
