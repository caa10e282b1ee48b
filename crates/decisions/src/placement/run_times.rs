//! Compares how long tasks run with what callers expect.

use {chestnutrun_types::RouteId, indexmap::IndexMap, std::time::Duration};

/// Weight of the newest run in a route's averages.
const NEWEST_RUN_WEIGHT: f64 = 0.02;

/// Smallest and largest ratio that one run may show, so that a straggler does not count
/// as a change of the whole route.
const RATIO_RANGE: (f64, f64) = (0.1, 4.0);

/// Mean deviation of a route of which no run has ended yet: estimates are rough.
const FIRST_DEVIATION: f64 = 0.25;

/// Mean deviations around the mean within which nearly every run ends.
const MOST_DEVIATIONS: f64 = 4.0;

/// Most routes whose averages are kept.
const MAX_ROUTES: usize = 4_096;

/// Ratio of a route's run times to its callers' estimates.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunTimes {
    mean: f64,
    /// Mean of the absolute difference from the mean.
    deviation: f64,
}

impl Default for RunTimes {
    fn default() -> Self {
        Self {
            mean: 1.0,
            deviation: FIRST_DEVIATION,
        }
    }
}

impl RunTimes {
    /// Returns the caller's estimate, corrected by the mean.
    pub(crate) fn expected(self, estimate: Duration) -> Duration {
        estimate.mul_f64(self.mean)
    }

    /// Returns the time within which most runs end that are expected to take so long.
    pub(crate) fn likely(self, expected: Duration) -> Duration {
        expected.mul_f64(1.0 + self.deviation / self.mean)
    }

    /// Returns the time within which nearly all runs end that are expected to take so
    /// long.
    pub(crate) fn at_most(self, expected: Duration) -> Duration {
        expected.mul_f64(self.widest())
    }

    /// Returns the time that nearly all runs take that are expected to take so long.
    pub(crate) fn at_least(self, expected: Duration) -> Duration {
        expected.div_f64(self.widest())
    }

    /// Returns the factor by which hardly a run differs from the mean, either way.
    fn widest(self) -> f64 {
        1.0 + MOST_DEVIATIONS * self.deviation / self.mean
    }

    fn record(&mut self, observed: f64) {
        let difference = observed - self.mean;
        self.deviation += NEWEST_RUN_WEIGHT * (difference.abs() - self.deviation);
        self.mean += NEWEST_RUN_WEIGHT * difference;
    }
}

/// Run times of the routes whose tasks ran.
#[derive(Debug, Default)]
pub(crate) struct RunTimesByRoute {
    by_route: IndexMap<RouteId, RunTimes>,
}

impl RunTimesByRoute {
    /// Updates the averages of a route with a completed run.
    pub(crate) fn record(&mut self, route: &RouteId, estimate: Duration, ran: Duration) {
        if estimate.is_zero() {
            return;
        }
        if self.by_route.len() >= MAX_ROUTES && !self.by_route.contains_key(route) {
            self.by_route.swap_remove_index(0);
        }
        let observed = ran.as_secs_f64() / estimate.as_secs_f64();
        let times = self.by_route.entry(route.clone()).or_default();
        times.record(observed.clamp(RATIO_RANGE.0, RATIO_RANGE.1));
    }

    pub(crate) fn get(&self, route: &RouteId) -> RunTimes {
        self.by_route.get(route).copied().unwrap_or_default()
    }
}
