//! A fixed share of the slots for each contract: a baseline for comparisons.

use {
    crate::policy::{FirstCome, Policy, SlotUse, Slots, WaitingTask},
    chestnutrun_types::{Configuration, ContractId, EndpointId, Now, TaskRef},
    indexmap::IndexMap,
};

/// Assigns each contract a share of the slots in proportion to its weight, and at
/// least one slot.
#[derive(Debug, Default)]
pub struct StaticShares {
    tasks: FirstCome,
    weights: IndexMap<ContractId, u32>,
}

impl StaticShares {
    fn share(&self, contract: &ContractId, slots: &Slots) -> usize {
        let total_weight: u32 = self.weights.values().sum();
        let weight = self.weights.get(contract).copied().unwrap_or_default();
        let share = slots.usable() * weight / total_weight.max(1);
        share.max(1) as usize
    }
}

impl Policy for StaticShares {
    fn configure(&mut self, configuration: &Configuration) {
        self.tasks.configure(configuration);
        self.weights = configuration
            .contracts
            .values()
            .map(|contract| (contract.id.clone(), contract.weight))
            .collect();
    }

    fn enqueue(&mut self, now: Now, waiting: WaitingTask, retried: bool) {
        self.tasks.enqueue(now, waiting, retried);
    }

    fn remove(&mut self, task: &TaskRef) -> Option<WaitingTask> {
        self.tasks.remove(task)
    }

    fn next(&mut self, _now: Now, slots: &Slots) -> Option<(WaitingTask, EndpointId)> {
        let endpoint = slots.emptiest()?.clone();
        let has_room: IndexMap<ContractId, bool> = self
            .weights
            .keys()
            .map(|contract| {
                let has_room = self.tasks.running(contract) < self.share(contract, slots);
                (contract.clone(), has_room)
            })
            .collect();
        let may_start = |waiting: &WaitingTask| has_room.get(&waiting.task.contract) == Some(&true);
        let waiting = self.tasks.start_first(may_start)?;
        Some((waiting, endpoint))
    }

    fn adopt(&mut self, now: Now, task: &TaskRef) {
        self.tasks.adopt(now, task);
    }

    fn release(&mut self, now: Now, task: &TaskRef, slot_use: SlotUse) {
        self.tasks.release(now, task, slot_use);
    }

    fn waiting(&self, contract: &ContractId) -> usize {
        self.tasks.waiting(contract)
    }

    fn running(&self, contract: &ContractId) -> usize {
        self.tasks.running(contract)
    }

    fn expire(&mut self, now: Now) -> Vec<WaitingTask> {
        self.tasks.expire(now)
    }
}
