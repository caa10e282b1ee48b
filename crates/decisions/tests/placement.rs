//! The order in which an entry places the tasks of waiting jobs.

use {
    chestnutrun_decisions::placement::{
        DispatchAction, DispatchInput, Dispatcher, JobOutcome, RefusalReason, Submission,
    },
    chestnutrun_types::{
        AgentUpdate, Assignment, BestEffortJob, EndKind, EndpointInfo, Now, Reserve, Resources,
        Resync, Route, StepSpec, TaskEnd,
    },
    rstest::{fixture, rstest},
    std::{
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant, SystemTime},
    },
};

const AGENT: &str = "agent";

/// CPU demand of each task, in thousandths of a core; the endpoint has room for
/// ten tasks.
const TASK_CPU: u32 = 1_000;

/// Expected run time of each task; with it, a job has to start within some 70 ms
/// to meet its target.
const ESTIMATE: Duration = Duration::from_millis(50);

/// Time after submission at which a job has missed its target while its caller still
/// waits.
const LATE: Duration = Duration::from_millis(150);

/// How long each caller waits for its answer.
const CALLER_WAITS: Duration = Duration::from_secs(6);

/// Time between two ticks of an entry.
const TICK: Duration = Duration::from_millis(50);

/// Time after which an entry knows all endpoints.
const SETTLED: Duration = Duration::from_secs(4);

/// Time without a message after which a process takes its peer for lost.
const LINK_SILENCE_LIMIT: Duration = Duration::from_millis(600);

/// A dispatcher with one linked agent.
struct Entry {
    begin: Instant,
    dispatcher: Dispatcher,
}

#[fixture]
fn entry() -> Entry {
    let mut entry = Entry {
        begin: Instant::now(),
        dispatcher: Dispatcher::new("zone".into()),
    };
    let up = DispatchInput::AgentUp(AGENT.into(), 1, resync(info()));
    entry.handle_after(Duration::ZERO, up);
    entry
}

impl Entry {
    fn handle_after(&mut self, after: Duration, input: DispatchInput) -> Vec<DispatchAction> {
        let now = Now {
            instant: self.begin + after,
            wall: SystemTime::UNIX_EPOCH + after,
        };
        self.dispatcher.handle(now, input)
    }

    /// Lets time pass; returns the actions of all ticks.
    fn tick_between(&mut self, from: Duration, until: Duration) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        let mut at = from;
        while at <= until {
            actions.extend(self.handle_after(at, DispatchInput::Tick));
            at += TICK;
        }
        actions
    }

    /// Submits a job of one step; the caller's number is the job's id.
    fn submit(&mut self, after: Duration, caller: u64, tasks: u16) -> Vec<DispatchAction> {
        self.submit_on(after, caller, tasks, route())
    }

    fn submit_on(
        &mut self,
        after: Duration,
        caller: u64,
        tasks: u16,
        route: Route,
    ) -> Vec<DispatchAction> {
        self.submit_steps(after, caller, vec![step(tasks)], route)
    }

    fn submit_steps(
        &mut self,
        after: Duration,
        caller: u64,
        steps: Vec<StepSpec>,
        route: Route,
    ) -> Vec<DispatchAction> {
        self.submit_job(after, CALLER_WAITS, caller, steps, route)
    }

    /// Submits a job of one task whose caller waits until then.
    fn submit_until(&mut self, after: Duration, caller: u64, until: Duration) {
        self.submit_job(after, until, caller, vec![step(1)], route());
    }

    fn submit_job(
        &mut self,
        after: Duration,
        until: Duration,
        caller: u64,
        steps: Vec<StepSpec>,
        route: Route,
    ) -> Vec<DispatchAction> {
        let job = BestEffortJob {
            id: id(caller),
            payload: "payload".into(),
            steps,
        };
        let submission = Submission {
            caller,
            route: Arc::new(route),
            job: Rc::new(job),
            deadline: self.begin + until,
        };
        self.handle_after(after, DispatchInput::Submit(submission))
    }

    /// Reports room for `free` tasks at the endpoint, and the tasks that ended.
    fn update(&mut self, after: Duration, free: u32, ends: Vec<TaskEnd>) -> Vec<DispatchAction> {
        let update = AgentUpdate {
            reserve: Reserve::default(),
            free: room(free),
            most_tasks: u16::MAX,
            slowness: 1.0,
            last_assignment: u64::MAX,
            ends,
            crashes: Vec::new(),
            ..AgentUpdate::default()
        };
        self.handle_after(after, DispatchInput::Update(AGENT.into(), update))
    }
}

