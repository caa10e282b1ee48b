//! Crashes of endpoints under the tasks that run there: a task that crashes each
//! endpoint that starts it must not crash one after another.

mod crash_site;

use {
    chestnutrun_decisions::{
        guard::{Answer, GuardAction, GuardInput, GuardMessage, ListReply, OrderFault},
        placement::{DispatchAction, DispatchInput, JobOutcome},
    },
    chestnutrun_types::{
        AgentUpdate, Assignment, EndKind, EndpointCrash, EndpointInfo, Resync, TaskEnd, TaskId,
        TaskPosition,
    },
    crash_site::{
        Agent, CLOCK, KNOWN_WITHIN_MS, REFUSED, Site, announcement, assignment, crashes,
        endpoint_info, room,
    },
    rstest::rstest,
    std::time::Duration,
};

/// Length of the lease on a clock that is 2% slow, and an interval of two ticks.
const LEASE_MS: u64 = 663 + 100;

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
        // Only a less urgent job gets room after a suspect.
        site.priority = u32::from(job == "00000000000000a3");
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

/// A job under which an endpoint had crashed counted as begun, got the next room before all
/// sound jobs, and crashed the next endpoint.
#[rstest]
#[case::held(true)]
#[case::submitted_again(false)]
fn a_suspect_gets_room_before_sound_jobs(#[case] is_held: bool) {
    const OCCUPYING: &str = "00000000000000e1";
    let mut site = Site::new(1);
    let first = if is_held { SUSPECT } else { OCCUPYING };
    site.submit_with_need(20, first, 1, room(8));
    let crashed = AgentUpdate {
        crashes: vec![crash("w", &[SUSPECT])],
        ..AgentUpdate::default()
    };
    site.dispatch(21, DispatchInput::Update("endpoint-0".into(), crashed));
    if !is_held {
        site.submit_with_need(22, SUSPECT, 1, room(8));
    }
    site.submit_with_need(23, "00000000000000a2", 1, room(8));
    let ended = TaskEnd {
        assignment: 1,
        at: TaskPosition { step: 0, index: 0 },
        kind: if is_held {
            EndKind::Stopped
        } else {
            EndKind::Done
        },
        run: 1,
        ran: Duration::from_millis(1),
    };
    let free = AgentUpdate {
        free: room(8),
        most_tasks: u16::MAX,
        slowness: 1.0,
        last_assignment: 1,
        ends: vec![ended],
        ..AgentUpdate::default()
    };
    let actions = site.dispatch(40, DispatchInput::Update("endpoint-0".into(), free));
    let assigned = actions.iter().filter_map(|action| match action {
        DispatchAction::Assign(_, assignment) => Some(&*assignment.job),
        _ => None,
    });
    assert_eq!(assigned.collect::<Vec<_>>(), ["00000000000000a2"]);
}
