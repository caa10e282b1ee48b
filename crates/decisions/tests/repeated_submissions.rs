//! Submissions of a job that the entry already holds, and requests to cancel it.
//!
//! A caller whose connection broke submits its job again, possibly at the entry that
//! still holds the first submission. Each caller must get the job's own outcome.

use {
    chestnutrun_decisions::placement::{
        CallerId, DispatchAction, DispatchInput, Dispatcher, JobOutcome, Submission,
    },
    chestnutrun_types::{
        AgentUpdate, Assignment, BestEffortJob, CancelledJob, EndKind, EndpointInfo, Now, Reserve,
        Resources, Resync, Route, StepSpec, TaskEnd,
    },
    rstest::{fixture, rstest},
    std::{
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant, SystemTime},
    },
};

const AGENT: &str = "agent";
const JOB: &str = "00000000000000a1";

const FIRST: CallerId = 1;
const SECOND: CallerId = 2;

/// How long a caller waits for its answer, in milliseconds.
const CALLER_WAITS: u64 = 2_000;

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
    let info = EndpointInfo {
        endpoint: "endpoint".into(),
        incarnation: 1,
        service: "service".into(),
        zone: "zone".into(),
        labels: Vec::new(),
        total: room(10),
    };
    let resync = Resync {
        info: Some(info),
        ..Resync::default()
    };
    entry.handle(0, DispatchInput::AgentUp(AGENT.into(), 1, resync));
    entry.update(0, Vec::new());
    entry
}

impl Entry {
    fn handle(&mut self, at: u64, input: DispatchInput) -> Vec<DispatchAction> {
        let after = Duration::from_millis(at);
        let now = Now {
            instant: self.begin + after,
            wall: SystemTime::UNIX_EPOCH + after,
        };
        self.dispatcher.handle(now, input)
    }

    fn submit(&mut self, at: u64, caller: CallerId, payload: &str) -> Vec<DispatchAction> {
        let job = BestEffortJob {
            id: JOB.into(),
            payload: payload.into(),
            steps: vec![StepSpec {
                tasks: 1,
                need: room(1),
                estimate: Duration::from_millis(500),
                after: Vec::new(),
                requires: None,
                rack: None,
                most_per_endpoint: None,
            }],
        };
        let submission = Submission {
            caller,
            route: Arc::new(route()),
            job: Rc::new(job),
            deadline: self.begin + Duration::from_millis(at + CALLER_WAITS),
        };
        self.handle(at, DispatchInput::Submit(submission))
    }

    /// Reports that the task of an assignment ended.
    fn end(&mut self, at: u64, assignment: &Assignment, kind: EndKind) -> Vec<DispatchAction> {
        let end = TaskEnd {
            assignment: assignment.id,
            at: assignment.tasks[0].at,
            kind,
            run: 1,
            ran: Duration::from_millis(500),
        };
        self.update(at, vec![end])
    }

    /// Reports free room and ended tasks.
    fn update(&mut self, at: u64, ends: Vec<TaskEnd>) -> Vec<DispatchAction> {
        let update = AgentUpdate {
            reserve: Reserve::default(),
            free: room(10),
            most_tasks: u16::MAX,
            slowness: 1.0,
            last_assignment: u64::MAX,
            ends,
            crashes: Vec::new(),
            ..AgentUpdate::default()
        };
        self.handle(at, DispatchInput::Update(AGENT.into(), update))
    }
}

