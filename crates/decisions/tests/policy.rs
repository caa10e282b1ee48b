//! The size-aware policy and slots, on a simulated clock.

use {
    chestnutrun_decisions::policy::{
        EndpointSlots, Policy, SizeAware, SlotUse, Slots, WaitingTask,
    },
    chestnutrun_types::{Configuration, Contract, EndpointId, Now, Overflow, TaskRef},
    rstest::rstest,
    std::time::{Duration, Instant, SystemTime},
};

/// A policy with one simulated endpoint.
struct Bench {
    policy: SizeAware,
    slots: Slots,
    endpoint_slots: EndpointSlots,
    now: Now,
    submitted: u16,
}

impl Bench {
    fn new(total: u32, contracts: &[Contract]) -> Self {
        let mut policy = SizeAware::default();
        policy.configure(&Configuration {
            revision: 1,
            contracts: contracts
                .iter()
                .map(|c| (c.id.clone(), c.clone()))
                .collect(),
            ..Configuration::default()
        });
        let mut bench = Self {
            policy,
            slots: Slots::default(),
            endpoint_slots: EndpointSlots {
                total,
                taken: 0,
                usable: true,
                suspect: false,
            },
            now: Now {
                instant: Instant::now(),
                wall: SystemTime::UNIX_EPOCH,
            },
            submitted: 0,
        };
        bench.change_taken(0);
        bench
    }

    fn change_taken(&mut self, change: i64) {
        let taken = i64::from(self.endpoint_slots.taken) + change;
        self.endpoint_slots.taken = u32::try_from(taken).expect("slots are not freed twice");
        self.slots.set(&endpoint(), self.endpoint_slots);
    }

    fn submit(&mut self, contract: &str, kind: &str, declared: Duration) -> TaskRef {
        self.submit_urgent(contract, kind, declared, 0)
    }

    fn submit_urgent(
        &mut self,
        contract: &str,
        kind: &str,
        declared: Duration,
        urgency: u8,
    ) -> TaskRef {
        self.submitted += 1;
        let task = TaskRef {
            contract: contract.into(),
            key: "job".into(),
            index: self.submitted,
        };
        let waiting = WaitingTask {
            task: task.clone(),
            kind: kind.into(),
            declared_run_time: declared,
            urgency,
            since: self.now.instant,
            deadline: self.now.wall + Duration::from_mins(1),
        };
        self.policy.enqueue(self.now, waiting, false);
        task
    }

    fn start(&mut self) -> Option<TaskRef> {
        let (waiting, _) = self.policy.next(self.now, &self.slots)?;
        self.change_taken(1);
        Some(waiting.task)
    }

    fn start_all(&mut self) -> Vec<TaskRef> {
        std::iter::from_fn(|| self.start()).collect()
    }

    fn end(&mut self, task: &TaskRef) {
        self.policy.release(self.now, task, SlotUse::Completed);
        self.change_taken(-1);
    }

    fn advance(&mut self, by: Duration) {
        self.now = self.now.later(by);
    }

    /// Submits a task of a kind and runs it to its end.
    fn run(&mut self, contract: &str, kind: &str, run_time: Duration) {
        self.submit(contract, kind, run_time);
        let task = self.start().expect("a slot is free");
        self.advance(run_time);
        self.end(&task);
    }
}

fn endpoint() -> EndpointId {
    "endpoint-0".into()
}

fn contract(id: &str, limit: u32, weight: u32, overflow: Overflow) -> Contract {
    let contract = Contract::builder(id)
        .in_flight_limit(limit)
        .weight(weight)
        .overflow(overflow)
        .token_hash("0".repeat(64));
    contract.build().expect("the contract is valid")
}

fn open(id: &str) -> Contract {
    contract(id, 100, 1, Overflow::Queue)
}

const SHORT: Duration = Duration::from_millis(50);
const LONG: Duration = Duration::from_secs(3);

