//! State that an agent keeps for each entry.

use {
    crate::{
        crashes::CrashNumber,
        speeds::is_speed_news,
        timing::{AMPLE_REPORT_INTERVAL, OTHER_ZONE_REPORT_INTERVAL, REPORT_INTERVAL},
    },
    chestnutrun_types::{
        AssignmentId, EndpointSpeed, Incarnation, Reserve, Resources, TaskEnd, ZoneId,
    },
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// How long ended tasks are kept for an entry that links again: longer than an
/// entry keeps its tasks without a link to the agent.
const ENDS_KEPT: Duration = Duration::from_secs(3);

/// Free room, task limit and slowness that an agent reports to an entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ReportedRoom {
    pub(crate) free: Resources,
    pub(crate) reserve: Reserve,
    pub(crate) most_tasks: u16,
    pub(crate) slowness: f32,
    /// All room of the endpoint.
    pub(crate) total: Resources,
}

impl ReportedRoom {
    /// Whether so much room is free that a task more or less affects no placement.
    fn is_ample(&self) -> bool {
        self.free.cpu_millis >= self.total.cpu_millis / 2
    }

    /// Returns the report with a task limit of 0 unless it is the entry's turn.
    pub(crate) fn in_turn(self, is_in_turn: bool) -> Self {
        Self {
            most_tasks: if is_in_turn { self.most_tasks } else { 0 },
            ..self
        }
    }
}

/// State that an agent keeps for one entry.
#[derive(Debug)]
pub(crate) struct EntryState {
    pub(crate) incarnation: Incarnation,
    pub(crate) zone: ZoneId,
    pub(crate) is_linked: bool,
    /// Whether the link will be closed, so that the entry gets no more room.
    pub(crate) is_withdrawn: bool,
    /// Latest moment at which the entry is known to have been alive; none
    /// before the first proof.
    pub(crate) proven_at: Option<Instant>,
    /// Highest id of the assignments that were received.
    pub(crate) last_assignment: AssignmentId,
    /// Whether the room may have changed since the last report.
    pub(crate) is_stale: bool,
    /// When the last update was sent, and the room that it reported.
    pub(crate) last_report: Option<(Instant, ReportedRoom)>,
    /// Ended tasks that no update has reported yet.
    pub(crate) unsent_ends: Vec<TaskEnd>,
    /// Speed of the endpoint that was last reported to the entry on the present link.
    pub(crate) known_speed: Option<EndpointSpeed>,
    /// Number of the newest crash that was reported to the entry.
    pub(crate) known_crash: CrashNumber,
    /// Recently ended tasks, kept for at least `ENDS_KEPT`, and when they ended.
    recent_ends: VecDeque<(Instant, TaskEnd)>,
}

impl EntryState {
    pub(crate) fn new(incarnation: Incarnation, zone: ZoneId) -> Self {
        Self {
            incarnation,
            zone,
            is_linked: true,
            is_withdrawn: false,
            proven_at: None,
            last_assignment: 0,
            is_stale: true,
            last_report: None,
            unsent_ends: Vec::new(),
            known_speed: None,
            known_crash: 0,
            recent_ends: VecDeque::new(),
        }
    }

    /// Returns the room that is reported to the entry.
    pub(crate) fn offer(&self, room: ReportedRoom) -> ReportedRoom {
        room.in_turn(!self.is_withdrawn)
    }

    /// Whether the entry is linked, or may link again and ask for ends of its
    /// tasks.
    pub(crate) fn is_needed(&self, now: Instant) -> bool {
        let keeps_ends = |(at, _): &(Instant, TaskEnd)| now <= *at + ENDS_KEPT;
        let was_alive = self.proven_at.is_some_and(|at| now <= at + ENDS_KEPT);
        self.is_linked || was_alive || self.recent_ends.back().is_some_and(keeps_ends)
    }

    /// Whether the entry was proven alive within `limit` before `now`.
    pub(crate) fn is_proven(&self, now: Instant, limit: Duration) -> bool {
        self.proven_at.is_some_and(|at| now <= at + limit)
    }

    /// Returns when an update without ended tasks is due; none if the room changed
    /// too little to matter.
    ///
    /// A change matters if it is at least a quarter of the free room, and at once if
    /// little room is or was left. With little room, a quarter is one job; with much
    /// room, a smaller change affects no placement.
    pub(crate) fn report_due_at(
        &self,
        now: Instant,
        own_zone: &ZoneId,
        room: ReportedRoom,
    ) -> Option<Instant> {
        if !self.is_linked || !self.is_stale {
            return None;
        }
        let Some((reported_at, reported)) = self.last_report else {
            return Some(now);
        };
        let free = room.free.cpu_millis;
        let least = free.div_ceil(4).max(1);
        let is_significant = reported.most_tasks != room.most_tasks
            || reported.free.cpu_millis.abs_diff(free) >= least;
        let is_ample = room.is_ample() && reported.is_ample() && reported.most_tasks > 0;
        let interval = if is_ample {
            AMPLE_REPORT_INTERVAL
        } else if self.zone == *own_zone {
            REPORT_INTERVAL
        } else {
            OTHER_ZONE_REPORT_INTERVAL
        };
        is_significant.then(|| reported_at + interval)
    }

    /// Returns the speed of the endpoint if the entry must be told of it now, and takes it as
    /// reported.
    pub(crate) fn take_speed_news(
        &mut self,
        speed: Option<&EndpointSpeed>,
    ) -> Option<EndpointSpeed> {
        let news = speed.filter(|speed| is_speed_news(self.known_speed.as_ref(), speed))?;
        self.known_speed = Some(news.clone());
        Some(news.clone())
    }

    /// Queues the end of one of the entry's tasks for the next update.
    pub(crate) fn record_end(&mut self, now: Instant, end: TaskEnd) {
        while self
            .recent_ends
            .front()
            .is_some_and(|(at, _)| *at + ENDS_KEPT < now)
        {
            self.recent_ends.pop_front();
        }
        self.recent_ends.push_back((now, end));
        self.unsent_ends.push(end);
    }

    /// Returns all recent ends for a resync, reported before or not, and clears
    /// the queue.
    pub(crate) fn resync_ends(&mut self) -> Vec<TaskEnd> {
        self.unsent_ends.clear();
        self.recent_ends.iter().map(|(_, end)| *end).collect()
    }
}
