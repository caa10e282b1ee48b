//! When an entry tells its agents what waits for them.

use {
    crate::timing::{DEMAND_INTERVAL, RETELL_INTERVAL},
    chestnutrun_types::{AgentId, ClassDemand},
    indexmap::IndexMap,
    std::time::Instant,
};

/// A class's waiting work has changed if it differs by this part of itself.
const CHANGED_PART: u64 = 4;

/// What an entry told its agents; at most one record of each.
#[derive(Debug, Default)]
pub(crate) struct DemandTeller {
    told: IndexMap<AgentId, (Instant, Vec<ClassDemand>)>,
}

impl DemandTeller {
    /// Returns whether an agent must be told its part of the demand now, and notes that
    /// it is. An agent that was told of no demand hears nothing while there is none.
    pub(crate) fn is_due(&mut self, now: Instant, agent: &AgentId, demand: &[ClassDemand]) -> bool {
        let is_due = match self.told.get(agent) {
            None => !demand.is_empty(),
            Some((_, told)) if demand.is_empty() && told.is_empty() => false,
            Some((at, told)) => {
                now >= *at + DEMAND_INTERVAL
                    && (has_changed(told, demand) || now >= *at + RETELL_INTERVAL)
            }
        };
        if is_due {
            self.told.insert(agent.clone(), (now, demand.to_vec()));
        }
        is_due
    }

    /// Forgets an agent whose link closed: it has forgotten the demand.
    pub(crate) fn remove(&mut self, agent: &AgentId) {
        self.told.swap_remove(agent);
    }
}

fn has_changed(told: &[ClassDemand], demand: &[ClassDemand]) -> bool {
    let differs = |(old, new): (&ClassDemand, &ClassDemand)| {
        let (old_work, new_work) = (old.waiting_core_ms, new.waiting_core_ms);
        old.class() != new.class()
            || old_work.abs_diff(new_work) * CHANGED_PART > old_work.max(new_work)
    };
    told.len() != demand.len() || told.iter().zip(demand).any(differs)
}