#[rstest]
fn long_tasks_leave_slots_for_the_short_load() {
    let mut bench = Bench::new(8, &[open("a")]);
    for _ in 0..40 {
        bench.run("a", "check", SHORT);
    }
    for _ in 0..20 {
        bench.submit("a", "letter", LONG);
    }
    let started = bench.start_all().len();
    assert!(
        (5..8).contains(&started),
        "{started} of 8 slots hold long tasks"
    );
    let check = bench.submit("a", "check", SHORT);
    assert_eq!(bench.start(), Some(check));
}

#[rstest]
fn long_tasks_use_every_slot_if_no_short_task_arrives() {
    let mut bench = Bench::new(8, &[open("a")]);
    bench.run("a", "check", SHORT);
    bench.advance(Duration::from_mins(1));
    for _ in 0..20 {
        bench.submit("a", "letter", LONG);
    }
    assert!(bench.start_all().len() >= 7);
}

#[rstest]
#[case::declared_too_long(SHORT, LONG, "check")]
#[case::declared_too_short(LONG, SHORT, "other")]
fn the_class_follows_the_learned_run_time(
    #[case] actual: Duration,
    #[case] declared: Duration,
    #[case] first: &str,
) {
    let mut bench = Bench::new(1, &[open("a")]);
    bench.run("a", "check", actual);
    bench.run("a", "other", Duration::from_millis(100));
    bench.submit("a", "check", declared);
    bench.submit("a", "other", declared);
    let started = bench.start().expect("the slot is free");
    let expected = if first == "check" { 3 } else { 4 };
    assert_eq!(started.index, expected);
}

#[rstest]
fn one_straggler_in_a_hundred_does_not_change_the_class() {
    let mut bench = Bench::new(1, &[open("a")]);
    for number in 0..300 {
        let straggles = number % 100 == 50;
        let run_time = if straggles { LONG * 10 } else { SHORT };
        bench.run("a", "check", run_time);
    }
    let long = bench.submit("a", "letter", LONG);
    let check = bench.submit("a", "check", LONG);
    assert_eq!(bench.start(), Some(check));
    assert_ne!(bench.start(), Some(long));
}

#[rstest]
fn a_task_that_outgrows_its_class_no_longer_counts_as_short() {
    let mut bench = Bench::new(8, &[open("a")]);
    for _ in 0..40 {
        bench.run("a", "check", SHORT);
    }
    for _ in 0..3 {
        bench.submit("a", "check", SHORT);
    }
    assert_eq!(bench.start_all().len(), 3);
    bench.advance(Duration::from_secs(1));
    for _ in 0..20 {
        bench.submit("a", "letter", LONG);
    }
    bench.start_all();
    let check = bench.submit("a", "check", SHORT);
    assert_eq!(bench.start(), Some(check));
}

#[rstest]
fn a_borrower_gets_no_slot_while_a_contract_within_its_share_waits() {
    let contracts = [
        contract("a", 2, 1, Overflow::Borrow),
        contract("b", 4, 1, Overflow::Queue),
    ];
    let mut bench = Bench::new(4, &contracts);
    for _ in 0..10 {
        bench.submit("a", "check", SHORT);
    }
    let borrowed = bench.start_all();
    assert_eq!(borrowed.len(), 4);
    let of_b: Vec<TaskRef> = (0..2).map(|_| bench.submit("b", "check", SHORT)).collect();
    bench.advance(SHORT);
    for task in &borrowed[..2] {
        bench.end(task);
    }
    assert_eq!(bench.start_all(), of_b);
}

#[rstest]
fn contracts_share_slots_by_weight() {
    let contracts = [
        contract("a", 100, 3, Overflow::Queue),
        contract("b", 100, 1, Overflow::Queue),
    ];
    let mut bench = Bench::new(4, &contracts);
    for _ in 0..400 {
        bench.submit("a", "check", SHORT);
        bench.submit("b", "check", SHORT);
    }
    let mut of_a = 0;
    for _ in 0..100 {
        let started = bench.start_all();
        of_a += started.iter().filter(|task| &*task.contract == "a").count();
        bench.advance(SHORT);
        for task in &started {
            bench.end(task);
        }
    }
    assert!((280..=320).contains(&of_a), "{of_a} of 400 slots");
}

