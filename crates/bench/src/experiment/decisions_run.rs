//! Runs an experiment on the decision code alone, with a simulated clock.
//!
//! There is no network and no other process: messages arrive immediately.

use {
    crate::experiment::{
        Arrival, ExperimentConf, FakeSlots, FaultKind, Measures, PolicyKind, RunningTask,
    },
    chestnutrun_decisions::owner::{
        AgentOrder, OwnerAction, OwnerConf, OwnerInput, OwnerMachine, Request, Takeover,
    },
    chestnutrun_types::{
        AgentHello, Configuration, Contract, EndpointId, Epoch, Fence, FenceReply, Finished,
        JobAnswer, JobRef, JobSpec, KnownAgents, Now, Reply, ShardId, Start, Submit, TaskOutcome,
        TaskSpec,
    },
    indexmap::IndexMap,
    std::{
        rc::Rc,
        time::{Duration, SystemTime},
    },
};

/// Interval between ticks of the owner machine.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Longest time after the end of the arrivals that a run waits for open tasks.
const DRAIN_TIMEOUT: Duration = Duration::from_mins(2);

/// The only shard of the simulated site.
const SHARD: ShardId = 0;

/// Ownership epoch of the simulated owner; it never changes.
const OWNER_EPOCH: Epoch = 1;

/// Time after which a task fails at an endpoint that fails everything.
const FAILURE_TIME: Duration = Duration::from_millis(1);

/// One run of the decision code against simulated endpoints.
#[derive(Debug)]
pub struct DecisionsRun<'a> {
    conf: &'a ExperimentConf,
    arrivals: &'a [Arrival],
    policy_kind: PolicyKind,
    machine: OwnerMachine,
    slots: FakeSlots,
    started_at: Now,
    now: Now,
    /// Submitted tasks that have not started.
    waiting: u64,
    /// Index and end time of each ended task of a job without an answer yet.
    ended: IndexMap<JobRef, Vec<(usize, Duration)>>,
    failing: Vec<EndpointId>,
    lost: Vec<EndpointId>,
    measures: Measures,
}

impl<'a> DecisionsRun<'a> {
    /// Creates a run of `arrivals` under the policy `policy_kind`.
    #[must_use]
    pub fn new(
        conf: &'a ExperimentConf,
        arrivals: &'a [Arrival],
        policy_kind: PolicyKind,
        seed: u64,
    ) -> Self {
        let now = Now {
            instant: std::time::Instant::now(),
            wall: SystemTime::UNIX_EPOCH + Duration::from_hours(24),
        };
        let owner = OwnerConf {
            shard: SHARD,
            epoch: OWNER_EPOCH,
            me: "entry-0".into(),
        };
        let takeover = Takeover::new(now.instant, no_agents());
        let policy = policy_kind.policy(seed);
        let machine = OwnerMachine::new(owner, configuration(conf), policy, takeover);
        let seconds = usize::try_from(conf.length.as_secs()).unwrap_or_default();
        let measures = Measures {
            used: vec![vec![0.0; conf.contracts.len()]; seconds + 1],
            ..Measures::default()
        };
        Self {
            conf,
            arrivals,
            policy_kind,
            machine,
            slots: FakeSlots::new(conf.contracts.len()),
            started_at: now,
            now,
            waiting: 0,
            ended: IndexMap::new(),
            failing: Vec::new(),
            lost: Vec::new(),
            measures,
        }
    }