fn info() -> EndpointInfo {
    EndpointInfo {
        endpoint: "endpoint".into(),
        incarnation: 1,
        service: "service".into(),
        zone: "zone".into(),
        labels: Vec::new(),
        total: room(10),
    }
}

fn resync(info: EndpointInfo) -> Resync {
    Resync {
        info: Some(info),
        ..Resync::default()
    }
}

/// A step of one task that only endpoints with a label can hold.
fn step_on(label: &str) -> StepSpec {
    StepSpec {
        requires: Some(label.into()),
        ..step(1)
    }
}

fn step(tasks: u16) -> StepSpec {
    StepSpec {
        tasks,
        need: room(1),
        estimate: ESTIMATE,
        after: Vec::new(),
        requires: None,
        rack: None,
        most_per_endpoint: None,
    }
}

fn room(tasks: u32) -> Resources {
    Resources {
        cpu_millis: tasks * TASK_CPU,
        memory_mb: tasks * 10,
        accelerators: 0,
    }
}

fn route() -> Route {
    Route {
        id: "route".into(),
        host: "host".into(),
        path_prefix: "/path/".into(),
        service: "service".into(),
        priority: 0,
        attempts: 3,
        stretch: 1.6,
        target_latency: Duration::from_millis(60),
        timeout: None,
        needs_advice: false,
    }
}

fn less_urgent() -> Route {
    Route {
        priority: 2,
        ..route()
    }
}

fn id(caller: u64) -> Arc<str> {
    format!("{caller:016x}").into()
}

fn assignments(actions: Vec<DispatchAction>) -> Vec<Assignment> {
    let assigned = actions.into_iter().filter_map(|action| match action {
        DispatchAction::Assign(_, assignment) => Some(assignment),
        _ => None,
    });
    assigned.collect()
}

/// Returns the outcome of each caller that is answered.
fn answers(actions: &[DispatchAction]) -> Vec<(u64, JobOutcome)> {
    let answers = actions.iter().filter_map(|action| match action {
        DispatchAction::Answer(caller, _, outcome) => Some((*caller, *outcome)),
        _ => None,
    });
    answers.collect()
}

fn is_refused(actions: &[DispatchAction], reason: RefusalReason) -> bool {
    matches!(answers(actions)[..], [(1, JobOutcome::Refused(why, _))] if why == reason)
}

/// Reports the tasks of an assignment as done, the last `undone` as not started.
fn ends(assignment: &Assignment, undone: usize) -> Vec<TaskEnd> {
    let done = assignment.tasks.len() - undone;
    let end = |(number, task): (usize, &chestnutrun_types::AssignedTask)| TaskEnd {
        assignment: assignment.id,
        at: task.at,
        run: 1,
        kind: if number < done {
            EndKind::Done
        } else {
            EndKind::NotStarted
        },
        ran: ESTIMATE,
    };
    assignment.tasks.iter().enumerate().map(end).collect()
}

/// The rest of a begun job that had missed its target went last unless little of it was
/// left, and its work was thrown away at the deadline.
#[rstest]
#[case::nearly_done(1)]
#[case::hardly_begun(4)]
fn the_rest_of_a_begun_job_goes_last(mut entry: Entry, #[case] undone: usize) {
    entry.update(Duration::ZERO, 10, Vec::new());
    let begun = assignments(entry.submit(Duration::ZERO, 1, 5)).remove(0);
    assert_eq!(begun.tasks.len(), 5);
    entry.update(LATE, 0, ends(&begun, undone));
    assert_eq!(
        assignments(entry.submit(LATE, 2, 1)),
        [],
        "tasks were assigned to a full endpoint"
    );
    let placed = assignments(entry.update(LATE, 1, Vec::new()));
    let jobs: Vec<_> = placed.iter().map(|assigned| assigned.job.clone()).collect();
    assert_eq!(jobs, [id(1)]);
}

/// Room that an agent keeps for urgent tasks was closed to the rest of a begun job, which
/// held room for nothing until its deadline.
#[rstest]
fn kept_room_is_closed_to_the_rest_of_a_begun_job(mut entry: Entry) {
    entry.update(Duration::ZERO, 10, Vec::new());
    let begun = assignments(entry.submit_on(Duration::ZERO, 1, 5, less_urgent())).remove(0);
    let update = AgentUpdate {
        reserve: Reserve {
            room: room(1),
            from_priority: 1,
        },
        free: room(1),
        most_tasks: u16::MAX,
        slowness: 1.0,
        last_assignment: u64::MAX,
        ends: ends(&begun, 1),
        crashes: Vec::new(),
        ..AgentUpdate::default()
    };
    let placed = assignments(entry.handle_after(LATE, DispatchInput::Update(AGENT.into(), update)));
    let jobs: Vec<_> = placed.iter().map(|assigned| assigned.job.clone()).collect();
    assert_eq!(jobs, [id(1)]);
}

