//! Drives the decisions alone, on a handed-in clock.
//!
//! Neither a network nor processes are modelled: messages arrive at once.

use {
    crate::experiment::{
        Arrival, Contestant, ExperimentConf, FakeSlots, FaultKind, Held, Measures,
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

/// How often the machine is told that time passed.
const TICK: Duration = Duration::from_millis(50);

/// Longest time after the last arrival until a run is cut off.
const DRAIN: Duration = Duration::from_mins(2);

/// The only shard.
const SHARD: ShardId = 0;

/// The only ownership.
const EPOCH: Epoch = 1;

/// Time that a task takes at an endpoint that fails everything.
const FAILS_WITHIN: Duration = Duration::from_millis(1);

/// One run of the decisions alone.
#[derive(Debug)]
pub struct DecisionsRun<'a> {
    conf: &'a ExperimentConf,
    arrivals: &'a [Arrival],
    contestant: Contestant,
    machine: OwnerMachine,
    slots: FakeSlots,
    began: Now,
    now: Now,
    waiting: u64,
    ended: IndexMap<JobRef, Vec<(usize, Duration)>>,
    failing: Vec<EndpointId>,
    lost: Vec<EndpointId>,
    measures: Measures,
}

impl<'a> DecisionsRun<'a> {
    /// Sets a run up.
    #[must_use]
    pub fn new(
        conf: &'a ExperimentConf,
        arrivals: &'a [Arrival],
        contestant: Contestant,
        seed: u64,
    ) -> Self {
        let now = Now {
            instant: std::time::Instant::now(),
            wall: SystemTime::UNIX_EPOCH + Duration::from_hours(24),
        };
        let owner = OwnerConf {
            shard: SHARD,
            epoch: EPOCH,
            me: "entry-0".into(),
        };
        let takeover = Takeover::new(now.instant, no_agents());
        let policy = contestant.policy(seed);
        let machine = OwnerMachine::new(owner, configuration(conf), policy, takeover);
        let seconds = usize::try_from(conf.length.as_secs()).unwrap_or_default();
        let measures = Measures {
            used: vec![vec![0.0; conf.contracts.len()]; seconds + 1],
            ..Measures::default()
        };
        Self {
            conf,
            arrivals,
            contestant,
            machine,
            slots: FakeSlots::new(conf.contracts.len()),
            began: now,
            now,
            waiting: 0,
            ended: IndexMap::new(),
            failing: Vec::new(),
            lost: Vec::new(),
            measures,
        }
    }

    /// Runs to the end and returns what was measured.
    #[must_use]
    pub fn run(mut self) -> Measures {
        let acknowledged = OwnerInput::OwnershipAcknowledged(Some(self.now.instant), no_agents());
        self.input(acknowledged);
        self.input(OwnerInput::OwnershipConfirmed(self.now.instant));
        for number in 0..self.conf.site.endpoints {
            self.link(number);
        }
        let mut next_tick = self.now.instant;
        let mut submitted = 0;
        let mut changes = changes(self.conf);
        changes.reverse();
        loop {
            let arrival = self.arrivals.get(submitted);
            let submit_at = arrival.map(|arrival| self.began.instant + arrival.at);
            let changes_at = changes.last().map(|(at, _)| self.began.instant + *at);
            let moments = [
                submit_at,
                changes_at,
                self.slots.next_end(),
                Some(next_tick),
            ];
            let Some(at) = moments.iter().flatten().min().copied() else {
                break;
            };
            self.advance(at);
            let since = at.duration_since(self.began.instant);
            let is_drained = arrival.is_none() && self.slots.held() == 0 && self.waiting == 0;
            if is_drained || since > self.conf.length + DRAIN {
                break;
            }
            if changes_at == Some(at) {
                if let Some((_, change)) = changes.pop() {
                    self.change(change);
                }
            } else if submit_at == Some(at) {
                self.submit(submitted);
                submitted += 1;
            } else if self.slots.next_end() == Some(at) {
                self.end_next();
            } else {
                next_tick += TICK;
                self.input(OwnerInput::OwnershipConfirmed(self.now.instant));
                self.input(OwnerInput::Tick);
            }
        }
        self.measures
    }

    /// Moves the clock and adds up busy slots.
    fn advance(&mut self, to: std::time::Instant) {
        let by = to.saturating_duration_since(self.now.instant);
        let since = self.now.instant.duration_since(self.began.instant);
        if since >= self.conf.warm_up && since < self.conf.length {
            self.add_up(since, by.as_secs_f64());
        }
        self.now = self.now.later(by);
    }

    fn add_up(&mut self, since: Duration, seconds: f64) {
        let live = usize::from(self.conf.site.endpoints) - self.lost.len();
        let slots = seconds * f64::from(self.conf.site.slots) * count(live);
        let busy = seconds * count(self.slots.held());
        self.measures.busy += busy;
        self.measures.slots += slots;
        if self.waiting > 0 {
            self.measures.busy_waiting += busy;
            self.measures.slots_waiting += slots;
        }
        let second = usize::try_from(since.as_secs()).unwrap_or_default();
        for (number, held) in self.slots.by_contract().iter().enumerate() {
            self.measures.used[second][number] += seconds * count(*held);
        }
    }

    fn link(&mut self, number: u16) {
        let hello = AgentHello {
            endpoint: endpoint(number),
            incarnation: 1,
            shard: SHARD,
            slots: self.conf.site.slots,
            zone: "zone-a".into(),
            leaving: false,
        };
        self.input(OwnerInput::AgentUp(hello));
    }

    fn submit(&mut self, number: usize) {
        let arrival = &self.arrivals[number];
        let contract = &self.conf.contracts[arrival.contract];
        let knows_all = self.contestant == Contestant::Ideal;
        let tasks = arrival.tasks.iter().map(|task| TaskSpec {
            kind: contract.mix[task.part].kind.as_str().into(),
            declared_run_time: if knows_all {
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
        self.input(OwnerInput::Request(
            "entry-0".into(),
            Request::Submit(submit),
        ));
    }

    fn input(&mut self, input: OwnerInput) {
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
        self.input(OwnerInput::FenceReply(endpoint.clone(), reply));
        self.input(OwnerInput::AgentLease(endpoint, Some(fence.epoch)));
    }

    fn start(&mut self, endpoint: EndpointId, start: &Start) {
        self.waiting -= 1;
        let arrival = &self.arrivals[number_of(&start.task.key)];
        let task = &arrival.tasks[usize::from(start.task.index)];
        let (run_time, outcome) = if self.failing.contains(&endpoint) {
            self.measures.eaten += 1;
            let outcome = TaskOutcome::FailedWhileRunning("broken".to_owned());
            (FAILS_WITHIN, outcome)
        } else {
            (task.run_time, TaskOutcome::Completed(String::new()))
        };
        let held = Held {
            endpoint,
            contract: arrival.contract,
            task: start.task.clone(),
            digest: start.digest,
            outcome,
        };
        self.slots.start(self.now.instant, run_time, held);
    }

    fn end_next(&mut self) {
        let Some(held) = self.slots.end() else {
            return;
        };
        let at = self.now.instant.duration_since(self.began.instant);
        self.ended
            .entry(held.task.job())
            .or_default()
            .push((usize::from(held.task.index), at));
        let finished = Finished {
            task: held.task,
            digest: held.digest,
            outcome: held.outcome,
        };
        self.input(OwnerInput::Finished(held.endpoint, finished));
    }

    fn reply(&mut self, job: &JobRef, reply: Reply) {
        match reply {
            Reply::Answered(answer) => self.answered(job, &answer),
            Reply::Refused(refusal) => {
                let count = self.arrivals[number_of(&job.key)].tasks.len();
                self.waiting -= count as u64;
                for _ in 0..count {
                    self.measures.failed(format!("{:?}", refusal.reason));
                }
            }
            _ => {}
        }
    }

    /// Each task's response is taken at its own end, so that jobs of several
    /// tasks show each kind by itself.
    fn answered(&mut self, job: &JobRef, answer: &JobAnswer) {
        let ended = self.ended.swap_remove(job).unwrap_or_default();
        let arrival = &self.arrivals[number_of(&job.key)];
        for (index, task) in answer.tasks.iter().enumerate() {
            let end = ended.iter().find(|(of, _)| *of == index);
            match (&task.outcome, end) {
                (TaskOutcome::Completed(_), Some((_, at))) => {
                    let of = &arrival.tasks[index];
                    self.measures.completed(
                        self.conf,
                        arrival.contract,
                        of.part,
                        arrival.at,
                        at.saturating_sub(arrival.at),
                        of.run_time,
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
                    self.measures.failed(name);
                }
            }
        }
    }

    fn change(&mut self, change: Change) {
        match change {
            Change::Fails(first, count, true) => {
                self.failing.extend((first..first + count).map(endpoint));
            }
            Change::Fails(first, count, false) => {
                let healed: Vec<EndpointId> = (first..first + count).map(endpoint).collect();
                self.failing.retain(|endpoint| !healed.contains(endpoint));
            }
            Change::Lost(first, count) => {
                for number in first..first + count {
                    let endpoint = endpoint(number);
                    self.slots.lose(&endpoint);
                    self.lost.push(endpoint.clone());
                    self.input(OwnerInput::AgentDown(endpoint, 1));
                }
            }
            Change::Cancel(contract) => self.cancel(contract),
        }
    }

    fn cancel(&mut self, contract: usize) {
        let since = self.now.instant.duration_since(self.began.instant);
        let arrived = self.arrivals.iter().enumerate();
        let numbers: Vec<usize> = arrived
            .filter(|(_, arrival)| arrival.contract == contract && arrival.at <= since)
            .map(|(number, _)| number)
            .collect();
        for number in numbers {
            let job = JobRef {
                contract: self.conf.contracts[contract].name.as_str().into(),
                key: number.to_string().into(),
            };
            self.input(OwnerInput::Request("entry-0".into(), Request::Cancel(job)));
        }
    }
}

/// Something that changes during a run.
#[derive(Clone, Copy, Debug)]
enum Change {
    /// Endpoints begin or stop to fail everything.
    Fails(u16, u16, bool),
    /// Endpoints are gone.
    Lost(u16, u16),
    /// A contract cancels what waits.
    Cancel(usize),
}

fn changes(conf: &ExperimentConf) -> Vec<(Duration, Change)> {
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

/// A new site has no agents with records.
fn no_agents() -> KnownAgents {
    KnownAgents {
        runs: Vec::new(),
        complete: true,
    }
}

fn endpoint(number: u16) -> EndpointId {
    format!("endpoint-{number}").into()
}

fn number_of(key: &str) -> usize {
    key.parse().expect("keys are numbers of arrivals")
}

fn count(of: usize) -> f64 {
    f64::from(u32::try_from(of).unwrap_or(u32::MAX))
}
