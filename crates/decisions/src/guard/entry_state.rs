//! What an agent knows of one entry.

use {
    crate::timing::{OTHER_ZONE_REPORT_INTERVAL, REPORT_INTERVAL},
    chestnutrun_types::{AssignmentId, Incarnation, Resources, TaskEnd, ZoneId},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// How long ends are kept for an entry whose link is replaced: longer than an
/// entry without a link keeps its tasks.
const ENDS_KEPT: Duration = Duration::from_secs(3);

/// What an agent tells of its room.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RoomToTell {
    pub(crate) free: Resources,
    pub(crate) most_tasks: u16,
    pub(crate) slowness: f32,
}

impl RoomToTell {
    /// Returns the same without tasks for an entry whose turn it is not.
    pub(crate) fn in_turn(self, is_in_turn: bool) -> Self {
        Self {
            most_tasks: if is_in_turn { self.most_tasks } else { 0 },
            ..self
        }
    }
}

/// What an agent knows of one entry.
#[derive(Debug)]
pub(crate) struct EntryState {
    pub(crate) incarnation: Incarnation,
    pub(crate) zone: ZoneId,
    pub(crate) is_linked: bool,
    /// The entry was alive at this moment or later.
    pub(crate) proven_at: Option<Instant>,
    /// Newest assignment that was read.
    pub(crate) seen: AssignmentId,
    /// Whether the entry does not know the present room.
    pub(crate) is_stale: bool,
    /// The last update, and when it was sent.
    pub(crate) told: Option<(Instant, RoomToTell)>,
    /// Ends that the entry was not told yet.
    pub(crate) news: Vec<TaskEnd>,
    recent: VecDeque<(Instant, TaskEnd)>,
}

impl EntryState {
    pub(crate) fn new(incarnation: Incarnation, zone: ZoneId) -> Self {
        Self {
            incarnation,
            zone,
            is_linked: true,
            proven_at: None,
            seen: 0,
            is_stale: true,
            told: None,
            news: Vec::new(),
            recent: VecDeque::new(),
        }
    }

    /// Whether the entry was alive within a limit.
    pub(crate) fn is_proven(&self, now: Instant, limit: Duration) -> bool {
        self.proven_at.is_some_and(|at| now <= at + limit)
    }

    /// Returns when an update without ended tasks is due; none where the room
    /// changed too little to matter.
    ///
    /// A quarter of the present room is what one job more or less makes where
    /// there is little, and what changes no choice where there is much.
    pub(crate) fn report_at(
        &self,
        now: Instant,
        own_zone: &ZoneId,
        room: RoomToTell,
    ) -> Option<Instant> {
        if !self.is_linked || !self.is_stale {
            return None;
        }
        let Some((told_at, told)) = self.told else {
            return Some(now);
        };
        let interval = if self.zone == *own_zone {
            REPORT_INTERVAL
        } else {
            OTHER_ZONE_REPORT_INTERVAL
        };
        let free = room.free.cpu_millis;
        let least = free.div_ceil(4).max(1);
        let is_significant =
            told.most_tasks != room.most_tasks || told.free.cpu_millis.abs_diff(free) >= least;
        is_significant.then(|| told_at + interval)
    }

    /// Notes the end of one of the entry's tasks.
    pub(crate) fn ended(&mut self, now: Instant, end: TaskEnd) {
        while self
            .recent
            .front()
            .is_some_and(|(at, _)| *at + ENDS_KEPT < now)
        {
            self.recent.pop_front();
        }
        self.recent.push_back((now, end));
        self.news.push(end);
    }

    /// Returns the recent ends, whether they were told before or not.
    pub(crate) fn recent(&mut self) -> Vec<TaskEnd> {
        self.news.clear();
        self.recent.iter().map(|(_, end)| *end).collect()
    }
}