/// A job of the most urgent priority waited for those of others that had come some 50 ms
/// before it.
#[rstest]
#[case::within_the_target(Duration::from_millis(60))]
#[case::after_the_target(LATE)]
fn a_less_urgent_job_goes_first(mut entry: Entry, #[case] after: Duration) {
    entry.submit_on(Duration::ZERO, 1, 1, less_urgent());
    entry.submit(after, 2, 1);
    let placed = assignments(entry.update(after, 1, Vec::new()));
    let jobs: Vec<_> = placed.iter().map(|assigned| assigned.job.clone()).collect();
    assert_eq!(jobs, [id(2)]);
}

/// Of two jobs that have missed their target, the one whose caller waits less long goes
/// first.
#[rstest]
fn the_caller_with_the_least_time_left_goes_first(mut entry: Entry) {
    entry.submit(Duration::ZERO, 1, 1);
    entry.submit_until(Duration::ZERO, 2, CALLER_WAITS / 2);
    let placed = assignments(entry.update(LATE, 1, Vec::new()));
    let jobs: Vec<_> = placed.iter().map(|assigned| assigned.job.clone()).collect();
    assert_eq!(jobs, [id(2)]);
}

/// Neither the rest of a begun job nor a new one may hold room once it cannot end before
/// its caller's deadline.
#[rstest]
fn a_job_that_cannot_end_before_its_deadline_takes_no_room(mut entry: Entry) {
    entry.update(Duration::ZERO, 10, Vec::new());
    let begun = assignments(entry.submit(Duration::ZERO, 1, 5)).remove(0);
    let too_late = CALLER_WAITS.saturating_sub(ESTIMATE / 10);
    entry.update(too_late, 0, ends(&begun, 1));
    entry.submit_until(too_late, 2, too_late + CALLER_WAITS);
    entry.handle_after(too_late, DispatchInput::Tick);
    let placed = assignments(entry.update(too_late, 1, Vec::new()));
    let jobs: Vec<_> = placed.iter().map(|assigned| assigned.job.clone()).collect();
    assert_eq!(jobs, [id(2)]);
}

#[rstest]
fn a_job_completes_with_its_last_task(mut entry: Entry) {
    entry.update(Duration::ZERO, 10, Vec::new());
    let begun = assignments(entry.submit(Duration::ZERO, 1, 3)).remove(0);
    let actions = entry.update(ESTIMATE, 10, ends(&begun, 0));
    let answer = DispatchAction::Answer(1, id(1), JobOutcome::Completed);
    assert!(actions.contains(&answer), "{actions:?}");
}

/// The tasks of a step that may share an endpoint with one other were placed anew after a
/// loss, and more of them than that began at an endpoint that had two already.
#[rstest]
fn tasks_that_are_placed_later_exceed_the_limit_of_their_step(mut entry: Entry) {
    let spread = StepSpec {
        most_per_endpoint: Some(2),
        ..step(5)
    };
    entry.update(Duration::ZERO, 10, Vec::new());
    let begun = entry.submit_steps(Duration::ZERO, 1, vec![spread], route());
    let begun = assignments(begun).remove(0);
    assert_eq!(begun.tasks.len(), 2);
    assert_eq!(
        assignments(entry.update(ESTIMATE, 10, Vec::new())),
        [],
        "two tasks of the step are there already"
    );
    let placed = assignments(entry.update(ESTIMATE, 10, ends(&begun, 1)));
    assert_eq!(placed.len(), 1);
    assert_eq!(placed[0].tasks.len(), 2, "none is there any more");
}

/// While a job that could meet its target waited for room, an entry ended one that had
/// missed it though it had begun and its caller still waited.
#[rstest]
fn a_begun_job_is_ended_for_one_that_can_meet_its_target(mut entry: Entry) {
    entry.update(Duration::ZERO, 10, Vec::new());
    let begun = assignments(entry.submit(Duration::ZERO, 1, 5)).remove(0);
    entry.update(LATE, 0, ends(&begun, 4));
    entry.submit(LATE, 2, 1);
    let actions = entry.handle_after(LATE, DispatchInput::Tick);
    assert_eq!(answers(&actions), []);
}

