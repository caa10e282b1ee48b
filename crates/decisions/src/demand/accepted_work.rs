//! The rate at which an entry accepts work.

use {
    chestnutrun_types::DemandClass,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Time over which the rate is averaged: long enough to contain several jobs of a usual
/// route, and shorter than most callers wait.
const AVERAGED: Duration = Duration::from_millis(500);

/// The rate at which an entry accepts work of each class, in cores.
#[derive(Clone, Debug, Default)]
pub(crate) struct AcceptedWork {
    /// Decaying sums of accepted work, in core-seconds, and when each was current.
    by_class: BTreeMap<DemandClass, (f64, Instant)>,
}

impl AcceptedWork {
    pub(crate) fn record(&mut self, now: Instant, class: DemandClass, core_seconds: f64) {
        let (sum, at) = self.by_class.entry(class).or_insert((0.0, now));
        *sum = *sum * decay(*at, now) + core_seconds;
        *at = now;
    }

    /// Returns the rate of each class.
    pub(crate) fn rates(&self, now: Instant) -> impl Iterator<Item = (DemandClass, f64)> {
        let rate = move |sum: f64, at| sum * decay(at, now) / AVERAGED.as_secs_f64();
        let by_class = self.by_class.iter();
        by_class.map(move |(class, (sum, at))| (*class, rate(*sum, *at)))
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_class.is_empty()
    }

    /// Forgets the classes of which no work was accepted for long.
    pub(crate) fn forget_old(&mut self, now: Instant) {
        self.by_class.retain(|_, (_, at)| now < *at + 10 * AVERAGED);
    }
}

fn decay(from: Instant, to: Instant) -> f64 {
    let passed = to.saturating_duration_since(from);
    (-passed.as_secs_f64() / AVERAGED.as_secs_f64()).exp()
}
