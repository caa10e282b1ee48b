//! Crashes of endpoints under the tasks that run there: a task that crashes each
//! endpoint that starts it must not crash one after another.

use {
    chestnutrun_decisions::{
        guard::{
            Announcement, Answer, GuardAction, GuardConf, GuardInput, GuardMachine, GuardMessage,
            ListOrder, ListReply, ListedEnd, OrderFault, RunEnd, StartOrder,
        },
        placement::{DispatchAction, DispatchInput, Dispatcher, JobOutcome, Submission},
    },
    chestnutrun_types::{
        AgentId, AgentUpdate, AssignedTask, Assignment, BestEffortJob, DecisionEvent, EndKind,
        EndpointCrash, EndpointInfo, Now, Resources, Resync, Route, StepSpec, TaskEnd, TaskId,
        TaskPosition,
    },
    indexmap::IndexMap,
    rstest::rstest,
    std::{
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant, SystemTime},
    },
};

const CLOCK: Duration = Duration::from_secs(1);

/// Time until which a crash has to be known: the lease of the runs and two ticks.
const KNOWN_WITHIN_MS: u64 = 1_500;

/// Length of the lease on a clock that is 2% slow, and an interval of two ticks.
const LEASE_MS: u64 = 663 + 100;

fn room(tasks: u32) -> Resources {
    Resources {
        cpu_millis: tasks * 1_000,
        memory_mb: tasks,
        accelerators: 0,
    }
}

fn announcement(incarnation: u64, sequence: u64, leaving: bool) -> GuardInput {
    announcement_of("endpoint", incarnation, sequence, leaving)
}

fn endpoint_info(endpoint: &str, incarnation: u64) -> EndpointInfo {
    EndpointInfo {
        endpoint: endpoint.into(),
        incarnation,
        service: "service".into(),
        zone: "zone".into(),
        labels: Vec::new(),
        total: room(8),
    }
}

fn announcement_of(endpoint: &str, incarnation: u64, sequence: u64, leaving: bool) -> GuardInput {
    GuardInput::Announced(Announcement {
        info: endpoint_info(endpoint, incarnation),
        clock: CLOCK,
        sequence,
        leaving,
    })
}

fn assignment(id: u64, job: &str, tasks: u16) -> Assignment {
    let task = |index| AssignedTask {
        at: TaskPosition { step: 0, index },
        need: room(1),
        expected: Duration::from_millis(100),
    };
    Assignment {
        priority: 0,
        id,
        job: job.into(),
        payload: "payload".into(),
        after_run: 0,
        start_within: Duration::from_millis(100),
        alone: false,
        tasks: (0..tasks).map(task).collect(),
    }
}

/// An agent with a clean endpoint and one entry.
struct Agent {
    begin: Instant,
    guard: GuardMachine,
    lists: Vec<ListOrder>,
}

impl Agent {
    fn new() -> Self {
        Self::of("endpoint")
    }

    fn of(endpoint: &str) -> Self {
        let mut agent = Self {
            begin: Instant::now(),
            guard: GuardMachine::new(GuardConf { first_number: 1 }),
            lists: Vec::new(),
        };
        agent.handle(0, announcement_of(endpoint, 1, 1, false));
        agent.answer_lists(0, &Answer::Done(CLOCK, ListReply::default()));
        agent
    }

    fn handle(&mut self, millis: u64, input: GuardInput) -> Vec<GuardAction> {
        let now = Now {
            instant: self.begin + Duration::from_millis(millis),
            wall: SystemTime::UNIX_EPOCH,
        };
        let proven = GuardInput::Proven("entry".into(), now.instant);
        let mut actions = self.guard.handle(now, proven);
        actions.extend(self.guard.handle(now, input));
        self.lists
            .extend(actions.iter().filter_map(|action| match action {
                GuardAction::List(order) => Some(order.clone()),
                _ => None,
            }));
        actions
    }

    fn answer_lists(&mut self, millis: u64, answer: &Answer<ListReply>) -> Vec<GuardAction> {
        let mut actions = Vec::new();
        for order in std::mem::take(&mut self.lists) {
            let listed = GuardInput::Listed(order.incarnation, order, answer.clone());
            actions.extend(self.handle(millis, listed));
        }
        actions
    }

