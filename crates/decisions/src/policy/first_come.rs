//! First come, first served: the baseline for comparisons.

use {
    crate::policy::{Policy, SlotUse, Slots, WaitingTask},
    chestnutrun_types::{Configuration, ContractId, EndpointId, Now, TaskRef},
    indexmap::{IndexMap, IndexSet},
    std::collections::VecDeque,
};

/// Serves all contracts from one queue, each up to its in-flight limit.
#[derive(Debug, Default)]
pub struct FirstCome {
    queue: VecDeque<WaitingTask>,
    running: IndexSet<TaskRef>,
    running_by_contract: IndexMap<ContractId, usize>,
    waiting_by_contract: IndexMap<ContractId, usize>,
    limits: IndexMap<ContractId, usize>,
}

impl FirstCome {
    fn is_within_limit(&self, contract: &ContractId) -> bool {
        let limit = self.limits.get(contract).copied().unwrap_or(usize::MAX);
        self.running(contract) < limit
    }

    /// Iterates over the waiting tasks in the order of the queue.
    pub fn iter(&self) -> impl Iterator<Item = &WaitingTask> {
        self.queue.iter()
    }

    /// Removes and returns the first task that is within its contract's limit and
    /// that `may_start` accepts, and counts the task as running.
    pub fn start_first(&mut self, may_start: impl Fn(&WaitingTask) -> bool) -> Option<WaitingTask> {
        let position = self.queue.iter().position(|waiting| {
            self.is_within_limit(&waiting.task.contract) && may_start(waiting)
        })?;
        let waiting = self.remove_at(position)?;
        self.mark_running(&waiting.task);
        Some(waiting)
    }

    fn remove_at(&mut self, position: usize) -> Option<WaitingTask> {
        let waiting = self.queue.remove(position)?;
        decrement(&mut self.waiting_by_contract, &waiting.task.contract);
        Some(waiting)
    }

    fn mark_running(&mut self, task: &TaskRef) {
        if self.running.insert(task.clone()) {
            increment(&mut self.running_by_contract, &task.contract);
        }
    }
}

impl Policy for FirstCome {
    fn configure(&mut self, configuration: &Configuration) {
        self.limits = configuration
            .contracts
            .values()
            .map(|contract| (contract.id.clone(), contract.in_flight_limit as usize))
            .collect();
    }

    fn enqueue(&mut self, _now: Now, waiting: WaitingTask, retried: bool) {
        increment(&mut self.waiting_by_contract, &waiting.task.contract);
        if retried {
            self.queue.push_front(waiting);
        } else {
            self.queue.push_back(waiting);
        }
    }

    fn remove(&mut self, task: &TaskRef) -> Option<WaitingTask> {
        let position = self
            .queue
            .iter()
            .position(|waiting| waiting.task == *task)?;
        self.remove_at(position)
    }

    fn next(&mut self, _now: Now, slots: &Slots) -> Option<(WaitingTask, EndpointId)> {
        let endpoint = slots.emptiest()?.clone();
        let waiting = self.start_first(|_| true)?;
        Some((waiting, endpoint))
    }

    fn adopt(&mut self, _now: Now, task: &TaskRef) {
        self.mark_running(task);
    }

    fn release(&mut self, _now: Now, task: &TaskRef, _slot_use: SlotUse) {
        if self.running.swap_remove(task) {
            decrement(&mut self.running_by_contract, &task.contract);
        }
    }

    fn waiting(&self, contract: &ContractId) -> usize {
        self.waiting_by_contract
            .get(contract)
            .copied()
            .unwrap_or_default()
    }

    fn running(&self, contract: &ContractId) -> usize {
        self.running_by_contract
            .get(contract)
            .copied()
            .unwrap_or_default()
    }

    fn expire(&mut self, now: Now) -> Vec<WaitingTask> {
        let (late, rest): (VecDeque<_>, VecDeque<_>) = self
            .queue
            .drain(..)
            .partition(|waiting| waiting.deadline <= now.wall);
        self.queue = rest;
        for waiting in &late {
            decrement(&mut self.waiting_by_contract, &waiting.task.contract);
        }
        late.into()
    }
}

fn increment(counts: &mut IndexMap<ContractId, usize>, contract: &ContractId) {
    *counts.entry(contract.clone()).or_default() += 1;
}

fn decrement(counts: &mut IndexMap<ContractId, usize>, contract: &ContractId) {
    if let Some(count) = counts.get_mut(contract) {
        *count = count.saturating_sub(1);
    }
}
