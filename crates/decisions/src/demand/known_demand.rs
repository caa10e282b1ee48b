//! The demand that entries told an agent.

use {
    chestnutrun_types::{ClassDemand, DemandClass, EntryId},
    indexmap::IndexMap,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// How long an agent counts what an entry told: several times
/// [`RETELL_INTERVAL`](crate::timing::RETELL_INTERVAL), so that a delayed message does
/// not make the demand disappear.
const DEMAND_KEPT: Duration = Duration::from_secs(1);

/// Most classes that are counted of one entry.
const MAX_CLASSES: usize = 16;

/// The demand that entries told an agent; at most one record for each linked entry.
#[derive(Debug, Default)]
pub(crate) struct KnownDemand {
    by_entry: IndexMap<EntryId, (Instant, Vec<ClassDemand>)>,
}

impl KnownDemand {
    /// Replaces the demand of an entry.
    pub(crate) fn record(&mut self, now: Instant, entry: &EntryId, mut demand: Vec<ClassDemand>) {
        demand.truncate(MAX_CLASSES);
        if demand.is_empty() {
            self.remove(entry);
        } else {
            let until = now + DEMAND_KEPT;
            self.by_entry.insert(entry.clone(), (until, demand));
        }
    }

    pub(crate) fn remove(&mut self, entry: &EntryId) {
        self.by_entry.swap_remove(entry);
    }

    pub(crate) fn forget_old(&mut self, now: Instant) {
        self.by_entry.retain(|_, (until, _)| now < *until);
    }

    /// Returns whether work of any entry waits.
    pub(crate) fn is_waiting(&self, now: Instant) -> bool {
        let mut fresh = self.by_entry.values().filter(|(until, _)| now < *until);
        fresh.any(|(_, demand)| demand.iter().any(|class| class.waiting_core_ms > 0))
    }

    /// Returns the sum of what all entries but this one told, the most urgent class first.
    pub(crate) fn of_others(&self, now: Instant, entry: &EntryId) -> Vec<ClassDemand> {
        let mut sums: BTreeMap<DemandClass, ClassDemand> = BTreeMap::new();
        for (other, (until, demand)) in &self.by_entry {
            if other == entry || *until <= now {
                continue;
            }
            for of_class in demand {
                sums.entry(of_class.class())
                    .and_modify(|sum| *sum = sum.plus(*of_class))
                    .or_insert(*of_class);
            }
        }
        sums.into_values().take(MAX_CLASSES).collect()
    }
}
