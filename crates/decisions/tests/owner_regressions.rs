//! Regression tests of the owner machine.

use {
    chestnutrun_decisions::{
        owner::{AgentOrder, OwnerAction, OwnerConf, OwnerInput, OwnerMachine, Request, Takeover},
        policy::FirstCome,
        timing::{CLOCK_DRIFT_MARGIN, OWNERSHIP_LEASE},
    },
    chestnutrun_types::{
        AgentHello, Configuration, Contract, FenceReply, Finished, JobRef, JobSpec, KnownAgents,
        KnownRun, LookupReply, Now, RecordState, RefusalReason, Reply, RunRecords, SentStart,
        Start, StartRefusal, StartRefused, Submit, TaskOutcome, TaskRecord, TaskSpec,
    },
    rstest::{fixture, rstest},
    std::{rc::Rc, time::Duration},
};

const EPOCH: u64 = 2;

/// The new owner of a shard that has two agents with records of an earlier owner.
struct Owner {
    now: Now,
    machine: OwnerMachine,
}

#[fixture]
fn unacknowledged() -> Owner {
    let now = Now::read();
    let contract = Contract::builder("letters").in_flight_limit(8);
    let contract = contract.token_hash("0".repeat(64)).build();
    let contract = contract.expect("the contract is valid");
    let mut configuration = Configuration::default();
    configuration
        .contracts
        .insert(contract.id.clone(), contract);
    let run = |number| KnownRun {
        endpoint: hello(number, 1).endpoint,
        incarnation: 1,
        shard: 0,
        records: RunRecords::AtAgent,
    };
    let known = KnownAgents {
        runs: vec![run(0), run(1)],
        complete: true,
    };
    let takeover = Takeover::new(now.instant, known);
    let conf = OwnerConf {
        shard: 0,
        epoch: EPOCH,
        me: "entry-0".into(),
    };
    let policy = Box::new(FirstCome::default());
    let machine = OwnerMachine::new(conf, Rc::new(configuration), policy, takeover);
    Owner { now, machine }
}

/// The owner of [`unacknowledged`], after the voters of the earlier ownership have
/// acknowledged the new one.
#[fixture]
fn owner(mut unacknowledged: Owner) -> Owner {
    let at = Some(unacknowledged.now.instant);
    let known = KnownAgents::default();
    unacknowledged.handle(OwnerInput::OwnershipAcknowledged(at, known));
    unacknowledged
}

impl Owner {
    fn handle(&mut self, input: OwnerInput) -> Vec<OwnerAction> {
        self.machine.handle(self.now, input)
    }

    fn advance(&mut self, time: Duration) -> Vec<OwnerAction> {
        self.now = self.now.later(time);
        self.handle(OwnerInput::Tick)
    }

    /// Links a run of an agent, fences it and gives it a lease. The agent runs no
    /// tasks and has records of `jobs`.
    fn link(&mut self, number: u16, run: u64, jobs: &[&JobRef]) -> Vec<OwnerAction> {
        let mut actions = self.handle(OwnerInput::AgentUp(hello(number, run)));
        let reply = FenceReply {
            shard: 0,
            epoch: EPOCH,
            running: Vec::new(),
            jobs: jobs.iter().map(|job| job.key_hash()).collect(),
        };
        let endpoint = hello(number, run).endpoint;
        actions.extend(self.handle(OwnerInput::FenceReply(endpoint.clone(), reply)));
        actions.extend(self.handle(OwnerInput::AgentLease(endpoint, Some(EPOCH))));
        actions
    }

    fn submit(&mut self, submit: Submit) -> Vec<OwnerAction> {
        let request = Request::Submit(submit);
        self.handle(OwnerInput::Request("entry-1".into(), request))
    }
}

fn hello(number: u16, incarnation: u64) -> AgentHello {
    AgentHello {
        endpoint: format!("endpoint-{number}").into(),
        incarnation,
        shard: 0,
        slots: 2,
        zone: "zone".into(),
        leaving: false,
    }
}

fn job() -> JobRef {
    JobRef {
        contract: "letters".into(),
        key: "k".into(),
    }
}

fn submission(now: Now, tasks: usize) -> Submit {
    let task = TaskSpec {
        kind: "stamp".into(),
        declared_run_time: Duration::from_millis(50),
        input: String::new(),
        idempotent: false,
    };
    Submit {
        job: job(),
        spec: JobSpec {
            tasks: vec![task; tasks],
            deadline: now.wall + Duration::from_mins(1),
            urgency: 0,
        },
        digest: 7,
        may_be_older: true,
        wants_receipt: false,
    }
}