fn room(tasks: u32) -> Resources {
    Resources {
        cpu_millis: tasks * 1_000,
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

fn answers(actions: &[DispatchAction]) -> Vec<(CallerId, JobOutcome)> {
    let answers = actions.iter().filter_map(|action| match action {
        DispatchAction::Answer(caller, _, outcome) => Some((*caller, *outcome)),
        _ => None,
    });
    answers.collect()
}

fn assignments(actions: &[DispatchAction]) -> Vec<Assignment> {
    let assignments = actions.iter().filter_map(|action| match action {
        DispatchAction::Assign(_, assignment) => Some(assignment.clone()),
        _ => None,
    });
    assignments.collect()
}

fn has_revocation(actions: &[DispatchAction]) -> bool {
    let is_revocation = |action: &DispatchAction| matches!(action, DispatchAction::Revoke(..));
    actions.iter().any(is_revocation)
}

#[rstest]
fn first_caller_is_told_cancelled_when_its_job_is_submitted_again(mut entry: Entry) {
    let placed = assignments(&entry.submit(0, FIRST, "payload"));
    assert_eq!(placed.len(), 1);
    let repeated = entry.submit(100, SECOND, "payload");
    assert_eq!(answers(&repeated), []);
    assert_eq!(assignments(&repeated), [], "the job started again");
    assert!(!has_revocation(&repeated), "the job was stopped");
    let ended = entry.end(500, &placed[0], EndKind::Done);
    let outcomes = [
        (FIRST, JobOutcome::Completed),
        (SECOND, JobOutcome::Completed),
    ];
    assert_eq!(answers(&ended), outcomes);
    assert_eq!(entry.dispatcher.jobs(), 0);
}

#[rstest]
#[case::first(FIRST, SECOND)]
#[case::second(SECOND, FIRST)]
fn job_ends_for_both_callers_when_one_disconnects(
    mut entry: Entry,
    #[case] leaves: CallerId,
    #[case] stays: CallerId,
) {
    let placed = assignments(&entry.submit(0, FIRST, "payload"));
    entry.submit(100, SECOND, "payload");
    let left = entry.handle(200, DispatchInput::CallerDisconnected(leaves));
    assert!(!has_revocation(&left), "the job was stopped");
    let ended = entry.end(500, &placed[0], EndKind::Done);
    assert_eq!(answers(&ended), [(stays, JobOutcome::Completed)]);
}

#[rstest]
fn job_runs_on_when_every_caller_disconnected(mut entry: Entry) {
    entry.submit(0, FIRST, "payload");
    entry.submit(100, SECOND, "payload");
    entry.handle(200, DispatchInput::CallerDisconnected(FIRST));
    let left = entry.handle(300, DispatchInput::CallerDisconnected(SECOND));
    assert!(has_revocation(&left));
    assert_eq!(entry.dispatcher.jobs(), 0);
}

#[rstest]
fn caller_is_held_beyond_its_deadline_by_another_caller_of_its_job(mut entry: Entry) {
    let placed = assignments(&entry.submit(0, FIRST, "payload"));
    entry.submit(1_000, SECOND, "payload");
    let at_first_deadline = entry.handle(CALLER_WAITS, DispatchInput::Tick);
    let outcomes = [(FIRST, JobOutcome::Expired)];
    assert_eq!(answers(&at_first_deadline), outcomes);
    let left = entry.handle(CALLER_WAITS, DispatchInput::CallerDisconnected(FIRST));
    assert!(!has_revocation(&left), "the job was stopped");
    let ended = entry.end(2_500, &placed[0], EndKind::Done);
    assert_eq!(answers(&ended), [(SECOND, JobOutcome::Completed)]);
}

#[rstest]
fn job_is_held_after_the_last_deadline_of_its_callers(mut entry: Entry) {
    entry.submit(0, FIRST, "payload");
    entry.submit(1_000, SECOND, "payload");
    let at_last_deadline = entry.handle(1_000 + CALLER_WAITS, DispatchInput::Tick);
    let outcomes = [(FIRST, JobOutcome::Expired), (SECOND, JobOutcome::Expired)];
    assert_eq!(answers(&at_last_deadline), outcomes);
    assert!(has_revocation(&at_last_deadline));
    assert_eq!(entry.dispatcher.jobs(), 0);
}

#[rstest]
fn held_job_is_stopped_by_another_job_under_its_id(mut entry: Entry) {
    let placed = assignments(&entry.submit(0, FIRST, "payload"));
    let other = entry.submit(100, SECOND, "another payload");
    assert_eq!(answers(&other), [(SECOND, JobOutcome::IdInUse)]);
    assert!(!has_revocation(&other), "the held job was stopped");
    let ended = entry.end(500, &placed[0], EndKind::Done);
    assert_eq!(answers(&ended), [(FIRST, JobOutcome::Completed)]);
}

#[rstest]
fn cancelled_job_that_may_have_run_is_told_not_to_have_run(mut entry: Entry) {
    entry.submit(0, FIRST, "payload");
    entry.submit(50, SECOND, "payload");
    let cancelled = entry.handle(100, DispatchInput::Cancel(JOB.into()));
    let outcomes = [
        (FIRST, JobOutcome::Cancelled),
        (SECOND, JobOutcome::Cancelled),
    ];
    assert_eq!(answers(&cancelled), outcomes);
    assert!(has_revocation(&cancelled));
}

#[rstest]
fn cancelled_job_without_a_start_is_told_to_have_run(mut entry: Entry) {
    entry.handle(0, DispatchInput::AgentDown(AGENT.into()));
    entry.submit(0, FIRST, "payload");
    let cancelled = entry.handle(100, DispatchInput::Cancel(JOB.into()));
    assert_eq!(
        answers(&cancelled),
        [(FIRST, JobOutcome::CancelledUnstarted)]
    );
}

/// A submission that was delayed or repeated reaches the entry after the request to
/// cancel its job.
#[rstest]
#[case::held(true)]
#[case::never_held(false)]
fn cancelled_job_starts_when_it_is_submitted_again(mut entry: Entry, #[case] is_held: bool) {
    if is_held {
        entry.submit(0, FIRST, "payload");
    }
    entry.handle(100, DispatchInput::Cancel(JOB.into()));
    let repeated = entry.submit(5_000, SECOND, "payload");
    assert_eq!(assignments(&repeated), [], "the job started");
    assert_eq!(answers(&repeated), [(SECOND, JobOutcome::Cancelled)]);
    assert_eq!(entry.dispatcher.jobs(), 0);
}

fn cancelled_elsewhere(remembered_for: Duration) -> DispatchInput {
    let job = JOB.into();
    DispatchInput::CancelledElsewhere(vec![CancelledJob {
        job,
        remembered_for,
    }])
}

/// Returns the jobs that the linked entries are told of.
fn spread(actions: &[DispatchAction]) -> Vec<CancelledJob> {
    let jobs = actions.iter().filter_map(|action| match action {
        DispatchAction::SpreadCancel(cancelled) => Some(cancelled.clone()),
        _ => None,
    });
    jobs.collect()
}

/// A request to cancel reached another entry than the one that holds the job, whose
/// tasks went on starting.
#[rstest]
fn a_job_that_is_cancelled_at_another_entry_goes_on(mut entry: Entry) {
    entry.submit(0, FIRST, "payload");
    let remembered_for = Duration::from_secs(20);
    let actions = entry.handle(100, cancelled_elsewhere(remembered_for));
    assert_eq!(answers(&actions), [(FIRST, JobOutcome::Cancelled)]);
    assert!(has_revocation(&actions), "{actions:?}");
    let told = spread(&actions);
    assert_eq!(told.len(), 1, "the entry passes it on");
    assert_eq!(told[0].remembered_for, remembered_for);
    let again = entry.handle(101, cancelled_elsewhere(remembered_for));
    assert_eq!(spread(&again), [], "each entry passes it on once");
    let copy = entry.submit(5_000, SECOND, "payload");
    assert_eq!(answers(&copy), [(SECOND, JobOutcome::Cancelled)]);
}

/// Entries that told one another of a cancelled job each time that a link opened would
/// remember it for good.
#[rstest]
fn a_cancelled_job_is_remembered_as_long_as_entries_tell_of_it(mut entry: Entry) {
    let told = spread(&entry.handle(0, DispatchInput::Cancel(JOB.into())));
    let kept_for = told[0].remembered_for;
    let now = entry.begin + Duration::from_secs(10);
    let left = entry.dispatcher.cancelled_jobs(now)[0].remembered_for;
    assert_eq!(left, kept_for.saturating_sub(Duration::from_secs(10)));
    let odd = cancelled_elsewhere(Duration::MAX);
    let after = u64::try_from(kept_for.as_millis()).unwrap() + 1;
    let bounded = spread(&entry.handle(after, odd));
    assert!(bounded[0].remembered_for <= kept_for);
}