    /// Runs the experiment to its end and returns the measurements.
    #[must_use]
    pub fn run(mut self) -> Measures {
        let acknowledged = OwnerInput::OwnershipAcknowledged(Some(self.now.instant), no_agents());
        self.handle_input(acknowledged);
        self.handle_input(OwnerInput::OwnershipConfirmed(self.now.instant));
        for number in 0..self.conf.site.endpoints {
            self.link_agent(number);
        }
        let mut next_tick = self.now.instant;
        let mut submitted = 0;
        let mut changes = scheduled_changes(self.conf);
        changes.reverse();
        loop {
            let arrival = self.arrivals.get(submitted);
            let submit_at = arrival.map(|arrival| self.started_at.instant + arrival.at);
            let changes_at = changes.last().map(|(at, _)| self.started_at.instant + *at);
            let next_times = [
                submit_at,
                changes_at,
                self.slots.next_end(),
                Some(next_tick),
            ];
            let Some(at) = next_times.iter().flatten().min().copied() else {
                break;
            };
            self.advance(at);
            let elapsed = at.duration_since(self.started_at.instant);
            let is_drained = arrival.is_none() && self.slots.running() == 0 && self.waiting == 0;
            if is_drained || elapsed > self.conf.length + DRAIN_TIMEOUT {
                break;
            }
            if changes_at == Some(at) {
                if let Some((_, change)) = changes.pop() {
                    self.apply_change(change);
                }
            } else if submit_at == Some(at) {
                self.submit(submitted);
                submitted += 1;
            } else if self.slots.next_end() == Some(at) {
                self.finish_next_task();
            } else {
                next_tick += TICK_INTERVAL;
                self.handle_input(OwnerInput::OwnershipConfirmed(self.now.instant));
                self.handle_input(OwnerInput::Tick);
            }
        }
        self.measures
    }

    /// Advances the clock to `to` and records the slot usage until then.
    fn advance(&mut self, to: std::time::Instant) {
        let by = to.saturating_duration_since(self.now.instant);
        let elapsed = self.now.instant.duration_since(self.started_at.instant);
        if elapsed >= self.conf.warm_up && elapsed < self.conf.length {
            self.record_slot_use(elapsed, by.as_secs_f64());
        }
        self.now = self.now.later(by);
    }

    /// Adds `seconds` of slot usage at the time `elapsed` since the start.
    fn record_slot_use(&mut self, elapsed: Duration, seconds: f64) {
        let live = usize::from(self.conf.site.endpoints) - self.lost.len();
        let slots = seconds * f64::from(self.conf.site.slots) * as_f64(live);
        let busy = seconds * as_f64(self.slots.running());
        self.measures.busy += busy;
        self.measures.slots += slots;
        if self.waiting > 0 {
            self.measures.busy_waiting += busy;
            self.measures.slots_waiting += slots;
        }
        let second = usize::try_from(elapsed.as_secs()).unwrap_or_default();
        for (number, running) in self.slots.by_contract().iter().enumerate() {
            self.measures.used[second][number] += seconds * as_f64(*running);
        }
    }

    fn link_agent(&mut self, number: u16) {
        let hello = AgentHello {
            endpoint: endpoint(number),
            incarnation: 1,
            shard: SHARD,
            slots: self.conf.site.slots,
            zone: "zone-a".into(),
            leaving: false,
        };
        self.handle_input(OwnerInput::AgentUp(hello));
    }

    fn submit(&mut self, number: usize) {
        let arrival = &self.arrivals[number];
        let contract = &self.conf.contracts[arrival.contract];
        let knows_run_times = self.policy_kind == PolicyKind::Ideal;
        let tasks = arrival.tasks.iter().map(|task| TaskSpec {
            kind: contract.mix[task.mix_index].kind.as_str().into(),
            declared_run_time: if knows_run_times {
                task.run_time
            } else {
                task.declared
            },
            input: String::new(),
            idempotent: false,
        });
        let submit = Submit {
            job: JobRef {
                contract: contract.name.as_str().into(),
                key: number.to_string().into(),
            },
            spec: JobSpec {
                tasks: tasks.collect(),
                deadline: self.now.wall + contract.deadline_in,
                urgency: 0,
            },
            digest: 0,
            may_be_older: false,
            wants_receipt: false,
        };
        let count = arrival.tasks.len() as u64;
        self.measures.tasks += count;
        self.waiting += count;
        self.measures.most_waiting = self.measures.most_waiting.max(self.waiting);
        self.handle_input(OwnerInput::Request(
            "entry-0".into(),
            Request::Submit(submit),
        ));
    }