    fn link(&mut self, millis: u64, incarnation: u64) -> Vec<GuardAction> {
        let up = GuardInput::LinkUp("entry".into(), incarnation, "zone".into());
        self.handle(millis, up)
    }

    /// Assigns tasks, and has the endpoint start them.
    fn start(&mut self, millis: u64, assignment: Assignment) {
        let input = GuardInput::Assign("entry".into(), assignment);
        for action in self.handle(millis, input) {
            if let GuardAction::Start(order) = action {
                let done = Answer::Done(CLOCK, ());
                self.handle(
                    millis,
                    GuardInput::Started(order.incarnation, order.run, done),
                );
            }
        }
    }

    /// Lets time pass until no run is left, while every list is answered this way.
    fn lapse(&mut self, from: u64, answer: &Answer<ListReply>) -> Vec<GuardAction> {
        let mut actions = Vec::new();
        for millis in (from..from + KNOWN_WITHIN_MS).step_by(10) {
            actions.extend(self.answer_lists(millis, answer));
            actions.extend(self.handle(millis, GuardInput::Tick));
        }
        assert!(self.guard.is_idle(), "runs are left after the lease");
        actions
    }
}

/// Returns how many tasks were at the endpoint at each recorded crash.
fn crashes(actions: &[GuardAction]) -> Vec<usize> {
    let crashes = actions.iter().filter_map(|action| match action {
        GuardAction::Record(DecisionEvent::EndpointCrashed { at_work, .. }) => Some(at_work.len()),
        _ => None,
    });
    crashes.collect()
}

const REFUSED: Answer<ListReply> = Answer::Refused(None, OrderFault::Unreachable);

#[rstest]
#[case::process_ended(REFUSED, vec![2])]
#[case::only_silent(Answer::Unknown, vec![])]
#[case::only_unhealthy(Answer::Refused(None, OrderFault::Unhealthy), vec![])]
fn a_lost_lease_is_taken_for_a_crash(
    #[case] answer: Answer<ListReply>,
    #[case] expected: Vec<usize>,
) {
    let mut agent = Agent::new();
    agent.link(0, 1);
    agent.start(1, assignment(1, "00000000000000a1", 2));
    assert_eq!(crashes(&agent.lapse(10, &answer)), expected);
}

#[rstest]
#[case::crashed(false, vec![2])]
#[case::left(true, vec![])]
fn a_planned_end_is_taken_for_a_crash(#[case] is_planned: bool, #[case] expected: Vec<usize>) {
    let mut agent = Agent::new();
    agent.link(0, 1);
    agent.start(1, assignment(1, "00000000000000a1", 2));
    agent.handle(2, announcement(1, 2, is_planned));
    let actions = agent.handle(10, announcement(2, 1, false));
    assert_eq!(crashes(&actions), expected);
}

#[rstest]
fn a_crash_behind_silence_is_not_recorded() {
    let mut agent = Agent::new();
    agent.link(0, 1);
    agent.start(1, assignment(1, "00000000000000a1", 2));
    assert_eq!(crashes(&agent.lapse(10, &Answer::Unknown)), []);
    let actions = agent.handle(2_000, announcement(2, 1, false));
    assert_eq!(crashes(&actions), [2]);
}

#[rstest]
fn runs_that_a_crash_ended_count_again_at_the_next_one() {
    let mut agent = Agent::new();
    agent.link(0, 1);
    agent.start(1, assignment(1, "00000000000000a1", 2));
    let first = agent.handle(10, announcement(2, 1, false));
    let second = agent.handle(20, announcement(3, 1, false));
    assert_eq!((crashes(&first), crashes(&second)), (vec![2], vec![]));
}

/// Agents that are linked to one entry. Each endpoint that starts a deadly job crashes
/// and does not come back; the others lose their runs, or complete them if `completes`.
struct Site {
    dispatcher: Dispatcher,
    entry_run: u64,
    agents: Vec<(AgentId, Agent)>,
    down: Vec<AgentId>,
    deadly: Vec<Arc<str>>,
    starts: Vec<Arc<str>>,
    completes: bool,
    ends: IndexMap<AgentId, Vec<ListedEnd>>,
    answers: Vec<(Arc<str>, JobOutcome)>,
}

