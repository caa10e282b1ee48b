//! What an agent learns of its endpoint's speed.

use {
    crate::speeds::run_window::{RunWindow, WindowSummary},
    chestnutrun_types::{EndpointSpeed, JobId, RouteId},
    indexmap::IndexMap,
    std::time::Instant,
};

/// Fewest jobs whose runs tell of an endpoint's speed.
pub(crate) const MIN_JOBS: u16 = 8;

/// Fewest jobs of a route that tell of a speed of its own.
const MIN_ROUTE_JOBS: u16 = 32;

/// Most routes for which runs are kept apart.
const MAX_ROUTES: usize = 16;

/// Factor between a route and all routes below which the route has no figure of its own.
const ROUTE_FACTOR: f32 = 1.25;

/// Standard errors beyond which a difference hardly comes from chance.
pub(crate) const SURE_ERRORS: f32 = 3.0;

/// Relative change of the figures that entries are told of.
const REPORTED_CHANGE: f32 = 0.08;

/// Learns the speed of one endpoint from the runs that completed there.
#[derive(Clone, Debug, Default)]
pub struct SpeedLearner {
    all: RunWindow,
    /// Runs by route, the least recently used first.
    routes: IndexMap<RouteId, RunWindow>,
    speed: EndpointSpeed,
}

impl SpeedLearner {
    /// Records a run that took `ratio` times what was expected at an endpoint of mean
    /// speed. Returns whether the endpoint's speed has changed.
    pub fn record(
        &mut self,
        now: Instant,
        job: &JobId,
        route: Option<&RouteId>,
        ratio: f32,
    ) -> bool {
        let has_changed = self.all.record(now, job, ratio);
        if let Some(route) = route {
            let mut window = self.routes.shift_remove(route).unwrap_or_default();
            window.record(now, job, ratio);
            self.routes.insert(route.clone(), window);
            if self.routes.len() > MAX_ROUTES {
                self.routes.shift_remove_index(0);
            }
        }
        self.update();
        has_changed
    }

    /// Drops the runs that are too old to count.
    pub fn forget_old(&mut self, now: Instant) {
        let mut has_dropped = self.all.forget_old(now);
        for window in self.routes.values_mut() {
            has_dropped |= window.forget_old(now);
        }
        if has_dropped {
            self.update();
        }
    }

    /// Returns what the recent runs tell.
    #[must_use]
    pub fn speed(&self) -> &EndpointSpeed {
        &self.speed
    }

    /// Returns the ratio of run times to what is expected at an endpoint of mean speed, for
    /// the tasks of a route.
    #[must_use]
    pub fn slowness(&self, route: Option<&RouteId>) -> f32 {
        let of_route = route.and_then(|route| self.speed.routes.get(route));
        of_route.copied().unwrap_or(self.speed.slowness)
    }

    fn update(&mut self) {
        let known = self.all.summary();
        let Some(all) = known.filter(|all| all.jobs >= MIN_JOBS) else {
            self.speed = EndpointSpeed::default();
            return;
        };
        let own = self.routes.iter().filter_map(|(route, window)| {
            let summary = window.summary()?;
            differs(summary, all).then(|| (route.clone(), summary.ratio))
        });
        self.speed = EndpointSpeed {
            jobs: all.jobs,
            slowness: all.ratio,
            error: all.error,
            routes: own.collect(),
        };
    }
}

/// Returns whether entries must be told of `speed` that know `reported`.
pub(crate) fn is_speed_news(reported: Option<&EndpointSpeed>, speed: &EndpointSpeed) -> bool {
    let Some(reported) = reported else {
        return speed.jobs > 0;
    };
    let is_other = |a: f32, b: f32| (a / b).ln().abs() > REPORTED_CHANGE;
    let known = |route| reported.routes.get(route).copied();
    speed.jobs / 2 >= reported.jobs && speed.jobs != reported.jobs
        || speed.jobs < reported.jobs / 2
        || is_other(reported.slowness, speed.slowness)
        || reported.routes.len() != speed.routes.len()
        || speed
            .routes
            .iter()
            .any(|(route, slowness)| known(route).is_none_or(|known| is_other(known, *slowness)))
}

fn differs(route: WindowSummary, all: WindowSummary) -> bool {
    let difference = (route.ratio / all.ratio).ln().abs();
    let error = (route.error.powi(2) + all.error.powi(2)).sqrt();
    route.jobs >= MIN_ROUTE_JOBS
        && difference > ROUTE_FACTOR.ln()
        && difference > SURE_ERRORS * error
}