/// A job that found no room was refused after a share of three times its queue's target,
/// however long its caller waited. The caller learns that the job has not run as soon as
/// no start can end in its time.
#[rstest]
fn a_job_is_refused_while_a_start_can_end_before_its_deadline(mut entry: Entry) {
    entry.submit(Duration::ZERO, 1, 1);
    let mut at = Duration::ZERO;
    while at + ESTIMATE * 2 <= CALLER_WAITS {
        let actions = entry.handle_after(at, DispatchInput::Tick);
        assert_eq!(answers(&actions), [], "at {at:?}");
        at += TICK;
    }
    let too_late = CALLER_WAITS.saturating_sub(ESTIMATE);
    let actions = entry.handle_after(too_late, DispatchInput::Tick);
    let answers = answers(&actions);
    assert!(
        matches!(
            answers[..],
            [(1, JobOutcome::Refused(RefusalReason::Overload, _))]
        ),
        "{answers:?}"
    );
}

/// A job that takes longer than its caller waits was started, and its work thrown away
/// when the caller had left.
#[rstest]
fn a_job_is_started_for_a_caller_that_cannot_wait_for_it(mut entry: Entry) {
    entry.update(Duration::ZERO, 10, Vec::new());
    let until = ESTIMATE / 10;
    let actions = entry.submit_job(Duration::ZERO, until, 1, vec![step(1)], route());
    assert!(is_refused(&actions, RefusalReason::NoTime), "{actions:?}");
    assert_eq!(assignments(actions), []);
}

/// A job that no endpoint can ever hold was kept for a quarter of its target, though the
/// entry knew at once that it cannot run.
#[rstest]
fn a_job_that_never_fits_is_kept_before_its_refusal(mut entry: Entry) {
    entry.tick_between(Duration::ZERO, SETTLED);
    let actions = entry.submit_steps(SETTLED, 1, vec![step_on("absent")], route());
    assert!(
        is_refused(&actions, RefusalReason::NeverFits),
        "{actions:?}"
    );
}

/// An entry that has just started, or lost an agent, does not know yet which endpoints
/// there are: a job that only an absent one can hold is kept for it.
#[rstest]
fn a_job_is_refused_before_its_endpoint_returns(mut entry: Entry) {
    let special = EndpointInfo {
        labels: vec!["special".into()],
        ..info()
    };
    let up = DispatchInput::AgentUp("other".into(), 1, resync(special));
    entry.handle_after(Duration::ZERO, up);
    entry.tick_between(Duration::ZERO, SETTLED);
    entry.handle_after(SETTLED, DispatchInput::AgentDown("other".into()));
    let actions = entry.submit_job(
        SETTLED,
        SETTLED + CALLER_WAITS,
        1,
        vec![step_on("special")],
        route(),
    );
    assert_eq!(answers(&actions), []);
    let forgotten = SETTLED + Duration::from_secs(2);
    let actions = entry.tick_between(SETTLED, forgotten);
    assert_eq!(answers(&actions), []);
    let actions = entry.tick_between(forgotten, forgotten + Duration::from_secs(3));
    assert!(
        is_refused(&actions, RefusalReason::NeverFits),
        "{actions:?}"
    );
}

/// A job that was submitted again waits for as long as the last of its callers, as if that
/// submission had been the first.
#[rstest]
fn a_job_is_refused_though_a_later_caller_of_it_still_waits(mut entry: Entry) {
    entry.submit_until(Duration::ZERO, 1, CALLER_WAITS / 2);
    let again = Submission {
        caller: 2,
        route: Arc::new(route()),
        job: Rc::new(BestEffortJob {
            id: id(1),
            payload: "payload".into(),
            steps: vec![step(1)],
        }),
        deadline: entry.begin + CALLER_WAITS,
    };
    entry.handle_after(ESTIMATE, DispatchInput::Submit(again));
    let until = CALLER_WAITS.saturating_sub(ESTIMATE * 3);
    let actions = entry.tick_between(ESTIMATE, until);
    assert_eq!(answers(&actions), [(1, JobOutcome::Expired)]);
    let placed = assignments(entry.update(until, 1, Vec::new()));
    assert_eq!(placed.len(), 1, "the job is held for the caller that waits");
}