    fn handle_input(&mut self, input: OwnerInput) {
        for action in self.machine.handle(self.now, input) {
            match action {
                OwnerAction::Order(endpoint, AgentOrder::Start(start)) => {
                    self.start(endpoint, &start);
                }
                OwnerAction::Order(endpoint, AgentOrder::Fence(fence)) => {
                    self.fence(endpoint, &fence);
                }
                OwnerAction::Order(_, AgentOrder::Lookup(_)) => {}
                OwnerAction::Reply(_, reply) => self.reply(&reply.job, reply.reply),
            }
        }
    }

    fn fence(&mut self, endpoint: EndpointId, fence: &Fence) {
        let reply = FenceReply {
            shard: fence.shard,
            epoch: fence.epoch,
            running: Vec::new(),
            jobs: Vec::new(),
        };
        self.handle_input(OwnerInput::FenceReply(endpoint.clone(), reply));
        self.handle_input(OwnerInput::AgentLease(endpoint, Some(fence.epoch)));
    }

    fn start(&mut self, endpoint: EndpointId, start: &Start) {
        self.waiting -= 1;
        let arrival = &self.arrivals[arrival_number(&start.task.key)];
        let task = &arrival.tasks[usize::from(start.task.index)];
        let (run_time, outcome) = if self.failing.contains(&endpoint) {
            self.measures.failed_by_broken += 1;
            let outcome = TaskOutcome::FailedWhileRunning("broken".to_owned());
            (FAILURE_TIME, outcome)
        } else {
            (task.run_time, TaskOutcome::Completed(String::new()))
        };
        let running = RunningTask {
            endpoint,
            contract: arrival.contract,
            task: start.task.clone(),
            digest: start.digest,
            outcome,
        };
        self.slots.start(self.now.instant, run_time, running);
    }

    fn finish_next_task(&mut self) {
        let Some(running) = self.slots.finish_next() else {
            return;
        };
        let at = self.now.instant.duration_since(self.started_at.instant);
        self.ended
            .entry(running.task.job())
            .or_default()
            .push((usize::from(running.task.index), at));
        let finished = Finished {
            task: running.task,
            digest: running.digest,
            outcome: running.outcome,
        };
        self.handle_input(OwnerInput::Finished(running.endpoint, finished));
    }

    fn reply(&mut self, job: &JobRef, reply: Reply) {
        match reply {
            Reply::Answered(answer) => self.record_answer(job, &answer),
            Reply::Refused(refusal) => {
                let count = self.arrivals[arrival_number(&job.key)].tasks.len();
                self.waiting -= count as u64;
                for _ in 0..count {
                    self.measures
                        .record_failure(format!("{:?}", refusal.reason));
                }
            }
            _ => {}
        }
    }

    /// Records the outcome of each task of an answered job.
    ///
    /// The response time of a task ends when the task ends, not when its job is
    /// answered, so that jobs with several tasks show each kind separately.
    fn record_answer(&mut self, job: &JobRef, answer: &JobAnswer) {
        let ended = self.ended.swap_remove(job).unwrap_or_default();
        let arrival = &self.arrivals[arrival_number(&job.key)];
        for (index, answered) in answer.tasks.iter().enumerate() {
            let end = ended.iter().find(|(ended, _)| *ended == index);
            match (&answered.outcome, end) {
                (TaskOutcome::Completed(_), Some((_, at))) => {
                    let task = &arrival.tasks[index];
                    self.measures.record_completion(
                        self.conf,
                        arrival.contract,
                        task.mix_index,
                        arrival.at,
                        at.saturating_sub(arrival.at),
                        task.run_time,
                    );
                }
                (outcome, end) => {
                    let never_started = matches!(
                        outcome,
                        TaskOutcome::Cancelled
                            | TaskOutcome::DeadlinePassed
                            | TaskOutcome::NotRun(_)
                    );
                    if never_started && end.is_none() {
                        self.waiting -= 1;
                    }
                    let name = format!("{outcome:?}");
                    let name = name.split('(').next().unwrap_or_default();
                    self.measures.record_failure(name);
                }
            }
        }
    }

