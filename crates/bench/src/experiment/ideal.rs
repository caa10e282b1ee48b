//! A policy with perfect knowledge of run times, as a reference.

use {
    chestnutrun_decisions::policy::{Policy, SlotUse, Slots, WaitingTask},
    chestnutrun_types::{Configuration, ContractId, EndpointId, Now, TaskRef},
    indexmap::IndexMap,
    std::{collections::BTreeMap, time::Duration},
};

/// Starts the shortest of all waiting tasks and ignores the limits of contracts.
///
/// The experiment declares the true run times under this policy.
#[derive(Debug, Default)]
pub struct Ideal {
    queue: BTreeMap<(Duration, u64), WaitingTask>,
    keys: IndexMap<TaskRef, (Duration, u64)>,
    arrivals: u64,
}

impl Policy for Ideal {
    fn configure(&mut self, _configuration: &Configuration) {}

    fn enqueue(&mut self, _now: Now, waiting: WaitingTask, _retried: bool) {
        self.arrivals += 1;
        let key = (waiting.declared_run_time, self.arrivals);
        self.keys.insert(waiting.task.clone(), key);
        self.queue.insert(key, waiting);
    }

    fn remove(&mut self, task: &TaskRef) -> Option<WaitingTask> {
        let key = self.keys.swap_remove(task)?;
        self.queue.remove(&key)
    }

    fn next(&mut self, _now: Now, slots: &Slots) -> Option<(WaitingTask, EndpointId)> {
        let endpoint = slots.emptiest()?.clone();
        let (_, waiting) = self.queue.pop_first()?;
        self.keys.swap_remove(&waiting.task);
        Some((waiting, endpoint))
    }

    fn adopt(&mut self, _now: Now, _task: &TaskRef) {}

    fn release(&mut self, _now: Now, _task: &TaskRef, _slot_use: SlotUse) {}

    fn waiting(&self, _contract: &ContractId) -> usize {
        0
    }

    fn running(&self, _contract: &ContractId) -> usize {
        0
    }

    fn expire(&mut self, _now: Now) -> Vec<WaitingTask> {
        Vec::new()
    }
}
