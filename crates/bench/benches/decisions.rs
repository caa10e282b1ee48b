//! Cost of admission, placement, start and answer of one task together.

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

/// Endpoints, contracts and records of a benchmark.
type Size = (u32, u32, u64);

/// Tasks that run while one is measured.
const RUNNING: usize = 7;

/// Tasks between two confirmations of the ownership.
const CONFIRMED_EVERY: u64 = 1_000;

/// Time between tasks.
const STEP: Duration = Duration::from_micros(100);

fn main() {
    divan::main();
}

/// An owner with fake agents that answer at once.
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
            bench.link(number);
        }
        bench.machine.handle(now, OwnerInput::Tick);
        for _ in 0..records {
            bench.task();
        }
        bench
    }

    fn link(&mut self, number: u32) {
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

    /// Submits a job of one task and ends the oldest that runs.
    fn task(&mut self) {
        self.now = self.now.later(STEP);
        if self.submitted.is_multiple_of(CONFIRMED_EVERY) {
            self.machine
                .handle(self.now, OwnerInput::OwnershipConfirmed(self.now.instant));
        }
        let submit = self.submission();
        let input = OwnerInput::Request("entry-0".into(), Request::Submit(submit));
        self.handle(input);
        if self.running.len() > RUNNING {
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

    fn submission(&mut self) -> Submit {
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

/// A new site has no agents with records.
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

/// One task, from submission to answer.
#[divan::bench(args = [
    (1, 3, 1_000), (10, 3, 1_000), (100, 3, 1_000), (1_000, 3, 1_000),
    (100, 61, 1_000), (100, 1_000, 1_000), (100, 61, 1_000_000),
    (1_000, 1_000, 1_000_000),
])]
fn task(bencher: Bencher, size: Size) {
    let mut bench = Bench::new(size);
    bencher.bench_local(|| bench.task());
}

/// A tick with nothing to do.
#[divan::bench(args = [(10, 3, 1_000), (1_000, 61, 1_000), (1_000, 61, 1_000_000)])]
fn tick(bencher: Bencher, size: Size) {
    let mut bench = Bench::new(size);
    bencher.bench_local(|| bench.machine.handle(bench.now, OwnerInput::Tick));
}
