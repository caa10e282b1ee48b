//! Tests of what a guard does after its endpoint started again under its id.

use {
    crate::{
        guard_site::{
            announcement, assign_one, assignment, guard_with_runs, later, list_sent_at, lists,
            starts, usable_guard,
        },
        second_life::{Answering, SecondLife},
    },
    chestnutrun_decisions::guard::{
        Answer, EndpointClock, GuardAction, GuardInput, GuardMachine, GuardMessage, ListOrder,
        ListReply, ListedRun, OrderFault, StartOrder,
    },
    chestnutrun_types::{EndpointInfo, RunNumber, TaskId, TaskPosition},
    rstest::rstest,
    std::time::{Duration, Instant},
};

/// Passes the answers of the second life to a guard whose entry lives, and the guard's
/// orders to the second life, until the guard has no run left; returns when that is.
fn play(guard: &mut GuardMachine, begin: Instant, start: StartOrder, life: &mut SecondLife) -> u64 {
    let mut orders = vec![GuardAction::Start(start)];
    for at in 1..4_000 {
        let now = later(begin, at);
        let answers: Vec<_> = orders
            .drain(..)
            .filter_map(|order| life.carry_out(at, order))
            .collect();
        for answer in answers {
            orders.extend(guard.handle(now, answer));
        }
        if guard.tasks() == 0 {
            return at;
        }
        orders.extend(guard.handle(now, GuardInput::Proven("entry".into(), now.instant)));
        orders.extend(guard.handle(now, GuardInput::Tick));
    }
    panic!("the guard keeps the run: {guard:?}");
}

/// An endpoint started again within milliseconds under its id, and took a start. Its agent
/// saw the new incarnation, neither listed nor stopped the run, and took it for lapsed while
/// it worked, so that it started elsewhere. The lease is counted on another clock, and the
/// endpoint grants its longest one.
#[rstest]
#[case::the_new_incarnation_lists_its_runs(Answering::All)]
#[case::only_starts_and_stops_are_answered(Answering::StartsAndStops)]
#[case::nothing_is_answered(Answering::Nothing)]
fn a_run_that_a_restarted_endpoint_took_ends_while_it_works(#[case] answering: Answering) {
    let begin = Instant::now();
    let mut guard = usable_guard(begin);
    let start = assign_one(&mut guard, later(begin, 0));
    let mut life = SecondLife::new(answering);
    let ended_at = play(&mut guard, begin, start, &mut life);
    assert!(!life.is_at_work(ended_at), "at {ended_at} ms: {life:?}");
}

/// The guard gave up a run that a restarted endpoint had taken only when the endpoint
/// announced itself; until then the run worked for nobody.
#[rstest]
fn a_run_that_a_restarted_endpoint_took_is_not_stopped_before_its_heartbeat() {
    let begin = Instant::now();
    let mut guard = usable_guard(begin);
    let start = assign_one(&mut guard, later(begin, 0));
    let ended_at = play(
        &mut guard,
        begin,
        start,
        &mut SecondLife::new(Answering::All),
    );
    assert!(ended_at < 200, "stopped and reported after {ended_at} ms");
}

/// A restarted endpoint took a run and was gone before it answered another order. No lease
/// had been asked for on its clock, so that its runs never counted as lapsed.
#[rstest]
#[case::that_announced_itself(true)]
#[case::that_answered_a_list(false)]
fn a_run_is_kept_for_ever_after_a_restarted_endpoint_was_lost(#[case] is_announced: bool) {
    let begin = Instant::now();
    let (mut guard, _) = guard_with_runs(begin, 2);
    let now = later(begin, 10);
    let mut again = announcement();
    again.info.incarnation = 2;
    let by_other = Answer::Refused(Some(Duration::ZERO), OrderFault::AnsweredBy(2));
    let seen = if is_announced {
        GuardInput::Announced(again)
    } else {
        GuardInput::Listed(1, list_sent_at(now), by_other)
    };
    guard.handle(now, seen);
    assert_eq!(
        guard.tasks(),
        2,
        "the new incarnation may have taken the starts"
    );
    for at in 11..1_300 {
        guard.handle(later(begin, at), GuardInput::Tick);
    }
    assert_eq!(guard.tasks(), 0);
}

/// Returns the endpoint as told to entries.
fn told(actions: &[GuardAction]) -> Vec<Option<&EndpointInfo>> {
    let told = actions.iter().filter_map(|action| match action {
        GuardAction::Send(_, GuardMessage::Endpoint(info)) => Some(info.as_ref()),
        _ => None,
    });
    told.collect()
}

/// A restarted endpoint may be of another kind, which only its announcement tells: it gets no
/// task before, and is told to entries with its new labels.
#[rstest]
fn a_restarted_endpoint_gets_a_task_before_it_announced_its_kind() {
    let begin = Instant::now();
    let (mut guard, _) = guard_with_runs(begin, 1);
    let now = later(begin, 10);
    let clock = Duration::from_millis(5);
    let by_other = Answer::Refused(Some(clock), OrderFault::AnsweredBy(2));
    let seen = guard.handle(now, GuardInput::Listed(1, list_sent_at(now), by_other));
    assert_eq!(told(&seen), [None]);
    let is_stop = |action: &&GuardAction| matches!(action, GuardAction::Stop(_));
    assert_eq!(seen.iter().filter(is_stop).count(), 1, "{seen:?}");
    let order = lists(seen).remove(0);
    assert_eq!((order.incarnation, order.until), (2, None));
    let empty = Answer::Done(clock, ListReply::default());
    guard.handle(later(begin, 11), GuardInput::Listed(2, order, empty));
    let assigned = GuardInput::Assign("entry".into(), assignment(1, "00000000000000a1"));
    let actions = guard.handle(later(begin, 12), assigned);
    assert!(starts(&actions).is_empty(), "{actions:?}");
    // An earlier announcement of the first incarnation arrives late.
    let late = guard.handle(later(begin, 13), GuardInput::Announced(announcement()));
    assert!(told(&late).is_empty(), "{late:?}");
    let mut again = announcement();
    again.info.incarnation = 2;
    again.info.labels = vec!["other-kind".into()];
    let expected = again.info.clone();
    let actions = guard.handle(later(begin, 14), GuardInput::Announced(again));
    assert_eq!(told(&actions), [Some(&expected)]);
    let assigned = GuardInput::Assign("entry".into(), assignment(2, "00000000000000a2"));
    let actions = guard.handle(later(begin, 15), assigned);
    assert_eq!(starts(&actions).len(), 1, "{actions:?}");
}

