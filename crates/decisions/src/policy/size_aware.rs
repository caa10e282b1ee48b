//! The default policy: keeps slots for short tasks and shares slots fairly
//! between contracts.

use {
    crate::policy::{
        Policy, SlotUse, Slots, WaitingTask,
        contract_queue::{ContractQueue, QueueKey, Terms, Turn},
        decaying_rate::DecayingRate,
        run_times::RunTimes,
        size_class::{PerClass, SHORT_RUN_TIME, SizeClass},
    },
    chestnutrun_types::{Configuration, ContractId, EndpointId, KindId, Now, TaskRef},
    indexmap::IndexMap,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::{Duration, Instant, SystemTime},
    },
};

/// Margin of the reserve above the mean short load, in standard deviations of
/// that load.
const RESERVE_DEVIATIONS: f64 = 1.75;

/// Largest margin of the reserve above the mean short load, as a share of the
/// slots.
const MAX_MARGIN: f64 = 0.045;

/// Largest share of the slots that is reserved for short tasks.
const MAX_RESERVE: f64 = 0.75;

/// Keeps slots for short tasks and shares slots between contracts.
///
/// Run times are learned by contract and kind. A long task starts only if the
/// slots that the short load needs stay free or in use by short tasks. Within a
/// class, contracts within their limit go before those that borrow; among equals,
/// urgency decides, then weighted slot time. A contract's own tasks are ordered
/// by urgency and deadline.
#[derive(Debug, Default)]
pub struct SizeAware {
    contracts: IndexMap<ContractId, ContractQueue>,
    turns: PerClass<BTreeSet<Turn>>,
    waiting: IndexMap<TaskRef, (QueueKey, SizeClass)>,
    deadlines: BTreeMap<(SystemTime, u64), TaskRef>,
    running: IndexMap<TaskRef, Running>,
    running_short: usize,
    started_short: VecDeque<(Instant, TaskRef)>,
    run_times: RunTimes,
    /// Mean number of slots that arriving short tasks need.
    short_load: DecayingRate,
    /// Virtual time of the contract that started a task last, by urgency.
    served_virtual_time: IndexMap<u8, Duration>,
    arrivals: u64,
}

#[derive(Debug)]
struct Running {
    kind: Option<KindId>,
    class: SizeClass,
    since: Instant,
    /// Slot time that the contract was charged at the start.
    charged: Duration,
}

impl SizeAware {
    fn contract_position(&mut self, contract: &ContractId) -> usize {
        if let Some(position) = self.contracts.get_index_of(contract) {
            return position;
        }
        let queue = ContractQueue::new(Terms::unknown());
        self.contracts.insert_full(contract.clone(), queue).0
    }

    /// Updates a contract's turns in the index after a change of the contract.
    fn update_turns(&mut self, position: usize) {
        let queue = &mut self.contracts[position];
        for class in [SizeClass::Short, SizeClass::Long] {
            let turn = queue.turn(class, position);
            let indexed = queue.indexed.get_mut(class);
            if *indexed == turn {
                continue;
            }
            let turns = self.turns.get_mut(class);
            if let Some(old) = indexed {
                turns.remove(old);
            }
            turns.extend(turn);
            *indexed = turn;
        }
    }

    fn estimate(&self, waiting: &WaitingTask) -> Duration {
        let contract = &waiting.task.contract;
        self.run_times
            .estimate(contract, &waiting.kind, waiting.declared_run_time)
    }

    /// Returns how many slots to keep for short tasks: the mean load and a margin.
    fn reserve(&self, now: Now, slots: &Slots) -> f64 {
        let total = f64::from(slots.usable());
        let load = self.short_load.per_second(now.instant);
        let margin = (RESERVE_DEVIATIONS * load.sqrt()).min((MAX_MARGIN * total).max(1.0));
        (load + margin).min(MAX_RESERVE * total).round()
    }

    /// Chooses the class of the next task; none if no task may start.
    fn next_class(&self, now: Now, slots: &Slots) -> Option<SizeClass> {
        let Some(long) = self.turns.long.first() else {
            return self.turns.short.first().map(|_| SizeClass::Short);
        };
        let reserve = self.reserve(now, slots);
        let running_short = u32::try_from(self.running_short).unwrap_or(u32::MAX);
        let available = f64::from(slots.free().saturating_add(running_short));
        let may_start_long = available >= reserve + 1.0;
        let Some(short) = self.turns.short.first() else {
            return may_start_long.then_some(SizeClass::Long);
        };
        let half = f64::from(slots.usable()) / 2.0;
        let short_is_first = match short.rank().cmp(&long.rank()) {
            std::cmp::Ordering::Less => true,
            std::cmp::Ordering::Greater => false,
            std::cmp::Ordering::Equal => {
                f64::from(running_short) < reserve.max(half)
                    || short.virtual_time < long.virtual_time
            }
        };
        if short_is_first || !may_start_long {
            Some(SizeClass::Short)
        } else {
            Some(SizeClass::Long)
        }
    }

