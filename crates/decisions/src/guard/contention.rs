//! Room that is kept for urgent tasks while they are short of it.

use {
    crate::timing::OTHER_ZONE_REPORT_INTERVAL,
    chestnutrun_types::{Reserve, Resources},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// How long room is kept after an urgent task was short of it: by then every entry has
/// a report that tells of it.
const RESERVE_KEPT: Duration = OTHER_ZONE_REPORT_INTERVAL;

/// A priority of which a task was short of room.
#[derive(Clone, Copy, Debug)]
struct Shortage {
    need: Resources,
    until: Instant,
}

/// Room that is kept for urgent tasks while they are short of it.
///
/// Without it, tasks that run long fill an endpoint under overload, and a job with
/// many short tasks hardly ever finds room for all of them in time.
#[derive(Debug, Default)]
pub(crate) struct Contention {
    by_priority: BTreeMap<u32, Shortage>,
}

impl Contention {
    /// Records that a task of a priority found no room.
    pub(crate) fn record(&mut self, now: Instant, priority: u32, need: Resources) {
        self.by_priority.retain(|_, shortage| now < shortage.until);
        let until = now + RESERVE_KEPT;
        let shortage = self
            .by_priority
            .entry(priority)
            .or_insert(Shortage { need, until });
        shortage.until = until;
        shortage.need = shortage.need.max(need);
    }

    /// Returns the room that is kept now, for the most urgent priority that was
    /// short of it.
    pub(crate) fn reserve(&self, now: Instant) -> Reserve {
        let mut short = self
            .by_priority
            .iter()
            .filter(|(_, shortage)| now < shortage.until);
        short
            .next()
            .map_or_else(Reserve::default, |(priority, shortage)| Reserve {
                room: shortage.need,
                from_priority: priority.saturating_add(1),
            })
    }
}