const DEADLINE_MS: u64 = 20_000;

impl Site {
    fn new(endpoints: usize) -> Self {
        let agent = |number| {
            let name = format!("endpoint-{number}");
            (name.as_str().into(), Agent::of(&name))
        };
        let mut site = Self {
            dispatcher: Dispatcher::new("zone".into()),
            entry_run: 0,
            agents: (0..endpoints).map(agent).collect(),
            down: Vec::new(),
            deadly: Vec::new(),
            starts: Vec::new(),
            completes: false,
            ends: IndexMap::new(),
            answers: Vec::new(),
        };
        site.restart_entry(0);
        site
    }

    /// Replaces the entry by one that knows nothing.
    fn restart_entry(&mut self, millis: u64) {
        self.dispatcher = Dispatcher::new("zone".into());
        self.entry_run += 1;
        for number in 0..self.agents.len() {
            let actions = self.agents[number].1.link(millis, self.entry_run);
            self.agent_actions(millis, number, actions);
        }
    }

    fn submit(&mut self, millis: u64, job: &str, tasks: u16) {
        self.submit_with_need(millis, job, tasks, room(1));
    }

    fn submit_with_need(&mut self, millis: u64, job: &str, tasks: u16, need: Resources) {
        let step = StepSpec {
            tasks,
            need,
            estimate: Duration::from_millis(100),
            after: Vec::new(),
            requires: None,
            rack: None,
            most_per_endpoint: None,
        };
        let submission = Submission {
            caller: millis,
            route: Arc::new(Route {
                id: "route".into(),
                host: "host".into(),
                path_prefix: "/path/".into(),
                service: "service".into(),
                priority: 0,
                attempts: 3,
                stretch: 100.0,
                target_latency: Duration::from_secs(10),
                needs_advice: false,
            }),
            job: Rc::new(BestEffortJob {
                id: job.into(),
                payload: "payload".into(),
                steps: vec![step],
            }),
            deadline: self.agents[0].1.begin + Duration::from_millis(millis + DEADLINE_MS),
        };
        self.entry(millis, DispatchInput::Submit(submission));
    }

    fn dispatch(&mut self, millis: u64, input: DispatchInput) -> Vec<DispatchAction> {
        let now = Now {
            instant: self.agents[0].1.begin + Duration::from_millis(millis),
            wall: SystemTime::UNIX_EPOCH,
        };
        self.dispatcher.handle(now, input)
    }

    fn entry(&mut self, millis: u64, input: DispatchInput) {
        for action in self.dispatch(millis, input) {
            match action {
                DispatchAction::Answer(_, job, outcome) => self.answers.push((job, outcome)),
                DispatchAction::Assign(agent, assignment) => {
                    self.agent(
                        millis,
                        &agent,
                        GuardInput::Assign("entry".into(), assignment),
                    );
                }
                DispatchAction::Revoke(agent, revocation) => {
                    self.agent(
                        millis,
                        &agent,
                        GuardInput::Revoke("entry".into(), revocation),
                    );
                }
                DispatchAction::Record(_) => {}
            }
        }
    }

    fn agent(&mut self, millis: u64, agent: &AgentId, input: GuardInput) {
        let number = self.agents.iter().position(|(name, _)| name == agent);
        let number = number.expect("the agent exists");
        let actions = self.agents[number].1.handle(millis, input);
        self.agent_actions(millis, number, actions);
    }

