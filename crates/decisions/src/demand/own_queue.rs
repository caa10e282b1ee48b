//! The waiting work of one service at an entry.

use {
    chestnutrun_types::DemandClass,
    std::{collections::BTreeMap, time::Instant},
};

/// Work that waits at an entry, in core-seconds, as a job of one class sees it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OwnWork {
    /// Work of more urgent classes.
    pub(crate) before: f64,
    /// Work of the job's class that goes before it.
    pub(crate) ahead: f64,
}

/// The waiting work of one service at an entry.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnQueue {
    /// Last starts and core-seconds of the jobs of each class.
    by_class: BTreeMap<DemandClass, Vec<(Instant, f64)>>,
}

impl OwnQueue {
    /// Adds the waiting work of a job.
    pub(crate) fn add(&mut self, class: DemandClass, last_start: Instant, core_seconds: f64) {
        let waiting = self.by_class.entry(class).or_default();
        waiting.push((last_start, core_seconds));
    }

    /// Returns the waiting work of each class.
    pub(crate) fn by_class(&self) -> impl Iterator<Item = (DemandClass, f64)> {
        let by_class = self.by_class.iter();
        by_class.map(|(class, waiting)| (*class, waiting.iter().map(|(_, work)| work).sum()))
    }

    /// Returns the work that a further job meets which must start by a moment; within a
    /// class, the job with the least time left goes first.
    pub(crate) fn ahead_of(&self, class: DemandClass, last_start: Instant) -> OwnWork {
        let more_urgent = self.by_class.range(..class).map(|(_, waiting)| waiting);
        let of_class = self.by_class.get(&class).map_or(&[][..], Vec::as_slice);
        let ahead = of_class.iter().filter(|(by, _)| *by <= last_start);
        OwnWork {
            before: more_urgent.flatten().map(|(_, work)| work).sum(),
            ahead: ahead.map(|(_, work)| work).sum(),
        }
    }
}
