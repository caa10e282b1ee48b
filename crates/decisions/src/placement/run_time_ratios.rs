//! Compares how long tasks run with what callers expect.

use {chestnutrun_types::RouteId, indexmap::IndexMap, std::time::Duration};

/// Weight of the newest run in a route's ratio.
const NEWEST_RUN_WEIGHT: f64 = 0.02;

/// Largest ratio that one run may show, so that a straggler does not count as
/// a change of the whole route.
const MAX_RATIO: f64 = 4.0;

/// Most routes whose ratio is kept.
const MAX_ROUTES: usize = 4_096;

/// Ratio of run time to the caller's estimate, averaged for each route.
#[derive(Debug, Default)]
pub(crate) struct RunTimeRatios {
    by_route: IndexMap<RouteId, f64>,
}

impl RunTimeRatios {
    /// Updates the average of a route with a completed run.
    pub(crate) fn record(&mut self, route: &RouteId, estimate: Duration, ran: Duration) {
        if estimate.is_zero() {
            return;
        }
        if self.by_route.len() >= MAX_ROUTES && !self.by_route.contains_key(route) {
            self.by_route.swap_remove_index(0);
        }
        let observed = (ran.as_secs_f64() / estimate.as_secs_f64()).min(MAX_RATIO);
        let ratio = self.by_route.entry(route.clone()).or_insert(1.0);
        *ratio += NEWEST_RUN_WEIGHT * (observed - *ratio);
    }

    /// Returns the caller's estimate, corrected by the ratio of the route.
    pub(crate) fn expected_run_time(&self, route: &RouteId, estimate: Duration) -> Duration {
        let ratio = self.by_route.get(route).copied().unwrap_or(1.0);
        estimate.mul_f64(ratio)
    }
}