    /// Removes and returns the first waiting task of a contract and class.
    fn pop(&mut self, position: usize, class: SizeClass) -> Option<WaitingTask> {
        let queue = &mut self.contracts[position];
        let (key, waiting) = queue.queues.get_mut(class).pop_first()?;
        self.waiting.swap_remove(&waiting.task);
        self.deadlines.remove(&(waiting.deadline, key.arrival));
        Some(waiting)
    }

    fn mark_running(&mut self, task: &TaskRef, running: Running) -> usize {
        let position = self.contract_position(&task.contract);
        if running.class == SizeClass::Short {
            self.running_short += 1;
            self.started_short.push_back((running.since, task.clone()));
        }
        let queue = &mut self.contracts[position];
        if self.running.insert(task.clone(), running).is_none() {
            queue.running += 1;
        }
        position
    }

    /// Counts tasks as long if they started as short and have run for too long.
    fn reclassify_overruns(&mut self, now: Now) {
        while let Some((since, _)) = self.started_short.front() {
            if *since + SHORT_RUN_TIME >= now.instant {
                return;
            }
            let Some((since, task)) = self.started_short.pop_front() else {
                return;
            };
            let Some(running) = self.running.get_mut(&task) else {
                continue;
            };
            if running.since != since || running.class != SizeClass::Short {
                continue;
            }
            running.class = SizeClass::Long;
            self.running_short -= 1;
            let ran = now.instant.saturating_duration_since(since);
            if let Some(kind) = running.kind.clone() {
                self.learn(&task.contract, &kind, ran);
            }
        }
    }

    fn learn(&mut self, contract: &ContractId, kind: &KindId, run_time: Duration) {
        let (before, after) = self.run_times.learn(contract, kind, run_time);
        let is_same_class = before.is_some_and(|b| SizeClass::of(b) == SizeClass::of(after));
        if !is_same_class {
            self.move_kind(contract, kind, SizeClass::of(after));
        }
    }

    /// Moves a kind's waiting tasks to the queue of the learned class.
    fn move_kind(&mut self, contract: &ContractId, kind: &KindId, class: SizeClass) {
        let position = self.contract_position(contract);
        let queues = &mut self.contracts[position].queues;
        let (from, to) = match class {
            SizeClass::Short => (&mut queues.long, &mut queues.short),
            SizeClass::Long => (&mut queues.short, &mut queues.long),
        };
        let moved: Vec<QueueKey> = from
            .iter()
            .filter(|(_, waiting)| waiting.kind == *kind)
            .map(|(key, _)| *key)
            .collect();
        for key in moved {
            let Some(waiting) = from.remove(&key) else {
                continue;
            };
            if let Some(place) = self.waiting.get_mut(&waiting.task) {
                place.1 = class;
            }
            to.insert(key, waiting);
        }
        self.update_turns(position);
    }

    /// Raises the virtual time of a contract without waiting tasks to that of the
    /// contracts of its urgency, so that idle time earns no credit.
    fn catch_up_virtual_time(&mut self, position: usize) {
        let queue = &mut self.contracts[position];
        if queue.waiting() == 0 {
            let served_virtual_time = self.served_virtual_time.get(&queue.terms.urgency);
            let served_virtual_time = served_virtual_time.copied().unwrap_or_default();
            queue.virtual_time = queue.virtual_time.max(served_virtual_time);
        }
    }
}

impl Policy for SizeAware {
    fn configure(&mut self, configuration: &Configuration) {
        for queue in self.contracts.values_mut() {
            queue.terms = Terms::unknown();
        }
        for contract in configuration.contracts.values() {
            let position = self.contract_position(&contract.id);
            self.contracts[position].terms = Terms::new(contract);
        }
        for position in 0..self.contracts.len() {
            self.update_turns(position);
        }
    }

