//! The routing table, which maps requests to pools of endpoints.

use {
    crate::{RouteId, RoutingVersion, ServiceId},
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
};

/// One route: which requests it matches and how their jobs are run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Route {
    /// Name of the route.
    pub id: RouteId,
    /// Host of the requests that the route matches.
    pub host: Arc<str>,
    /// Prefix of the paths that the route matches.
    pub path_prefix: Arc<str>,
    /// Pool of endpoints that run the tasks.
    pub service: ServiceId,
    /// Priority of the route's jobs; 0 is the most urgent.
    pub priority: u32,
    /// How many runs of a task may fail before the job fails.
    pub attempts: u32,
    /// Factor on the run time of the job's longest chain of steps; the latency
    /// objective is this product plus `target_latency`.
    pub stretch: f64,
    /// Part of the latency objective that does not depend on run times.
    pub target_latency: Duration,
    /// How long a caller waits that does not say so; none if the route does not tell.
    #[serde(default)]
    pub timeout: Option<Duration>,
    /// Whether the platform must be asked for advice on endpoints before a
    /// placement; jobs of such a route are refused, as this is not supported.
    pub needs_advice: bool,
}

/// All routes, at one version.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RoutingTable {
    /// Version; a process ignores a table with a lower version than the one it
    /// has.
    pub version: RoutingVersion,
    /// The routes, by name.
    pub routes: IndexMap<RouteId, Arc<Route>>,

    /// Longest body of a request that entries accept, in bytes.
    pub max_body_bytes: usize,
}

impl RoutingTable {
    /// Returns the route of a request: of those for its host, the one with the
    /// longest matching path prefix.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes
            .values()
            .filter(|route| &*route.host == host && path.starts_with(&*route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }
}
