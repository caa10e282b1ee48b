//! How long tasks take at one endpoint compared with others.

use {
    crate::RouteId,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
};

/// How long tasks take at one endpoint compared with what entries expect.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct EndpointSpeed {
    /// Number of recent jobs whose runs are behind the figures.
    pub jobs: u16,
    /// Ratio of observed to expected run time.
    pub slowness: f32,
    /// Standard error of the natural logarithm of `slowness`.
    pub error: f32,
    /// Ratios of the routes whose tasks differ from the endpoint's others.
    #[serde(skip_serializing_if = "IndexMap::is_empty")]
    pub routes: IndexMap<RouteId, f32>,
}

impl Default for EndpointSpeed {
    fn default() -> Self {
        Self {
            jobs: 0,
            slowness: 1.0,
            error: 0.0,
            routes: IndexMap::new(),
        }
    }
}

impl EndpointSpeed {
    /// Returns the ratio for the tasks of a route; none if it cannot be used, such as from
    /// a process that runs another build.
    #[must_use]
    pub fn of_route(&self, route: &RouteId) -> Option<f32> {
        let slowness = self.routes.get(route).copied().unwrap_or(self.slowness);
        (slowness.is_finite() && slowness > 0.0).then_some(slowness)
    }
}
