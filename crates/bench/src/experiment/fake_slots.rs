//! Simulates the slots of all endpoints on a clock that the caller advances.

use {
    chestnutrun_types::{BodyDigest, EndpointId, TaskOutcome, TaskRef},
    indexmap::IndexMap,
    std::{
        cmp::Reverse,
        collections::BinaryHeap,
        time::{Duration, Instant},
    },
};

/// A task that occupies a slot.
#[derive(Clone, Debug)]
pub struct RunningTask {
    /// Endpoint of the slot.
    pub endpoint: EndpointId,
    /// Index of the task's contract in the experiment.
    pub contract: usize,
    /// The task.
    pub task: TaskRef,
    /// Digest of the body with which the job was submitted.
    pub digest: BodyDigest,
    /// Outcome that the task will have when it ends.
    pub outcome: TaskOutcome,
}

/// The tasks that occupy slots, ordered by their end times.
#[derive(Debug)]
pub struct FakeSlots {
    ends: BinaryHeap<Reverse<(Instant, u64)>>,
    running: IndexMap<u64, RunningTask>,
    by_contract: Vec<usize>,
    starts: u64,
}

impl FakeSlots {
    /// Creates slots without running tasks for `contracts` contracts.
    #[must_use]
    pub fn new(contracts: usize) -> Self {
        Self {
            ends: BinaryHeap::new(),
            running: IndexMap::new(),
            by_contract: vec![0; contracts],
            starts: 0,
        }
    }

    /// Occupies a slot from `at` for `run_time`.
    pub fn start(&mut self, at: Instant, run_time: Duration, running: RunningTask) {
        self.starts += 1;
        self.ends.push(Reverse((at + run_time, self.starts)));
        self.by_contract[running.contract] += 1;
        self.running.insert(self.starts, running);
    }

    /// Returns the earliest end time, or none if no task is left; it may be that of
    /// a task on a removed endpoint.
    #[must_use]
    pub fn next_end(&self) -> Option<Instant> {
        self.ends.peek().map(|Reverse((at, _))| *at)
    }

    /// Frees the slot of the task that ends next and returns the task, or none if
    /// the endpoint of that task was removed.
    pub fn finish_next(&mut self) -> Option<RunningTask> {
        let Reverse((_, number)) = self.ends.pop()?;
        let running = self.running.swap_remove(&number)?;
        self.by_contract[running.contract] -= 1;
        Some(running)
    }

    /// Removes an endpoint together with its running tasks.
    pub fn remove_endpoint(&mut self, endpoint: &EndpointId) {
        let by_contract = &mut self.by_contract;
        self.running.retain(|_, running| {
            let is_kept = running.endpoint != *endpoint;
            if !is_kept {
                by_contract[running.contract] -= 1;
            }
            is_kept
        });
    }

    /// Returns the number of occupied slots.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of occupied slots of each contract.
    #[must_use]
    pub fn by_contract(&self) -> &[usize] {
        &self.by_contract
    }
}