fn starts(actions: &[OwnerAction]) -> Vec<Start> {
    let start = |action: &OwnerAction| match action {
        OwnerAction::Order(_, AgentOrder::Start(start)) => Some(start.clone()),
        _ => None,
    };
    actions.iter().filter_map(start).collect()
}

fn replies(actions: &[OwnerAction]) -> Vec<Reply> {
    let reply = |action: &OwnerAction| match action {
        OwnerAction::Reply(_, reply) => Some(reply.reply.clone()),
        OwnerAction::Order(..) => None,
    };
    actions.iter().filter_map(reply).collect()
}

fn refusal(start: &Start, reason: StartRefusal) -> StartRefused {
    StartRefused {
        task: start.task.clone(),
        epoch: start.epoch,
        attempt: start.attempt,
        reason,
    }
}

#[rstest]
fn nothing_starts_before_a_majority_knows_of_the_ownership(mut unacknowledged: Owner) {
    let owner = &mut unacknowledged;
    owner.link(0, 1, &[]);
    owner.link(1, 1, &[]);
    let submit = submission(owner.now, 1);
    owner.submit(submit);
    let later = owner.advance(2 * OWNERSHIP_LEASE);
    assert_eq!(
        starts(&later),
        [],
        "voters may still vote for the earlier owner"
    );
    let at = Some(owner.now.instant);
    let known = OwnerInput::OwnershipAcknowledged(at, KnownAgents::default());
    assert_eq!(starts(&owner.handle(known)).len(), 1);
}

#[rstest]
fn a_late_refusal_of_an_earlier_start_starts_nothing_again(mut owner: Owner) {
    owner.link(0, 1, &[]);
    owner.link(1, 1, &[]);
    let submit = submission(owner.now, 1);
    let first = starts(&owner.submit(submit)).remove(0);
    let refused = refusal(&first, StartRefusal::NoSlot);
    let endpoint = hello(0, 1).endpoint;
    let input = OwnerInput::StartRefused(endpoint.clone(), refused.clone());
    let second = starts(&owner.handle(input.clone()));
    assert_eq!(second.len(), 1, "the task goes to the other endpoint");
    let again = owner.handle(OwnerInput::StartRefused(hello(1, 1).endpoint, refused));
    assert_eq!(starts(&again), [], "the second start has no reply yet");
}

#[rstest]
fn a_voided_start_can_be_sent_again(mut owner: Owner) {
    owner.link(0, 1, &[]);
    owner.advance(OWNERSHIP_LEASE + CLOCK_DRIFT_MARGIN);
    let mut submit = submission(owner.now, 1);
    submit.may_be_older = false;
    let first = starts(&owner.submit(submit)).remove(0);
    let endpoint = hello(0, 1).endpoint;
    owner.handle(OwnerInput::AgentDown(endpoint.clone(), 1));
    owner.link(0, 1, &[]);
    let voided = SentStart {
        index: 0,
        attempt: first.attempt,
    };
    let reply = LookupReply {
        job: job(),
        records: Vec::new(),
        voided: vec![voided],
    };
    let actions = owner.handle(OwnerInput::LookupReply(endpoint.clone(), reply.clone()));
    let second = starts(&actions).remove(0);
    assert!(second.attempt > first.attempt);
    let again = owner.handle(OwnerInput::LookupReply(endpoint, reply));
    assert_eq!(
        starts(&again),
        [],
        "the second reply is about the first start"
    );
}

#[rstest]
fn the_output_of_another_body_is_not_returned(mut owner: Owner) {
    owner.link(0, 1, &[]);
    owner.link(1, 1, &[]);
    let submit = submission(owner.now, 1);
    let start = starts(&owner.submit(submit)).remove(0);
    let finished = Finished {
        task: start.task,
        digest: start.digest + 1,
        outcome: TaskOutcome::Completed("of another body".to_owned()),
    };
    let input = OwnerInput::Finished(hello(0, 1).endpoint, finished);
    let at = owner.now.instant;
    let mut actions = owner.handle(input);
    actions.extend(owner.handle(OwnerInput::OwnershipConfirmed(at)));
    let outcomes = match &replies(&actions)[..] {
        [Reply::Answered(answer)] => answer.tasks.clone(),
        other => panic!("not one answer: {other:?}"),
    };
    let not_run = TaskOutcome::NotRun(RefusalReason::KeyReused);
    assert_eq!(outcomes[0].outcome, not_run);
}

#[rstest]
fn a_start_refused_for_its_body_is_not_sent_elsewhere(mut owner: Owner) {
    owner.link(0, 1, &[]);
    owner.link(1, 1, &[]);
    let submit = submission(owner.now, 1);
    let start = starts(&owner.submit(submit)).remove(0);
    let refused = refusal(&start, StartRefusal::KeyReused);
    let at = owner.now.instant;
    let mut actions = owner.handle(OwnerInput::StartRefused(hello(0, 1).endpoint, refused));
    actions.extend(owner.handle(OwnerInput::OwnershipConfirmed(at)));
    assert_eq!(starts(&actions), []);
    assert!(matches!(replies(&actions)[..], [Reply::Answered(_)]));
}