    fn enqueue(&mut self, now: Now, waiting: WaitingTask, retried: bool) {
        let estimate = self.estimate(&waiting);
        let class = SizeClass::of(estimate);
        let position = self.contract_position(&waiting.task.contract);
        self.catch_up_virtual_time(position);
        let queue = &mut self.contracts[position];
        let in_flight = queue.running + queue.waiting();
        let is_within_share = in_flight < queue.terms.in_flight_limit;
        if class == SizeClass::Short && is_within_share && !retried {
            self.short_load.add(now.instant, estimate.as_secs_f64());
        }
        self.arrivals += 1;
        let key = QueueKey {
            urgency: Reverse(waiting.urgency),
            retried: Reverse(retried),
            deadline: waiting.deadline,
            arrival: self.arrivals,
        };
        let task = waiting.task.clone();
        self.deadlines
            .insert((waiting.deadline, key.arrival), task.clone());
        self.waiting.insert(task, (key, class));
        queue.queues.get_mut(class).insert(key, waiting);
        self.update_turns(position);
    }

    fn remove(&mut self, task: &TaskRef) -> Option<WaitingTask> {
        let (key, class) = self.waiting.swap_remove(task)?;
        self.deadlines.remove(&(key.deadline, key.arrival));
        let position = self.contracts.get_index_of(&task.contract)?;
        let queues = &mut self.contracts[position].queues;
        let waiting = queues.get_mut(class).remove(&key);
        self.update_turns(position);
        waiting
    }

    fn next(&mut self, now: Now, slots: &Slots) -> Option<(WaitingTask, EndpointId)> {
        let endpoint = slots.emptiest()?.clone();
        self.reclassify_overruns(now);
        let class = self.next_class(now, slots)?;
        let position = self.turns.get(class).first()?.contract;
        let waiting = self.pop(position, class)?;
        let charged = self.estimate(&waiting);
        let running = Running {
            kind: Some(waiting.kind.clone()),
            class,
            since: now.instant,
            charged,
        };
        self.mark_running(&waiting.task, running);
        let queue = &mut self.contracts[position];
        self.served_virtual_time
            .insert(queue.terms.urgency, queue.virtual_time);
        queue.virtual_time += charged / queue.terms.weight;
        self.update_turns(position);
        Some((waiting, endpoint))
    }

    fn adopt(&mut self, now: Now, task: &TaskRef) {
        let running = Running {
            kind: None,
            class: SizeClass::Long,
            since: now.instant,
            charged: Duration::ZERO,
        };
        let position = self.mark_running(task, running);
        self.update_turns(position);
    }

    fn release(&mut self, now: Now, task: &TaskRef, slot_use: SlotUse) {
        let Some(running) = self.running.swap_remove(task) else {
            return;
        };
        if running.class == SizeClass::Short {
            self.running_short -= 1;
        }
        let ran = now.instant.saturating_duration_since(running.since);
        let position = self.contract_position(&task.contract);
        let queue = &mut self.contracts[position];
        queue.running = queue.running.saturating_sub(1);
        queue.end_rate.add(now.instant, 1.0);
        let charge = match slot_use {
            SlotUse::Completed | SlotUse::Failed => ran,
            SlotUse::Unknown => Duration::ZERO,
        };
        let used = queue.virtual_time + charge / queue.terms.weight;
        queue.virtual_time = used.saturating_sub(running.charged / queue.terms.weight);
        if let Some(kind) = running.kind.filter(|_| slot_use == SlotUse::Completed) {
            self.learn(&task.contract, &kind, ran);
        }
        self.update_turns(position);
    }

    fn waiting(&self, contract: &ContractId) -> usize {
        let queue = self.contracts.get(contract);
        queue.map_or(0, ContractQueue::waiting)
    }

    fn running(&self, contract: &ContractId) -> usize {
        let queue = self.contracts.get(contract);
        queue.map_or(0, |queue| queue.running)
    }

    fn time_to_drain(&self, now: Now, contract: &ContractId) -> Option<Duration> {
        let queue = self.contracts.get(contract)?;
        let tasks = u32::try_from(queue.waiting() + queue.running).ok()?;
        let ends_per_second = queue.end_rate.per_second(now.instant);
        Duration::try_from_secs_f64(f64::from(tasks) / ends_per_second).ok()
    }

    fn expire(&mut self, now: Now) -> Vec<WaitingTask> {
        let mut late = Vec::new();
        while let Some((&(deadline, _), task)) = self.deadlines.first_key_value() {
            if deadline > now.wall {
                break;
            }
            let task = task.clone();
            late.extend(self.remove(&task));
        }
        late
    }
}