#[rstest]
fn urgent_jobs_and_early_deadlines_go_first() {
    let mut bench = Bench::new(8, &[open("a")]);
    let later = bench.now.wall;
    bench.now.wall += Duration::from_secs(1);
    let third = bench.submit("a", "check", SHORT);
    bench.now.wall = later;
    let second = bench.submit("a", "check", SHORT);
    let first = bench.submit_urgent("a", "check", SHORT, 1);
    assert_eq!(bench.start_all(), [first, second, third]);
}

#[rstest]
fn late_or_removed_tasks_do_not_start() {
    let mut bench = Bench::new(8, &[open("a")]);
    let removed = bench.submit("a", "check", SHORT);
    assert!(bench.policy.remove(&removed).is_some());
    let late = bench.submit("a", "check", SHORT);
    bench.advance(Duration::from_mins(2));
    let expired: Vec<TaskRef> = bench
        .policy
        .expire(bench.now)
        .into_iter()
        .map(|waiting| waiting.task)
        .collect();
    assert_eq!(expired, [late]);
    assert_eq!(bench.policy.waiting(&"a".into()), 0);
    assert_eq!(bench.start_all(), []);
}

#[rstest]
fn the_emptiest_endpoint_that_does_not_fail_goes_first() {
    let mut slots = Slots::default();
    let set = |slots: &mut Slots, name: &str, taken, suspect| {
        let state = EndpointSlots {
            total: 8,
            taken,
            usable: true,
            suspect,
        };
        slots.set(&name.into(), state);
    };
    set(&mut slots, "a", 7, false);
    set(&mut slots, "b", 5, false);
    set(&mut slots, "c", 0, true);
    assert_eq!(slots.emptiest().map(AsRef::as_ref), Some("b"));
    set(&mut slots, "b", 8, false);
    assert_eq!(slots.emptiest().map(AsRef::as_ref), Some("a"));
    set(&mut slots, "a", 8, false);
    assert_eq!(slots.emptiest().map(AsRef::as_ref), Some("c"));
    assert_eq!((slots.usable(), slots.free()), (24, 8));
}

#[rstest]
fn the_time_to_drain_follows_the_rate_of_ends() {
    let mut bench = Bench::new(1, &[open("a")]);
    for _ in 0..200 {
        bench.run("a", "check", SHORT);
    }
    for _ in 0..100 {
        bench.submit("a", "check", SHORT);
    }
    let time_to_drain = bench.policy.time_to_drain(bench.now, &"a".into());
    let seconds = time_to_drain.expect("the rate is known").as_secs_f64();
    assert!(
        (4.5..=5.5).contains(&seconds),
        "{seconds} s for 100 tasks of 50 ms"
    );
}

#[rstest]
fn a_contract_is_not_charged_for_slots_that_were_lost() {
    let mut bench = Bench::new(4, &[open("a"), open("b")]);
    for _ in 0..4 {
        bench.submit("a", "check", SHORT);
    }
    let lost = bench.start_all();
    bench.advance(Duration::from_secs(10));
    for task in &lost {
        bench.policy.release(bench.now, task, SlotUse::Unknown);
        bench.change_taken(-1);
    }
    let mut of_a = 0;
    for _ in 0..80 {
        bench.submit("a", "check", SHORT);
        bench.submit("b", "check", SHORT);
    }
    for _ in 0..20 {
        let started = bench.start_all();
        of_a += started.iter().filter(|task| &*task.contract == "a").count();
        bench.advance(SHORT);
        for task in &started {
            bench.end(task);
        }
    }
    assert!((36..=44).contains(&of_a), "{of_a} of 80 slots");
}

/// A caller declared run times of 2^64 seconds. The sum of two of them stopped the
/// entry that owned the shard, and the next owner after it.
#[rstest]
fn a_declared_run_time_beyond_all_bounds_stops_the_owner() {
    let mut bench = Bench::new(8, &[open("a"), open("b")]);
    for _ in 0..3 {
        bench.submit("a", "letter", Duration::MAX);
    }
    let started = bench.start_all();
    assert!(started.len() >= 2, "{started:?}");
    for task in &started {
        bench.end(task);
    }
    let check = bench.submit("b", "check", SHORT);
    assert!(bench.start_all().contains(&check));
}