    fn agent_actions(&mut self, millis: u64, number: usize, actions: Vec<GuardAction>) {
        let name = self.agents[number].0.clone();
        for action in actions {
            match action {
                GuardAction::Send(_, GuardMessage::Resync(resync)) => {
                    let up = DispatchInput::AgentUp(name.clone(), 1, resync);
                    self.entry(millis, up);
                }
                GuardAction::Send(_, GuardMessage::Endpoint(info)) => {
                    self.entry(millis, DispatchInput::EndpointChanged(name.clone(), info));
                }
                GuardAction::Send(_, GuardMessage::Update(update)) => {
                    self.entry(millis, DispatchInput::Update(name.clone(), update));
                }
                GuardAction::Start(order) => {
                    self.starts.push(order.task.job.clone());
                    if self.deadly.contains(&order.task.job) {
                        self.down.push(name.clone());
                    }
                    let answer = if self.down.contains(&name) {
                        Answer::Unknown
                    } else {
                        if self.completes {
                            self.complete(&name, &order);
                        }
                        Answer::Done(CLOCK, ())
                    };
                    let started = GuardInput::Started(order.incarnation, order.run, answer);
                    self.agent(millis, &name, started);
                }
                _ => {}
            }
        }
    }

    fn complete(&mut self, endpoint: &AgentId, order: &StartOrder) {
        let ends = self.ends.entry(endpoint.clone()).or_default();
        ends.push(ListedEnd {
            number: ends.len() as u64 + 1,
            task: order.task.clone(),
            run: order.run,
            how: RunEnd::Done,
        });
    }

    /// Lets time pass.
    fn run(&mut self, from: u64, to: u64) {
        for millis in (from..to).step_by(10) {
            for number in 0..self.agents.len() {
                let (name, agent) = &mut self.agents[number];
                let answer = if self.down.contains(name) {
                    REFUSED
                } else {
                    let reply = ListReply {
                        running: Vec::new(),
                        ended: self.ends.get(name).cloned().unwrap_or_default(),
                    };
                    Answer::Done(CLOCK + Duration::from_millis(millis), reply)
                };
                let mut actions = agent.answer_lists(millis, &answer);
                actions.extend(agent.handle(millis, GuardInput::Tick));
                self.agent_actions(millis, number, actions);
            }
            self.entry(millis, DispatchInput::Tick);
        }
    }
}

const DEADLY: &str = "00000000000000d1";

#[rstest]
fn a_deadly_task_crashes_one_endpoint_after_another() {
    let mut site = Site::new(6);
    site.deadly.push(DEADLY.into());
    site.submit(20, DEADLY, 1);
    site.run(20, 10_000);
    assert_eq!(site.down.len(), 2, "endpoints that crashed");
    assert_eq!(site.answers, [(DEADLY.into(), JobOutcome::Failed)]);
}

#[rstest]
fn a_restarted_entry_has_a_deadly_task_started_anew() {
    let mut site = Site::new(6);
    site.deadly.push(DEADLY.into());
    site.submit(20, DEADLY, 1);
    site.run(20, 4_000);
    site.restart_entry(4_000);
    site.submit(4_010, DEADLY, 1);
    site.run(4_010, 10_000);
    assert_eq!(site.down.len(), 2, "endpoints that crashed");
    let failed = (DEADLY.into(), JobOutcome::Failed);
    assert_eq!(site.answers, [failed.clone(), failed]);
}

#[rstest]
fn a_lease_is_renewed_at_an_endpoint_that_refuses_connections() {
    let mut agent = Agent::new();
    agent.link(0, 1);
    agent.start(1, assignment(1, "00000000000000a1", 2));
    let mut crash_known_at = None;
    for millis in (10..KNOWN_WITHIN_MS).step_by(10) {
        let mut actions = agent.answer_lists(millis, &REFUSED);
        actions.extend(agent.handle(millis, GuardInput::Tick));
        if crash_known_at.is_none() && !crashes(&actions).is_empty() {
            crash_known_at = Some(millis);
        }
    }
    let known_at = crash_known_at.expect("the crash is known");
    assert!(
        known_at <= LEASE_MS,
        "the crash is known after {known_at} ms"
    );
}

#[rstest]
fn a_sound_job_is_given_up_after_it_stood_beside_two_deadly_ones() {
    const SOUND: &str = "00000000000000a1";
    let mut site = Site::new(5);
    let deadly = ["00000000000000d1", "00000000000000d2", "00000000000000d3"];
    site.deadly = deadly.iter().map(|job| (*job).into()).collect();
    site.submit(20, SOUND, 8);
    for (number, job) in (0..).zip(deadly) {
        let at = 100 + 1_000 * number;
        site.submit(at, job, 1);
        site.run(at, at + 1_000);
    }
    site.completes = true;
    site.run(3_100, 6_000);
    let sound = site.answers.iter().find(|(job, _)| **job == *SOUND);
    assert_eq!(sound, Some(&(SOUND.into(), JobOutcome::Completed)));
}