#[rstest]
fn records_of_a_replaced_agent_are_not_requested_from_its_successor(mut owner: Owner) {
    owner.link(0, 1, &[&job()]);
    owner.link(1, 1, &[]);
    owner.link(0, 2, &[]);
    let submit = submission(owner.now, 1);
    let mut actions = owner.submit(submit);
    actions.extend(owner.advance(Duration::from_millis(50)));
    assert_eq!(
        starts(&actions),
        [],
        "the task may have started under the first run"
    );
    let outcomes = match &replies(&actions)[..] {
        [Reply::Answered(answer)] => answer.tasks.clone(),
        other => panic!("not one answer: {other:?}"),
    };
    assert_eq!(outcomes[0].outcome, TaskOutcome::OutcomeUnknown);
}

#[rstest]
fn a_query_waits_for_the_records_of_every_agent(mut owner: Owner) {
    owner.link(0, 1, &[&job()]);
    let query = Request::Query(job());
    let actions = owner.handle(OwnerInput::Request("entry-1".into(), query));
    assert_eq!(actions, [], "another agent may hold records");
    let submit = submission(owner.now, 2);
    owner.submit(submit);
    let lookups = owner.link(1, 1, &[&job()]);
    let is_lookup =
        |action: &&OwnerAction| matches!(action, OwnerAction::Order(_, AgentOrder::Lookup(_)));
    assert_eq!(lookups.iter().filter(is_lookup).count(), 2);
}

#[rstest]
fn a_query_is_answered_though_a_submission_has_another_body(mut owner: Owner) {
    owner.link(0, 1, &[&job()]);
    owner.link(1, 1, &[]);
    let submit = submission(owner.now, 1);
    owner.submit(submit);
    let query = Request::Query(job());
    owner.handle(OwnerInput::Request("entry-1".into(), query));
    let record = TaskRecord {
        task: job().task(0),
        digest: 8,
        total: 1,
        state: RecordState::Ended(TaskOutcome::Completed("done".to_owned())),
    };
    let read = LookupReply {
        job: job(),
        records: vec![record],
        voided: Vec::new(),
    };
    let endpoint = hello(0, 1).endpoint;
    let mut actions = owner.handle(OwnerInput::LookupReply(endpoint.clone(), read.clone()));
    actions.extend(owner.handle(OwnerInput::LookupReply(endpoint, read)));
    let replies = replies(&actions);
    assert!(matches!(
        replies[..],
        [Reply::KeyReused, Reply::Answered(_)]
    ));
}

#[rstest]
fn a_running_task_whose_agent_is_replaced_ends_unknown(mut owner: Owner) {
    let record = TaskRecord {
        task: job().task(0),
        digest: 7,
        total: 1,
        state: RecordState::Running,
    };
    owner.handle(OwnerInput::AgentUp(hello(0, 1)));
    let reply = FenceReply {
        shard: 0,
        epoch: EPOCH,
        running: vec![record.clone()],
        jobs: vec![job().key_hash()],
    };
    owner.handle(OwnerInput::FenceReply(hello(0, 1).endpoint, reply));
    owner.link(1, 1, &[&job()]);
    let submit = submission(owner.now, 1);
    owner.submit(submit);
    let read = |records| LookupReply {
        job: job(),
        records,
        voided: Vec::new(),
    };
    let first = read(vec![record]);
    owner.handle(OwnerInput::LookupReply(hello(0, 1).endpoint, first));
    owner.link(0, 2, &[]);
    let second = read(Vec::new());
    let actions = owner.handle(OwnerInput::LookupReply(hello(1, 1).endpoint, second));
    assert_eq!(replies(&actions).len(), 1, "the job does not wait for ever");
}

#[rstest]
fn not_run_is_replied_only_under_a_confirmed_ownership(mut owner: Owner) {
    owner.link(0, 1, &[]);
    owner.link(1, 1, &[]);
    let mut submit = submission(owner.now, 1);
    submit.spec.deadline = owner.now.wall;
    let at = owner.now.instant;
    assert_eq!(replies(&owner.submit(submit.clone())), []);
    let released = owner.handle(OwnerInput::OwnershipConfirmed(at));
    assert!(matches!(replies(&released)[..], [Reply::Refused(_)]));
    submit.may_be_older = false;
    let immediate = owner.submit(submit);
    assert!(matches!(replies(&immediate)[..], [Reply::Refused(_)]));
}
