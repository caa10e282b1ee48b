//! One queue for each endpoint, with a random or round-robin choice: two
//! baselines for comparisons.

use {
    crate::policy::{FirstCome, Policy, SlotUse, Slots, WaitingTask},
    chestnutrun_types::{Configuration, ContractId, EndpointId, Now, TaskRef},
    indexmap::IndexMap,
    rand::{RngExt, rngs::StdRng},
};

/// Chooses the endpoint of an arriving task.
#[derive(Debug)]
pub enum EndpointChoice {
    /// A random endpoint, drawn from this generator.
    Random(Box<StdRng>),
    /// One endpoint after the other; the number counts the choices so far.
    RoundRobin(usize),
}

impl EndpointChoice {
    fn choose<'a>(&mut self, endpoints: &[&'a EndpointId]) -> Option<&'a EndpointId> {
        if endpoints.is_empty() {
            return None;
        }
        let number = match self {
            Self::Random(rng) => rng.random_range(0..endpoints.len()),
            Self::RoundRobin(next) => {
                *next = next.wrapping_add(1);
                *next
            }
        };
        endpoints.get(number % endpoints.len()).copied()
    }
}

/// Binds each task to one endpoint; the task waits for a slot there, even if
/// other endpoints have free slots.
#[derive(Debug)]
pub struct EndpointQueues {
    choice: EndpointChoice,
    tasks: FirstCome,
    bound: IndexMap<TaskRef, EndpointId>,
}

impl EndpointQueues {
    /// Creates the policy with a way to choose endpoints.
    #[must_use]
    pub fn new(choice: EndpointChoice) -> Self {
        Self {
            choice,
            tasks: FirstCome::default(),
            bound: IndexMap::new(),
        }
    }

    /// Binds new tasks, and those whose endpoint is no longer usable.
    fn bind_tasks(&mut self, slots: &Slots) {
        let usable: Vec<&EndpointId> = slots
            .iter()
            .filter(|(_, slots)| slots.usable)
            .map(|(endpoint, _)| endpoint)
            .collect();
        for waiting in self.tasks.iter() {
            let bound = self.bound.get(&waiting.task);
            if bound.is_some_and(|endpoint| usable.contains(&endpoint)) {
                continue;
            }
            if let Some(endpoint) = self.choice.choose(&usable) {
                self.bound.insert(waiting.task.clone(), endpoint.clone());
            }
        }
    }
}

impl Policy for EndpointQueues {
    fn configure(&mut self, configuration: &Configuration) {
        self.tasks.configure(configuration);
    }

    fn enqueue(&mut self, now: Now, waiting: WaitingTask, retried: bool) {
        self.tasks.enqueue(now, waiting, retried);
    }

    fn remove(&mut self, task: &TaskRef) -> Option<WaitingTask> {
        self.bound.swap_remove(task);
        self.tasks.remove(task)
    }

    fn next(&mut self, _now: Now, slots: &Slots) -> Option<(WaitingTask, EndpointId)> {
        self.bind_tasks(slots);
        let bound = &self.bound;
        let has_free_slot = |waiting: &WaitingTask| {
            let endpoint = bound.get(&waiting.task);
            let free = endpoint.and_then(|endpoint| slots.get(endpoint));
            free.is_some_and(|slots| slots.free() > 0)
        };
        let waiting = self.tasks.start_first(has_free_slot)?;
        let endpoint = self.bound.swap_remove(&waiting.task)?;
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
        let late = self.tasks.expire(now);
        for waiting in &late {
            self.bound.swap_remove(&waiting.task);
        }
        late
    }
}
