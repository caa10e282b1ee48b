//! Which requests go to which pool of endpoints.

use {
    crate::{RouteId, RoutingVersion, ServiceId},
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
};

/// One route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Route {
    /// Name of the route.
    pub id: RouteId,
    /// Host that requests name.
    pub host: Arc<str>,
    /// Beginning of the paths that belong to the route.
    pub path_prefix: Arc<str>,
    /// Pool whose endpoints run its tasks.
    pub service: ServiceId,
    /// Urgency; 0 is the most urgent.
    pub priority: u32,
    /// Runs of a task that may fail before the job fails.
    pub attempts: u32,
    /// The objective allows this many times the longest chain of work.
    pub stretch: f64,
    /// The objective allows this much beside the work.
    pub target_latency: Duration,

    /// Whether endpoints must be asked for beforehand; not supported.
    pub needs_advice: bool,
}

/// All routes at one version.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RoutingTable {
    /// Version; a process takes no lower one after a higher one.
    pub version: RoutingVersion,
    /// The routes, by name.
    pub routes: IndexMap<RouteId, Arc<Route>>,

    /// Longest body of a request, in bytes.
    pub max_body_bytes: usize,
}

impl RoutingTable {
    /// Returns the route of a request: the longest prefix of its host.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes
            .values()
            .filter(|route| &*route.host == host && path.starts_with(&*route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }
}
