//! One small fake of endpoints' slots, on a clock that is handed in.

use {
    chestnutrun_types::{BodyDigest, EndpointId, TaskOutcome, TaskRef},
    indexmap::IndexMap,
    std::{
        cmp::Reverse,
        collections::BinaryHeap,
        time::{Duration, Instant},
    },
};

/// A task that holds a slot.
#[derive(Clone, Debug)]
pub struct Held {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Position of the task's contract.
    pub contract: usize,
    /// The task.
    pub task: TaskRef,
    /// Digest of the body that it belongs to.
    pub digest: BodyDigest,
    /// How it will end.
    pub outcome: TaskOutcome,
}

/// Slots that tasks hold until they end.
#[derive(Debug)]
pub struct FakeSlots {
    ends: BinaryHeap<Reverse<(Instant, u64)>>,
    held: IndexMap<u64, Held>,
    by_contract: Vec<usize>,
    starts: u64,
}

impl FakeSlots {
    /// Creates free slots for tasks of that many contracts.
    #[must_use]
    pub fn new(contracts: usize) -> Self {
        Self {
            ends: BinaryHeap::new(),
            held: IndexMap::new(),
            by_contract: vec![0; contracts],
            starts: 0,
        }
    }

    /// Starts a task.
    pub fn start(&mut self, at: Instant, run_time: Duration, held: Held) {
        self.starts += 1;
        self.ends.push(Reverse((at + run_time, self.starts)));
        self.by_contract[held.contract] += 1;
        self.held.insert(self.starts, held);
    }

    /// Returns when the next task ends.
    #[must_use]
    pub fn next_end(&self) -> Option<Instant> {
        self.ends.peek().map(|Reverse((at, _))| *at)
    }

    /// Ends the next task; none where it was lost with its endpoint.
    pub fn end(&mut self) -> Option<Held> {
        let Reverse((_, number)) = self.ends.pop()?;
        let held = self.held.swap_remove(&number)?;
        self.by_contract[held.contract] -= 1;
        Some(held)
    }

    /// Loses an endpoint with all that it runs.
    pub fn lose(&mut self, endpoint: &EndpointId) {
        let by_contract = &mut self.by_contract;
        self.held.retain(|_, held| {
            let stays = held.endpoint != *endpoint;
            if !stays {
                by_contract[held.contract] -= 1;
            }
            stays
        });
    }

    /// Returns how many slots are held.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Returns how many slots each contract holds.
    #[must_use]
    pub fn by_contract(&self) -> &[usize] {
        &self.by_contract
    }
}
