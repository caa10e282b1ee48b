//! Speeds of a service's endpoints in comparison.

use {
    crate::speeds::speed_learner::{MIN_JOBS, SURE_ERRORS},
    chestnutrun_types::{EndpointSpeed, RouteId},
};

/// Factor between two endpoints up to which they count as equally fast: estimates of run
/// times are far rougher.
const EVEN_FACTOR: f32 = 1.1;

/// Speed and room of one endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SpeedSample<'a> {
    pub(crate) speed: &'a EndpointSpeed,
    pub(crate) total_cpu_millis: u32,
    pub(crate) free_cpu_millis: u32,
}

/// Speeds of a service's endpoints in comparison.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceSpeeds {
    /// Geometric mean of the endpoints' ratios of run times to expected ones.
    mean: f32,
    /// Slowness of the fastest endpoint against the mean.
    fastest: f32,
    /// Part of the processor that is free at the endpoints that are not slow.
    free: f32,
}

impl Default for ServiceSpeeds {
    fn default() -> Self {
        Self {
            mean: 1.0,
            fastest: 1.0,
            free: 1.0,
        }
    }
}

impl ServiceSpeeds {
    pub(crate) fn new<'a>(endpoints: impl Iterator<Item = SpeedSample<'a>> + Clone) -> Self {
        let known = endpoints.clone().filter(|sample| is_known(sample.speed));
        let logs = known.map(|sample| sample.speed.slowness.ln());
        let (sum, count) = logs.fold((0.0, 0.0), |(sum, count), log| (sum + log, count + 1.0));
        let mut speeds = Self::default();
        if count > 0.0 {
            speeds.mean = f32::exp(sum / count);
        }
        let (mut total, mut free) = (0_u64, 0_u64);
        for sample in endpoints {
            let slowness = speeds.slowness(sample.speed, None);
            speeds.fastest = speeds.fastest.min(slowness);
            if slowness <= 1.0 {
                total += u64::from(sample.total_cpu_millis);
                free += u64::from(sample.free_cpu_millis);
            }
        }
        if total > 0 {
            speeds.free = part(free, total);
        }
        speeds
    }

    /// Returns the factor on the run time of a route's tasks at an endpoint, against the
    /// mean of the service's endpoints; 1 for an endpoint that is not known to differ.
    pub(crate) fn slowness(&self, speed: &EndpointSpeed, route: Option<&RouteId>) -> f32 {
        let of_route = route.map_or(Some(speed.slowness), |route| speed.of_route(route));
        let Some(slowness) = of_route.filter(|_| is_known(speed)) else {
            return 1.0;
        };
        let relative = slowness / self.mean;
        let difference = relative.ln().abs();
        if difference <= EVEN_FACTOR.ln().max(SURE_ERRORS * speed.error) {
            1.0
        } else {
            relative
        }
    }

    /// Returns the slowness of the fastest endpoint.
    pub(crate) fn fastest(&self) -> f32 {
        self.fastest
    }

    /// Returns the part of the processor that is free at the endpoints that are not slow.
    pub(crate) fn free(&self) -> f32 {
        self.free
    }
}

/// Returns whether enough runs are behind the figures. Those of another process may be of
/// any size.
fn is_known(speed: &EndpointSpeed) -> bool {
    let is_sound = speed.slowness.is_finite() && speed.slowness > 0.0 && speed.error.is_finite();
    speed.jobs >= MIN_JOBS && is_sound
}

#[allow(clippy::cast_precision_loss)] // an approximate share is enough
fn part(part: u64, whole: u64) -> f32 {
    part as f32 / whole as f32
}