fn crash(endpoint: &str, jobs: &[&str]) -> EndpointCrash {
    let task = |job: &&str| TaskId {
        job: (*job).into(),
        at: TaskPosition { step: 0, index: 0 },
    };
    EndpointCrash {
        endpoint: endpoint.into(),
        incarnation: 1,
        tasks: jobs.iter().map(task).collect(),
    }
}

const SUSPECT: &str = "00000000000000a1";
const SUSPECT_OF_OTHERS: &str = "00000000000000d1";
const BESIDE: [&str; 2] = [SUSPECT, SUSPECT_OF_OTHERS];

/// A crash is reported late where an endpoint was cut off, so that the task runs beside
/// others once more.
#[rstest]
#[case::beside_others(&[crash("x", &BESIDE), crash("y", &BESIDE)], None)]
#[case::once_by_itself(&[crash("x", &BESIDE), crash("y", &[SUSPECT])], Some(JobOutcome::Failed))]
#[case::three_times(
    &[crash("x", &BESIDE), crash("y", &BESIDE), crash("z", &BESIDE)],
    Some(JobOutcome::Failed)
)]
#[case::reported_twice(&[crash("x", &[SUSPECT]), crash("x", &[SUSPECT])], None)]
#[case::in_two_runs_at_once(&[crash("x", &[SUSPECT, SUSPECT])], None)]
#[case::of_one_incarnation(
    &[crash("x", &["00000000000000d1"]), crash("x", &[SUSPECT]), crash("y", &BESIDE)],
    Some(JobOutcome::Failed)
)]
fn a_job_fails_without_proof_or_is_kept_with_proof(
    #[case] crashes: &[EndpointCrash],
    #[case] expected: Option<JobOutcome>,
) {
    let mut site = Site::new(1);
    site.submit(20, SUSPECT, 1);
    for crash in crashes {
        let update = AgentUpdate {
            crashes: vec![crash.clone()],
            ..AgentUpdate::default()
        };
        site.entry(30, DispatchInput::Update("endpoint-0".into(), update));
    }
    let outcomes: Vec<JobOutcome> = site.answers.iter().map(|(_, outcome)| *outcome).collect();
    assert_eq!(outcomes, Vec::from_iter(expected));
}

#[rstest]
fn an_old_crash_is_reported_to_a_new_entry() {
    let mut agent = Agent::new();
    agent.link(0, 1);
    agent.start(1, assignment(1, SUSPECT, 2));
    agent.handle(10, announcement(2, 1, false));
    let reported = |actions: Vec<GuardAction>| {
        let reports = actions.iter().filter_map(|action| match action {
            GuardAction::Send(_, GuardMessage::Resync(resync)) => Some(resync.crashes.len()),
            _ => None,
        });
        reports.sum::<usize>()
    };
    assert_eq!(reported(agent.link(1_000, 2)), 1);
    assert_eq!(reported(agent.link(60_000, 3)), 0);
}

#[rstest]
fn starts_at_an_endpoint_that_refuses_connections_renew_its_lease() {
    let mut agent = Agent::new();
    agent.link(0, 1);
    agent.start(1, assignment(1, SUSPECT, 2));
    let mut crash_known_at = None;
    for millis in (10..KNOWN_WITHIN_MS).step_by(10) {
        let mut actions = agent.answer_lists(millis, &REFUSED);
        let next = assignment(millis, &format!("{millis:016x}"), 1);
        for action in agent.handle(millis, GuardInput::Assign("entry".into(), next)) {
            if let GuardAction::Start(order) = action {
                let refused = Answer::Refused(None, OrderFault::Unreachable);
                let started = GuardInput::Started(order.incarnation, order.run, refused);
                actions.extend(agent.handle(millis, started));
            }
        }
        actions.extend(agent.handle(millis, GuardInput::Tick));
        if !crashes(&actions).is_empty() {
            crash_known_at = crash_known_at.or(Some(millis));
        }
    }
    let known_at = crash_known_at.expect("the crash is known");
    assert!(
        known_at <= LEASE_MS,
        "the crash is known after {known_at} ms"
    );
}