/// Returns a list of the runs that `guard_with_runs` began.
fn list_of(runs: &[RunNumber]) -> ListReply {
    let running = (1..).zip(runs).map(|(job, run): (u64, _)| ListedRun {
        task: TaskId {
            job: format!("{job:016x}").into(),
            at: TaskPosition { step: 0, index: 0 },
        },
        run: *run,
        percent: 10,
    });
    ListReply {
        running: running.collect(),
        ended: Vec::new(),
    }
}

fn report_end(guard: &mut GuardMachine, begin: Instant, at: u64) -> ListOrder {
    let ended = GuardInput::EndpointEnded("endpoint".into());
    let actions = guard.handle(later(begin, at), ended);
    lists(actions).pop().expect("the endpoint is asked")
}

/// A report of an endpoint's end, held up on its way, arrived when the endpoint ran again
/// under its id. All its runs were taken for ended and started elsewhere while they worked.
#[rstest]
#[case::that_stays(false)]
#[case::that_leaves_too(true)]
fn a_late_report_of_an_end_ends_the_runs_of_a_later_incarnation(#[case] is_leaving: bool) {
    let begin = Instant::now();
    let (mut guard, runs) = guard_with_runs(begin, 2);
    let mut newest = announcement();
    (newest.sequence, newest.leaving) = (2, is_leaving);
    guard.handle(later(begin, 5), GuardInput::Announced(newest));
    let order = report_end(&mut guard, begin, 10);
    assert_eq!(
        guard.tasks(),
        2,
        "the report does not say which incarnation ended"
    );
    assert!(!guard.takes_work(later(begin, 10).instant));
    let answer = Answer::Done(Duration::from_millis(1_011), list_of(&runs));
    guard.handle(later(begin, 11), GuardInput::Listed(1, order, answer));
    assert_eq!(guard.tasks(), 2);
    assert_eq!(guard.takes_work(later(begin, 11).instant), !is_leaving);
}

/// An answer that was requested before the endpoint reported its end was taken for a sign
/// that the endpoint stays.
#[rstest]
fn an_earlier_list_makes_an_endpoint_usable_that_reported_its_end() {
    let begin = Instant::now();
    let (mut guard, runs) = guard_with_runs(begin, 1);
    report_end(&mut guard, begin, 10);
    let answer = Answer::Done(Duration::from_millis(1_011), list_of(&runs));
    let earlier = list_sent_at(later(begin, 9));
    guard.handle(later(begin, 11), GuardInput::Listed(1, earlier, answer));
    assert!(!guard.takes_work(later(begin, 11).instant));
}

/// Runs at an endpoint that ended as planned end with their leases, not before, and entries
/// are then told that it is gone. Without runs they are told at once.
#[rstest]
#[case::with_runs(2, 600, 700)]
#[case::without_runs(0, 0, 100)]
fn an_endpoint_that_ended_is_forgotten_before_its_leases_are_over_or_never(
    #[case] runs: u64,
    #[case] after: u64,
    #[case] before: u64,
) {
    let begin = Instant::now();
    let (mut guard, _) = guard_with_runs(begin, runs);
    let mut orders = vec![report_end(&mut guard, begin, 10)];
    for at in 11..1_000 {
        let now = later(begin, at);
        let mut actions = Vec::new();
        for order in orders.drain(..) {
            let refused = Answer::Refused(None, OrderFault::Unreachable);
            actions.extend(guard.handle(now, GuardInput::Listed(1, order, refused)));
        }
        actions.extend(guard.handle(now, GuardInput::Proven("entry".into(), now.instant)));
        actions.extend(guard.handle(now, GuardInput::Tick));
        if !told(&actions).is_empty() {
            assert_eq!((told(&actions), guard.tasks()), (vec![None], 0));
            assert!((after..before).contains(&at), "at {at} ms");
            return;
        }
        orders.extend(lists(actions));
    }
    panic!("the endpoint is still known: {guard:?}");
}

/// Endpoints of other deployments grant longer leases; the agent counted on a fixed one.
#[rstest]
fn a_restarted_endpoint_keeps_its_runs_beyond_the_lease_that_is_counted_on() {
    let begin = Instant::now();
    let longest = Duration::from_secs(3);
    let mut clock = EndpointClock::announced(begin, Duration::ZERO, longest);
    clock.expect_earlier_leases(begin);
    assert!(clock.leases_end_at() > Some(begin + longest));
    let answered_at = begin + Duration::from_millis(500);
    clock.update(answered_at, Duration::from_millis(500));
    assert!(clock.leases_end_at() > Some(answered_at + longest));
}
