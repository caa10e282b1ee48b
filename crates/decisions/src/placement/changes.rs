//! What changed since the last placement.

use {crate::placement::CallerId, chestnutrun_types::AgentId, indexmap::IndexSet};

/// What changed since the last placement of the waiting jobs.
#[derive(Debug, Default)]
pub(crate) struct Changes {
    /// Agents that reported room or an endpoint.
    pub(crate) agents: IndexSet<AgentId>,
    /// Jobs of which a task waits that did not wait before.
    pub(crate) jobs: IndexSet<CallerId>,
}

impl Changes {
    pub(crate) fn is_empty(&self) -> bool {
        self.agents.is_empty() && self.jobs.is_empty()
    }
}
