//! What an agent knows of one entry.

use {
    chestnutrun_types::{AssignmentId, Incarnation, TaskEnd},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// How long ends are kept for an entry whose link is replaced: longer than an
/// entry without a link keeps its tasks.
const ENDS_KEPT: Duration = Duration::from_secs(3);

/// What an agent knows of one entry.
#[derive(Debug)]
pub(crate) struct EntryState {
    pub(crate) incarnation: Incarnation,
    pub(crate) is_linked: bool,
    /// The entry was alive at this moment or later.
    pub(crate) proven_at: Option<Instant>,
    /// Newest assignment that was read.
    pub(crate) seen: AssignmentId,
    /// Whether the entry does not know the present room.
    pub(crate) is_stale: bool,
    /// When the last update was sent.
    pub(crate) told_at: Option<Instant>,
    /// Ends that the entry was not told yet.
    pub(crate) news: Vec<TaskEnd>,
    recent: VecDeque<(Instant, TaskEnd)>,
}

impl EntryState {
    pub(crate) fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            is_linked: true,
            proven_at: None,
            seen: 0,
            is_stale: true,
            told_at: None,
            news: Vec::new(),
            recent: VecDeque::new(),
        }
    }

    /// Whether the entry was alive within a limit.
    pub(crate) fn is_proven(&self, now: Instant, limit: Duration) -> bool {
        self.proven_at.is_some_and(|at| now <= at + limit)
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
