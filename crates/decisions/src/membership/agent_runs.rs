//! Runs of agents that an entry knows. A run is one process of an agent, named by
//! its endpoint and incarnation.

use {
    crate::timing::RECORD_WINDOW,
    chestnutrun_types::{
        AgentHello, EndpointId, Incarnation, KeyHash, KnownAgents, KnownRun, RunRecords, ShardId,
    },
    indexmap::IndexMap,
    std::time::Instant,
};

/// Runs of agents that may hold records of started tasks.
#[derive(Debug, Default)]
pub struct AgentRuns {
    runs: IndexMap<(EndpointId, Incarnation), TrackedRun>,
    /// Whether every run that may hold records is known.
    complete: bool,
    /// When the runs count as complete, one `RECORD_WINDOW` after the first tick.
    complete_at: Option<Instant>,
}

/// A run of an agent.
#[derive(Debug)]
struct TrackedRun {
    run: KnownRun,
    /// When the run is removed; none while the agent is linked.
    expires_at: Option<Instant>,
}

impl AgentRuns {
    /// Records that a run is linked; returns whether it was unknown.
    pub fn link_up(&mut self, hello: &AgentHello) -> bool {
        let id = (hello.endpoint.clone(), hello.incarnation);
        let is_new = !self.runs.contains_key(&id);
        let run = KnownRun {
            endpoint: hello.endpoint.clone(),
            incarnation: hello.incarnation,
            shard: hello.shard,
            records: RunRecords::AtAgent,
        };
        let expires_at = None;
        let entry = self
            .runs
            .entry(id)
            .or_insert(TrackedRun { run, expires_at });
        entry.expires_at = None;
        is_new
    }

    /// Records that a run is no longer linked; it is removed after the window.
    pub fn link_down(&mut self, at: Instant, endpoint: &EndpointId, run: Incarnation) {
        if let Some(entry) = self.runs.get_mut(&(endpoint.clone(), run)) {
            entry.expires_at = Some(at + RECORD_WINDOW);
        }
    }

    /// Records that a run departed, with the jobs of which it had started a task.
    pub fn record_departure(
        &mut self,
        endpoint: &EndpointId,
        run: Incarnation,
        jobs: Vec<KeyHash>,
    ) {
        if let Some(entry) = self.runs.get_mut(&(endpoint.clone(), run)) {
            entry.run.records = RunRecords::Departed(jobs);
        }
    }

    /// Merges the runs that another entry knows.
    pub fn merge(&mut self, at: Instant, agents: KnownAgents) {
        for run in agents.runs {
            let id = (run.endpoint.clone(), run.incarnation);
            let expires_at = Some(at + RECORD_WINDOW);
            match self.runs.get_mut(&id) {
                Some(known) if run.records != RunRecords::AtAgent => known.run = run,
                Some(_) => {}
                None => {
                    self.runs.insert(id, TrackedRun { run, expires_at });
                }
            }
        }
        self.complete |= agents.complete;
    }

    /// Marks the runs as complete: no shard of the site had an owner before, so no
    /// unknown run holds records.
    pub fn mark_complete(&mut self) {
        self.complete = true;
    }

    /// Whether every run that may hold records is known.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Returns all known runs, to be sent to another entry.
    #[must_use]
    pub fn known_agents(&self) -> KnownAgents {
        KnownAgents {
            runs: self.runs.values().map(|entry| entry.run.clone()).collect(),
            complete: self.complete,
        }
    }

    /// Returns the known runs of one shard's agents.
    #[must_use]
    pub fn shard_agents(&self, shard: ShardId) -> KnownAgents {
        let mut known = self.known_agents();
        known.runs.retain(|run| run.shard == shard);
        known
    }

    /// Removes runs whose records have expired.
    ///
    /// An entry that has run for a whole `RECORD_WINDOW` knows every run whose
    /// records have not expired, so its runs become complete.
    pub fn expire(&mut self, at: Instant) {
        let complete_at = *self.complete_at.get_or_insert(at + RECORD_WINDOW);
        self.complete |= at >= complete_at;
        self.runs
            .retain(|_, entry| entry.expires_at.is_none_or(|expires_at| expires_at > at));
    }
}
