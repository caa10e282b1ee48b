//! Tells whether endpoints that an entry does not know now may still appear.

use {
    chestnutrun_types::EndpointInfo,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// How long agents that lost power together take to start and link again, at most.
const RETURN_TIME: Duration = Duration::from_secs(3);

/// When the entry had endpoints, and which ones may return.
#[derive(Debug, Default)]
pub(crate) struct KnownEndpoints {
    /// When the entry had none or began to run; none before the first tick.
    none_since: Option<Instant>,
    /// When the first endpoint appeared after that; none while there is none.
    some_since: Option<Instant>,
    /// Endpoints of lost agents, each with the moment until which it may return.
    lost: VecDeque<(EndpointInfo, Instant)>,
}

impl KnownEndpoints {
    /// Records whether there are endpoints now.
    pub(crate) fn update(&mut self, now: Instant, has_endpoints: bool) {
        self.lost.retain(|(_, until)| now < *until);
        if has_endpoints {
            self.some_since.get_or_insert(now);
        } else if self.none_since.is_none() || self.some_since.take().is_some() {
            self.none_since = Some(now);
        }
    }

    /// Records that the agent of an endpoint was lost for good unless it returns.
    pub(crate) fn add_lost(&mut self, now: Instant, info: EndpointInfo) {
        self.lost.push_back((info, now + RETURN_TIME));
    }

    /// Returns the endpoints that may return.
    pub(crate) fn may_return(&self) -> impl Iterator<Item = &EndpointInfo> + Clone {
        self.lost.iter().map(|(info, _)| info)
    }

    /// Returns whether all endpoints had the time to appear since there was none.
    pub(crate) fn is_complete(&self, now: Instant) -> bool {
        let since = self.some_since.or(self.none_since);
        since.is_some_and(|at| at + RETURN_TIME <= now)
    }
}
