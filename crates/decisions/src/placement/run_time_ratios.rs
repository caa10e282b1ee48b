//! Learns how long tasks run, against what callers expect.

use {chestnutrun_types::RouteId, indexmap::IndexMap, std::time::Duration};

/// Weight of the newest run in a route's ratio.
const WEIGHT: f64 = 0.02;

/// Largest ratio that one run may show, so that a straggler does not count as
/// a change of the whole route.
const MAX_RATIO: f64 = 4.0;

/// Most routes that are remembered.
const MAX_ROUTES: usize = 4_096;

/// Run time over estimate, by route.
#[derive(Debug, Default)]
pub(crate) struct RunTimeRatios {
    by_route: IndexMap<RouteId, f64>,
}

impl RunTimeRatios {
    /// Learns from a run that completed.
    pub(crate) fn learn(&mut self, route: &RouteId, estimate: Duration, ran: Duration) {
        if estimate.is_zero() {
            return;
        }
        if self.by_route.len() >= MAX_ROUTES && !self.by_route.contains_key(route) {
            self.by_route.swap_remove_index(0);
        }
        let seen = (ran.as_secs_f64() / estimate.as_secs_f64()).min(MAX_RATIO);
        let ratio = self.by_route.entry(route.clone()).or_insert(1.0);
        *ratio += WEIGHT * (seen - *ratio);
    }

    /// Returns the run time to expect where callers expect `estimate`.
    pub(crate) fn expect(&self, route: &RouteId, estimate: Duration) -> Duration {
        let ratio = self.by_route.get(route).copied().unwrap_or(1.0);
        estimate.mul_f64(ratio)
    }
}
