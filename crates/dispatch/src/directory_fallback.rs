//! Reads the routing table through agents while the directory does not answer
//! this entry.

use {
    chestnutrun_types::AgentId,
    std::time::{Duration, Instant},
};

/// Time between two requests, each to another agent. Even if two agents in a row
/// cannot reach the directory, a change becomes active within 2 s.
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// Chooses when and through which agent the entry reads the routing table.
#[derive(Debug, Default)]
pub(crate) struct DirectoryFallback {
    /// Time of the next request; none while the directory is reachable.
    request_at: Option<Instant>,
    /// Number of requests so far, which selects the next agent in turn.
    requests: usize,
}

impl DirectoryFallback {
    /// Records whether the directory answers this entry.
    pub(crate) fn record_directory(&mut self, now: Instant, is_reachable: bool) {
        self.request_at = (!is_reachable).then_some(now);
    }

    /// Returns the agent to ask for a read of the directory, if a request is due.
    pub(crate) fn due_request(
        &mut self,
        now: Instant,
        mut agents: impl ExactSizeIterator<Item = AgentId>,
    ) -> Option<AgentId> {
        if self.request_at.is_none_or(|at| now < at) {
            return None;
        }
        self.request_at = Some(now + REQUEST_INTERVAL);
        self.requests += 1;
        let position = self.requests.checked_rem(agents.len())?;
        agents.nth(position)
    }
}