    fn apply_change(&mut self, change: Change) {
        match change {
            Change::Fails(first, count, true) => {
                self.failing.extend((first..first + count).map(endpoint));
            }
            Change::Fails(first, count, false) => {
                let repaired: Vec<EndpointId> = (first..first + count).map(endpoint).collect();
                self.failing.retain(|endpoint| !repaired.contains(endpoint));
            }
            Change::Lost(first, count) => {
                for number in first..first + count {
                    let endpoint = endpoint(number);
                    self.slots.remove_endpoint(&endpoint);
                    self.lost.push(endpoint.clone());
                    self.handle_input(OwnerInput::AgentDown(endpoint, 1));
                }
            }
            Change::Cancel(contract) => self.cancel(contract),
        }
    }

    fn cancel(&mut self, contract: usize) {
        let elapsed = self.now.instant.duration_since(self.started_at.instant);
        let arrived = self.arrivals.iter().enumerate();
        let numbers: Vec<usize> = arrived
            .filter(|(_, arrival)| arrival.contract == contract && arrival.at <= elapsed)
            .map(|(number, _)| number)
            .collect();
        for number in numbers {
            let job = JobRef {
                contract: self.conf.contracts[contract].name.as_str().into(),
                key: number.to_string().into(),
            };
            self.handle_input(OwnerInput::Request("entry-0".into(), Request::Cancel(job)));
        }
    }
}

/// A change at a set time during a run.
#[derive(Clone, Copy, Debug)]
enum Change {
    /// Endpoints begin or cease to fail every task: number of the first endpoint,
    /// number of endpoints, and true if they begin.
    Fails(u16, u16, bool),
    /// Endpoints and their agents are lost: number of the first endpoint and number
    /// of endpoints.
    Lost(u16, u16),
    /// A contract, by its index, cancels all its jobs that have arrived so far.
    Cancel(usize),
}

/// Returns the faults and cancellations of the experiment, in order of time.
fn scheduled_changes(conf: &ExperimentConf) -> Vec<(Duration, Change)> {
    let mut changes = Vec::new();
    for fault in &conf.faults {
        match fault.what {
            FaultKind::FailsAll => {
                changes.push((fault.at, Change::Fails(fault.first, fault.endpoints, true)));
                if let Some(until) = fault.until {
                    changes.push((until, Change::Fails(fault.first, fault.endpoints, false)));
                }
            }
            FaultKind::Lost => {
                changes.push((fault.at, Change::Lost(fault.first, fault.endpoints)));
            }
        }
    }
    for (number, contract) in conf.contracts.iter().enumerate() {
        for cancel in &contract.cancels {
            changes.push((cancel.at, Change::Cancel(number)));
        }
    }
    changes.sort_by_key(|(at, _)| *at);
    changes
}

fn configuration(conf: &ExperimentConf) -> Rc<Configuration> {
    let contracts = conf.contracts.iter().map(|contract| {
        let built = Contract::builder(contract.name.as_str())
            .in_flight_limit(contract.in_flight_limit)
            .queue_limit(contract.queue_limit)
            .urgency(contract.urgency)
            .weight(contract.weight)
            .overflow(contract.overflow)
            .token_hash("0".repeat(64))
            .build()
            .expect("the experiment's contracts are valid");
        (built.id.clone(), built)
    });
    Rc::new(Configuration {
        revision: 1,
        contracts: contracts.collect(),
        drains: IndexMap::new(),
        ..Configuration::default()
    })
}

/// Returns the agents known from an earlier owner: none, as the site is new.
fn no_agents() -> KnownAgents {
    KnownAgents {
        runs: Vec::new(),
        complete: true,
    }
}

fn endpoint(number: u16) -> EndpointId {
    format!("endpoint-{number}").into()
}

fn arrival_number(key: &str) -> usize {
    key.parse()
        .expect("the key of a job is the number of its arrival")
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
