//! Benchmarks the decision code of an owner: a task from submission to answer,
//! and a tick without work.

use {
    chestnutrun_decisions::{
        owner::{AgentOrder, OwnerAction, OwnerConf, OwnerInput, OwnerMachine, Request, Takeover},
        policy::SizeAware,
    },
    chestnutrun_types::{
        AgentHello, Configuration, Contract, FenceReply, Finished, JobRef, JobSpec, KnownAgents,
        Now, Start, Submit, TaskOutcome, TaskSpec,
    },
    divan::Bencher,
    std::{rc::Rc, time::Duration},
};

/// Number of endpoints, contracts and recorded jobs of a benchmark.
type Size = (u32, u32, u64);

/// Number of other tasks that run while one is measured.
const RUNNING_TASKS: usize = 7;

/// Number of tasks between two confirmations of the ownership.
const CONFIRMATION_INTERVAL: u64 = 1_000;

/// Simulated time between submissions.
const SUBMIT_INTERVAL: Duration = Duration::from_micros(100);

fn main() {
    divan::main();
}

/// An owner machine with simulated agents that answer immediately.
struct Bench {
    machine: OwnerMachine,
    contracts: u32,
    now: Now,
    submitted: u64,
    running: std::collections::VecDeque<(chestnutrun_types::EndpointId, Start)>,
}

impl Bench {
    fn new((endpoints, contracts, records): Size) -> Self {
        let now = Now::read();
        let conf = OwnerConf {
            shard: 0,
            epoch: 1,
            me: "entry-0".into(),
        };
        let takeover = Takeover::new(now.instant, no_agents());
        let policy = Box::new(SizeAware::default());
        let machine = OwnerMachine::new(conf, configuration(contracts), policy, takeover);
        let mut bench = Self {
            machine,
            contracts,
            now,
            submitted: 0,
            running: std::collections::VecDeque::new(),
        };
        let acknowledged = OwnerInput::OwnershipAcknowledged(Some(now.instant), no_agents());
        bench.machine.handle(now, acknowledged);
        bench
            .machine
            .handle(now, OwnerInput::OwnershipConfirmed(now.instant));
        for number in 0..endpoints {
            bench.link_agent(number);
        }
        bench.machine.handle(now, OwnerInput::Tick);
        for _ in 0..records {
            bench.run_task();
        }
        bench
    }

    fn link_agent(&mut self, number: u32) {
        let endpoint: chestnutrun_types::EndpointId = format!("endpoint-{number}").into();
        let hello = AgentHello {
            endpoint: endpoint.clone(),
            incarnation: 1,
            shard: 0,
            slots: 8,
            zone: "zone-a".into(),
            leaving: false,
        };
        self.machine.handle(self.now, OwnerInput::AgentUp(hello));
        let reply = FenceReply {
            shard: 0,
            epoch: 1,
            running: Vec::new(),
            jobs: Vec::new(),
        };
        self.machine
            .handle(self.now, OwnerInput::FenceReply(endpoint.clone(), reply));
        self.machine
            .handle(self.now, OwnerInput::AgentLease(endpoint, Some(1)));
    }

    /// Submits a job of one task; ends the oldest running task once more than
    /// `RUNNING_TASKS` run.
    fn run_task(&mut self) {
        self.now = self.now.later(SUBMIT_INTERVAL);
        if self.submitted.is_multiple_of(CONFIRMATION_INTERVAL) {
            self.machine
                .handle(self.now, OwnerInput::OwnershipConfirmed(self.now.instant));
        }
        let submit = self.next_submission();
        let input = OwnerInput::Request("entry-0".into(), Request::Submit(submit));
        self.handle(input);
        if self.running.len() > RUNNING_TASKS {
            self.end_oldest();
        }
    }

    fn end_oldest(&mut self) {
        let Some((endpoint, start)) = self.running.pop_front() else {
            return;
        };
        let finished = Finished {
            task: start.task,
            digest: start.digest,
            outcome: TaskOutcome::Completed(String::new()),
        };
        self.handle(OwnerInput::Finished(endpoint, finished));
    }

    fn handle(&mut self, input: OwnerInput) {
        for action in self.machine.handle(self.now, input) {
            if let OwnerAction::Order(endpoint, AgentOrder::Start(start)) = action {
                self.running.push_back((endpoint, start));
            }
        }
    }

    fn next_submission(&mut self) -> Submit {
        self.submitted += 1;
        let contract = self.submitted % u64::from(self.contracts);
        let task = TaskSpec {
            kind: "check".into(),
            declared_run_time: Duration::from_millis(50),
            input: String::new(),
            idempotent: false,
        };
        Submit {
            job: JobRef {
                contract: format!("contract-{contract}").into(),
                key: self.submitted.to_string().into(),
            },
            spec: JobSpec {
                tasks: vec![task],
                deadline: self.now.wall + Duration::from_mins(4),
                urgency: 0,
            },
            digest: 0,
            may_be_older: false,
            wants_receipt: false,
        }
    }
}

/// Returns the agents known from an earlier owner: none, as the site is new.
fn no_agents() -> KnownAgents {
    KnownAgents {
        runs: Vec::new(),
        complete: true,
    }
}

fn configuration(contracts: u32) -> Rc<Configuration> {
    let contracts = (0..contracts).map(|number| {
        let contract = Contract::builder(format!("contract-{number}"))
            .in_flight_limit(1_000)
            .token_hash("0".repeat(64))
            .build()
            .expect("the contract is valid");
        (contract.id.clone(), contract)
    });
    Rc::new(Configuration {
        revision: 1,
        contracts: contracts.collect(),
        ..Configuration::default()
    })
}

/// Measures one task: submission, admission, placement, start and answer.
#[divan::bench(args = [
    (1, 3, 1_000), (10, 3, 1_000), (100, 3, 1_000), (1_000, 3, 1_000),
    (100, 61, 1_000), (100, 1_000, 1_000), (100, 61, 1_000_000),
    (1_000, 1_000, 1_000_000),
])]
fn task(bencher: Bencher, size: Size) {
    let mut bench = Bench::new(size);
    bencher.bench_local(|| bench.run_task());
}

/// Measures a tick with nothing to do.
#[divan::bench(args = [(10, 3, 1_000), (1_000, 61, 1_000), (1_000, 61, 1_000_000)])]
fn tick(bencher: Bencher, size: Size) {
    let mut bench = Bench::new(size);
    bencher.bench_local(|| bench.machine.handle(bench.now, OwnerInput::Tick));
}