/// Returns the jobs of the runs that an agent starts.
fn started(actions: &[GuardAction]) -> Vec<&str> {
    let starts = actions.iter().filter_map(|action| match action {
        GuardAction::Start(order) => Some(&*order.task.job),
        _ => None,
    });
    starts.collect()
}

#[rstest]
fn a_task_that_may_crash_the_endpoint_starts_beside_others() {
    let mut agent = Agent::new();
    agent.link(0, 1);
    agent.start(1, assignment(1, "00000000000000a1", 1));
    let suspect = Assignment {
        alone: true,
        ..assignment(2, "00000000000000d1", 2)
    };
    let other = assignment(3, "00000000000000a3", 1);
    let assign = |assignment| GuardInput::Assign("entry".into(), assignment);
    let actions = agent.handle(2, assign(suspect));
    assert_eq!(started(&actions), [""; 0], "beside a run of another job");
    let actions = agent.handle(3, assign(other));
    assert_eq!(started(&actions), [""; 0], "before the suspect that waits");
    // The lists were requested after the progress of the run, which has ended.
    let mut actions = Vec::new();
    for millis in [60, 62] {
        agent.handle(millis, GuardInput::Tick);
        actions.extend(agent.answer_lists(millis, &Answer::Done(CLOCK, ListReply::default())));
    }
    assert_eq!(started(&actions), ["00000000000000d1"; 2]);
}

#[rstest]
fn an_urgent_task_waits_behind_one_that_may_crash_the_endpoint() {
    let mut agent = Agent::new();
    agent.link(0, 1);
    agent.start(1, assignment(1, "00000000000000a1", 1));
    let suspect = Assignment {
        alone: true,
        priority: 1,
        ..assignment(2, "00000000000000d1", 2)
    };
    let urgent = assignment(3, "00000000000000a3", 1);
    agent.handle(2, GuardInput::Assign("entry".into(), suspect));
    let actions = agent.handle(3, GuardInput::Assign("entry".into(), urgent));
    assert_eq!(started(&actions), ["00000000000000a3"]);
}

#[rstest]
fn room_is_assigned_twice_after_a_job_that_got_a_whole_endpoint() {
    let mut site = Site::new(1);
    let jobs = ["00000000000000a1", SUSPECT_OF_OTHERS, "00000000000000a3"];
    for (at, job) in (20..).zip(jobs) {
        site.submit_with_need(at, job, 1, room(2));
    }
    assert_eq!(site.starts.len(), 3);
    for name in ["endpoint-x", "endpoint-y"] {
        let info = EndpointInfo {
            total: room(3),
            ..endpoint_info(name, 1)
        };
        let resync = Resync {
            info: Some(info),
            ..Resync::default()
        };
        let free = AgentUpdate {
            free: room(3),
            most_tasks: u16::MAX,
            slowness: 1.0,
            ..AgentUpdate::default()
        };
        site.dispatch(30, DispatchInput::AgentUp(name.into(), 1, resync));
        site.dispatch(30, DispatchInput::Update(name.into(), free));
    }
    let not_started = |assignment| TaskEnd {
        assignment,
        at: TaskPosition { step: 0, index: 0 },
        kind: EndKind::NotStarted,
        run: 0,
        ran: Duration::ZERO,
    };
    let returned = AgentUpdate {
        ends: (1..=3).map(not_started).collect(),
        crashes: vec![crash("w", &[SUSPECT_OF_OTHERS])],
        ..AgentUpdate::default()
    };
    let actions = site.dispatch(40, DispatchInput::Update("endpoint-0".into(), returned));
    let assigned = actions.iter().filter_map(|action| match action {
        DispatchAction::Assign(_, assignment) => Some(&*assignment.job),
        _ => None,
    });
    let expected = ["00000000000000a1", SUSPECT_OF_OTHERS];
    assert_eq!(assigned.collect::<Vec<_>>(), expected);
}