/// Jobs that the endpoints cannot get to in time, even if nothing else arrives, were kept
/// until no start could end before their callers' deadline.
#[rstest]
fn a_job_behind_too_much_work_is_kept_before_its_refusal(mut entry: Entry) {
    let until = Duration::from_secs(1);
    for caller in 1..=60 {
        entry.submit_job(Duration::ZERO, until, caller, vec![step(10)], route());
    }
    let actions = entry.handle_after(Duration::ZERO, DispatchInput::Tick);
    let refused: Vec<u64> = answers(&actions)
        .iter()
        .map(|(caller, _)| *caller)
        .collect();
    // Each job takes the whole endpoint for 50 ms, and the last start is 100 ms before the
    // deadline.
    let expected: Vec<u64> = (20..=60).collect();
    assert_eq!(refused, expected);
}

/// Callers refused for overload were told to come back after 1 to 3 s, however much work
/// waited, and found no room again.
#[rstest]
fn refused_callers_come_back_before_the_waiting_work_is_done(mut entry: Entry) {
    let backlog_takes = Duration::from_secs(10);
    for caller in 1..=200 {
        entry.submit_job(
            Duration::ZERO,
            backlog_takes * 10,
            caller,
            vec![step(10)],
            route(),
        );
    }
    for caller in 201..=300 {
        let until = Duration::from_millis(500);
        entry.submit_job(Duration::ZERO, until, caller, vec![step(1)], less_urgent());
    }
    let actions = entry.handle_after(Duration::ZERO, DispatchInput::Tick);
    let retries: Vec<Duration> = answers(&actions)
        .iter()
        .filter_map(|(_, outcome)| match outcome {
            JobOutcome::Refused(RefusalReason::Overload, after) => Some(*after),
            _ => None,
        })
        .collect();
    assert_eq!(retries.len(), 100);
    let (first, last) = (retries.iter().min(), retries.iter().max());
    assert!(last > Some(&(backlog_takes * 8 / 10)), "{last:?}");
    assert!(
        last <= Some(&(backlog_takes + Duration::from_secs(1))),
        "{last:?}"
    );
    assert!(first < Some(&(backlog_takes * 2 / 10)), "{first:?}");
}

/// An agent reports that room is short when the only job that waits finds none. An
/// entry took that for competition, and refused a job that nobody else kept waiting.
#[rstest]
fn a_late_job_that_competes_with_none_is_not_refused(mut entry: Entry) {
    entry.submit(Duration::ZERO, 1, 1);
    let full = AgentUpdate {
        reserve: Reserve {
            room: room(1),
            from_priority: 1,
        },
        most_tasks: u16::MAX,
        slowness: 1.0,
        last_assignment: u64::MAX,
        ..AgentUpdate::default()
    };
    entry.handle_after(LATE, DispatchInput::Update(AGENT.into(), full));
    let actions = entry.handle_after(LATE, DispatchInput::Tick);
    assert_eq!(answers(&actions), []);
}

/// An older process passed on a routing table with numbers that a newer one does not
/// accept from the directory. Every entry that received it stopped at the next job.
#[rstest]
#[case::stretch(1e300, Duration::ZERO)]
#[case::endless_stretch(f64::INFINITY, Duration::ZERO)]
#[case::no_number(f64::NAN, Duration::ZERO)]
#[case::latency(1.0, Duration::MAX)]
fn a_route_with_a_number_too_large_stops_the_entry(
    mut entry: Entry,
    #[case] stretch: f64,
    #[case] target_latency: Duration,
) {
    entry.update(Duration::ZERO, 10, Vec::new());
    let odd = Route {
        stretch,
        target_latency,
        ..route()
    };
    let placed = assignments(entry.submit_on(Duration::ZERO, 1, 1, odd));
    assert_eq!(placed.len(), 1);
    assert_eq!(assignments(entry.submit(ESTIMATE, 2, 1)).len(), 1);
}

/// A job named an earlier step thousands of times. Each look for tasks that are ready
/// compared all of them with all tasks, and other processes took the entry for lost.
#[rstest]
fn a_step_that_waits_for_another_many_times_stalls_the_entry(mut entry: Entry) {
    entry.update(Duration::ZERO, 10, Vec::new());
    let first = step(1);
    let second = StepSpec {
        after: vec![0; 2_000],
        ..step(499)
    };
    let begun = entry.submit_steps(Duration::ZERO, 1, vec![first, second], route());
    let begun = assignments(begun).remove(0);
    let begin = Instant::now();
    let placed = assignments(entry.update(ESTIMATE, 10, ends(&begun, 0)));
    assert!(
        begin.elapsed() < LINK_SILENCE_LIMIT,
        "{:?}",
        begin.elapsed()
    );
    assert_eq!(placed[0].tasks.len(), 10);
}
