//! Tests of what a guard believes of its endpoint: its clock and leases, announcements of
//! other endpoints, and later incarnations.

mod guard_site;

use {
    chestnutrun_decisions::{
        evacuation::ZoneGate,
        guard::{
            Answer, GuardAction, GuardConf, GuardInput, GuardMachine, GuardMessage, ListOrder,
            ListReply, ListedEnd, ListedRun, OrderFault, RunEnd, StartOrder,
        },
    },
    chestnutrun_types::{AgentUpdate, EndKind, TaskId, TaskPosition},
    guard_site::{
        announcement, assign_one, assignment, guard_with_runs, later, list_sent_at, lists, starts,
        usable_guard,
    },
    rstest::rstest,
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

#[rstest]
fn a_restarted_endpoint_gets_stop_orders_for_earlier_runs() {
    let begin = Instant::now();
    let now = |millis| later(begin, millis);
    let clock = Duration::from_secs(1);
    let empty = || Answer::Done(clock, ListReply::default());
    let mut guard = usable_guard(begin);
    let start = assign_one(&mut guard, now(0));
    let started = GuardInput::Started(1, start.run, Answer::Done(clock, ()));
    guard.handle(now(1), started);
    // The endpoint had restarted before the start order reached it.
    let mut again = announcement();
    again.info.incarnation = 2;
    let actions = guard.handle(now(10), GuardInput::Announced(again));
    assert_eq!(guard.tasks(), 1, "the task may run at the new incarnation");
    let stop = actions.iter().find_map(|action| match action {
        GuardAction::Stop(order) => Some(order.clone()),
        _ => None,
    });
    let stop = stop.expect("the run is stopped at the new incarnation");
    assert_eq!((stop.run, stop.incarnation), (start.run, 2));
    assert!(stop.token > start.token, "earlier orders are fenced");
    let stopped = GuardInput::Stopped(2, stop.run, Answer::Done(clock, ()));
    let order = lists(guard.handle(now(12), stopped)).remove(0);
    guard.handle(now(14), GuardInput::Listed(2, order, empty()));
    let order = ListOrder {
        endpoint: "endpoint".into(),
        incarnation: 2,
        until: None,
        last_processed_end: 0,
        wait: Duration::from_millis(150),
        token: stop.token,
        sent_at: now(13).instant,
        answer_by: now(200).instant,
    };
    guard.handle(now(15), GuardInput::Listed(2, order, empty()));
    assert_eq!(guard.tasks(), 0, "a later list does not show the run");
}

#[rstest]
fn late_orders_are_fenced_at_an_incarnation_that_has_not_announced_itself() {
    let begin = Instant::now();
    let mut guard = usable_guard(begin);
    let start = assign_one(&mut guard, later(begin, 1));
    let ticked = guard.handle(later(begin, 100), GuardInput::Tick);
    let poll = lists(ticked).remove(0);
    let other = Answer::Refused(None, OrderFault::OtherIncarnation);
    let answered = GuardInput::Listed(1, poll, other.clone());
    let fencing = lists(guard.handle(later(begin, 101), answered)).pop();
    let fencing = fencing.expect("another list order is sent");
    assert!(
        fencing.token > start.token,
        "orders with the old token are refused"
    );
    assert_eq!(fencing.wait, Duration::ZERO, "the endpoint answers at once");
    // One such order is enough, and nothing starts while the agent does not know
    // the clock of the new incarnation.
    let answered = GuardInput::Listed(1, fencing.clone(), other);
    let actions = guard.handle(later(begin, 102), answered);
    assert!(lists(actions).is_empty());
    let assigned = GuardInput::Assign("entry".into(), assignment(2, "00000000000000a2"));
    let actions = guard.handle(later(begin, 103), assigned);
    assert_eq!(starts(&actions), []);
}

/// The clock of an endpoint that began at one second and runs 2% slow, and the moment
/// at which that clock shows a time, both counted from `begin`.
fn slow_clock(elapsed: Duration) -> Duration {
    Duration::from_secs(1) + elapsed.mul_f64(0.98)
}

fn when_slow_clock_shows(time: Duration) -> Duration {
    time.saturating_sub(Duration::from_secs(1)).div_f64(0.98)
}

/// An endpoint with a slow clock carried out orders without answering. Its agent took
/// the runs for lapsed while the leases that it had asked for still lasted, and they
/// started elsewhere.
#[rstest]
fn runs_count_as_lapsed_before_the_lease_ends_on_a_slow_clock(
    #[values(1, 17, 40, 55, 130)] last_answer_after: u64,
) {
    let begin = Instant::now();
    let mut guard = usable_guard(begin);
    let start = assign_one(&mut guard, later(begin, 0));
    let mut lease_end = when_slow_clock_shows(start.until);
    let started = Answer::Done(slow_clock(Duration::from_millis(1)), ());
    let mut actions = guard.handle(later(begin, 1), GuardInput::Started(1, start.run, started));
    let mut ended_at = None;
    for at in 1..3_000 {
        let now = later(begin, at);
        let elapsed = Duration::from_millis(at);
        let clock = slow_clock(elapsed);
        for order in lists(std::mem::take(&mut actions)) {
            let until = order.until.map(when_slow_clock_shows);
            lease_end = lease_end.max(until.unwrap_or_default());
            if at <= last_answer_after {
                let answer = Answer::Done(clock, list_of(&start));
                let listed = GuardInput::Listed(1, order, answer);
                actions.extend(guard.handle(now, listed));
            }
        }
        actions.extend(guard.handle(now, GuardInput::Proven("entry".into(), now.instant)));
        actions.extend(guard.handle(now, GuardInput::Tick));
        if guard.tasks() == 0 {
            ended_at = Some(elapsed);
            break;
        }
    }
    let ended_at = ended_at.expect("the agent notices that the runs are lost");
    assert!(
        ended_at >= lease_end,
        "ended at {ended_at:?}, the lease lasts until {lease_end:?}"
    );
}

/// Returns a list that shows only the run that `start` began.
fn list_of(start: &StartOrder) -> ListReply {
    let running = ListedRun {
        task: start.task.clone(),
        run: start.run,
        percent: 10,
    };
    ListReply {
        running: vec![running],
        ended: Vec::new(),
    }
}

/// A run lapsed before its start was answered, and its end was listed. The agent
/// reported that it had never started, so that its caller was refused.
#[rstest]
#[case(RunEnd::Lapsed)]
#[case(RunEnd::Stopped)]
fn a_run_that_ended_before_its_start_was_answered_counts_as_not_started(#[case] how: RunEnd) {
    let begin = Instant::now();
    let mut guard = usable_guard(begin);
    let start = assign_one(&mut guard, later(begin, 0));
    let end = ListedEnd {
        number: 1,
        task: start.task,
        run: start.run,
        how,
    };
    let reply = ListReply {
        running: Vec::new(),
        ended: vec![end],
    };
    let now = later(begin, 40);
    let answer = Answer::Done(Duration::from_secs(1), reply);
    let actions = guard.handle(now, GuardInput::Listed(1, list_sent_at(now), answer));
    let kinds = actions.iter().filter_map(|action| match action {
        GuardAction::Send(_, GuardMessage::Update(update)) => Some(&update.ends),
        _ => None,
    });
    let kinds: Vec<EndKind> = kinds.flatten().map(|end| end.kind).collect();
    assert_eq!(kinds, [EndKind::Stopped], "{actions:?}");
}

/// An announcement of another endpoint, with a later start.
fn other_announcement() -> GuardInput {
    let mut other = announcement();
    other.info.endpoint = "other".into();
    other.info.incarnation = 2;
    GuardInput::Announced(other)
}

/// Returns the endpoints that list orders were sent to.
fn listed_endpoints(actions: Vec<GuardAction>) -> Vec<String> {
    let orders = lists(actions).into_iter();
    orders.map(|order| order.endpoint.to_string()).collect()
}

/// Another writer announced an endpoint that does not exist. The runs of the real one
/// were taken for ended, although it went on answering.
#[rstest]
fn an_announced_endpoint_ends_the_runs_of_one_that_answers() {
    let begin = Instant::now();
    let (mut guard, _) = guard_with_runs(begin, 2);
    guard.handle(later(begin, 10), other_announcement());
    assert_eq!(guard.tasks(), 2);
    let now = later(begin, 60);
    let listed = listed_endpoints(guard.handle(now, GuardInput::Tick));
    assert_eq!(listed, ["endpoint"]);
    assert!(guard.takes_work(now.instant));
}

/// A new endpoint is used once another process answers at the address, or the known one
/// has been silent until its leases were over.
#[rstest]
#[case::another_process_answers(Some(OrderFault::OtherIncarnation), 10)]
#[case::silent(None, 1_350)]
fn an_announced_endpoint_is_not_used_though_the_known_one_is_gone(
    #[case] fault: Option<OrderFault>,
    #[case] within: u64,
) {
    let begin = Instant::now();
    let (mut guard, _) = guard_with_runs(begin, 2);
    guard.handle(later(begin, 10), other_announcement());
    if let Some(fault) = fault {
        let now = later(begin, 11);
        let answer = Answer::Refused(None, fault);
        guard.handle(now, GuardInput::Listed(1, list_sent_at(now), answer));
    }
    for at in (11..10 + within).step_by(10) {
        guard.handle(later(begin, at), GuardInput::Tick);
        let alive = later(begin, at).instant;
        guard.handle(later(begin, at), GuardInput::Proven("entry".into(), alive));
    }
    let listed = guard.handle(later(begin, 10 + within), GuardInput::Tick);
    assert_eq!(guard.tasks(), 0);
    assert!(
        !listed_endpoints(listed).contains(&"endpoint".to_owned()),
        "orders go to the new endpoint"
    );
}

/// The agent took an invented endpoint for a successor, and then the real one, with its
/// earlier start, for an outdated announcement.
#[rstest]
fn an_invented_endpoint_shuts_out_the_real_one() {
    let begin = Instant::now();
    let mut guard = GuardMachine::new(GuardConf::default());
    let order = lists(guard.handle(later(begin, 0), other_announcement())).remove(0);
    guard.handle(later(begin, 5), GuardInput::Announced(announcement()));
    let refused = Answer::Refused(None, OrderFault::OtherIncarnation);
    guard.handle(later(begin, 10), GuardInput::Listed(2, order, refused));
    let real = guard.handle(later(begin, 1_500), GuardInput::Announced(announcement()));
    assert_eq!(listed_endpoints(real), ["endpoint"]);
}

/// An endpoint ended in a planned way with an unanswered start on its way, and started
/// again under its id. It carried the start out, which another endpoint had begun.
#[rstest]
fn a_late_start_is_carried_out_after_a_planned_end() {
    let begin = Instant::now();
    let mut guard = usable_guard(begin);
    let start = assign_one(&mut guard, later(begin, 0));
    guard.handle(
        later(begin, 70),
        GuardInput::EndpointEnded("endpoint".into()),
    );
    let mut again = announcement();
    again.info.incarnation = 2;
    let actions = guard.handle(later(begin, 500), GuardInput::Announced(again));
    let first = lists(actions).remove(0);
    assert!(first.token > start.token, "earlier orders are fenced");
}

fn gate(zones: &[&str]) -> ZoneGate {
    ZoneGate::Except(Rc::new(zones.iter().map(|zone| (*zone).into()).collect()))
}

fn updates(actions: &[GuardAction]) -> Vec<&AgentUpdate> {
    let updates = actions.iter().filter_map(|action| match action {
        GuardAction::Send(_, GuardMessage::Update(update)) => Some(update),
        _ => None,
    });
    updates.collect()
}

fn assign(guard: &mut GuardMachine, begin: Instant, at: u64, id: u64) -> Vec<GuardAction> {
    guard.handle(
        later(begin, at),
        GuardInput::Proven("entry".into(), later(begin, at).instant),
    );
    let assigned = assignment(id, &format!("{id:016x}"));
    guard.handle(
        later(begin, at),
        GuardInput::Assign("entry".into(), assigned),
    )
}

#[rstest]
#[case::evacuated(gate(&["zone"]), true)]
#[case::unknown(ZoneGate::Unknown, true)]
#[case::another_zone(gate(&["other"]), false)]
#[case::none(ZoneGate::default(), false)]
fn a_task_starts_in_an_evacuated_zone(#[case] gate: ZoneGate, #[case] is_shut: bool) {
    let begin = Instant::now();
    let mut guard = usable_guard(begin);
    guard.handle(later(begin, 0), GuardInput::ZonesChanged(gate));
    let actions = assign(&mut guard, begin, 1, 1);
    assert_eq!(starts(&actions).is_empty(), is_shut, "{actions:?}");
    let ends = updates(&actions).into_iter().flat_map(|u| &u.ends);
    let returned = ends.filter(|end| end.kind == EndKind::NotStarted).count();
    assert_eq!(returned, usize::from(is_shut), "{actions:?}");
}

/// What runs goes on, what waits goes back at once, and after the request was taken back
/// tasks start again.
#[rstest]
fn an_evacuation_stops_runs_or_keeps_waiting_tasks() {
    let begin = Instant::now();
    let (mut guard, runs) = guard_with_runs(begin, 8);
    assign(&mut guard, begin, 2, 9);
    assert_eq!(guard.tasks(), 9, "the ninth task waits for room");
    let requested = guard.handle(later(begin, 3), GuardInput::ZonesChanged(gate(&["zone"])));
    let is_stop = |action: &GuardAction| matches!(action, GuardAction::Stop(_));
    assert!(!requested.iter().any(is_stop), "{requested:?}");
    assert_eq!(guard.tasks(), runs.len());
    let reported = updates(&requested);
    assert_eq!(reported.len(), 1, "{requested:?}");
    assert_eq!((reported[0].ends.len(), reported[0].most_tasks), (1, 0));
    let (mut guard, _) = guard_with_runs(begin, 1);
    guard.handle(later(begin, 3), GuardInput::ZonesChanged(gate(&["zone"])));
    guard.handle(later(begin, 4), GuardInput::ZonesChanged(gate(&[])));
    assign_one(&mut guard, later(begin, 5));
}

/// An endpoint that announced its end gets no start, not even in the room that its running
/// tasks leave or after one of them ends. Waiting tasks go back at once, those that run go
/// on, and the end that was announced is no crash.
#[rstest]
fn a_leaving_endpoint_starts_tasks_or_stops_those_that_run() {
    let begin = Instant::now();
    let (mut guard, runs) = guard_with_runs(begin, 8);
    assign(&mut guard, begin, 2, 9);
    let mut last = announcement();
    (last.sequence, last.leaving) = (2, true);
    let mut actions = guard.handle(later(begin, 3), GuardInput::Announced(last));
    assert_eq!(guard.tasks(), runs.len(), "the waiting task went back");
    let ended = ListReply {
        running: Vec::new(),
        ended: vec![ListedEnd {
            number: 1,
            task: TaskId {
                job: "0000000000000001".into(),
                at: TaskPosition { step: 0, index: 0 },
            },
            run: runs[0],
            how: RunEnd::Done,
        }],
    };
    let clock = Duration::from_millis(1_010);
    let listed = GuardInput::Listed(1, list_sent_at(later(begin, 4)), Answer::Done(clock, ended));
    actions.extend(guard.handle(later(begin, 10), listed));
    actions.extend(assign(&mut guard, begin, 11, 10));
    actions.extend(guard.handle(
        later(begin, 20),
        GuardInput::EndpointEnded("endpoint".into()),
    ));
    assert!(starts(&actions).is_empty(), "{actions:?}");
    let is_stop = |action: &GuardAction| matches!(action, GuardAction::Stop(_));
    assert!(!actions.iter().any(is_stop), "{actions:?}");
    let reported = updates(&actions);
    assert!(reported.iter().all(|update| update.most_tasks == 0));
    assert!(reported.iter().all(|update| update.crashes.is_empty()));
    let ends = reported.into_iter().flat_map(|update| &update.ends);
    let ends: Vec<EndKind> = ends.map(|end| end.kind).collect();
    let count = |kind| ends.iter().filter(|end| **end == kind).count();
    assert_eq!(
        (count(EndKind::NotStarted), count(EndKind::Done)),
        (2, 1),
        "{ends:?}"
    );
    assert_eq!(count(EndKind::Stopped), runs.len() - 1, "{ends:?}");
}

fn announced(sequence: u64, leaving: bool, cpu_millis: u32) -> GuardInput {
    let mut announced = announcement();
    announced.sequence = sequence;
    announced.leaving = leaving;
    announced.info.total.cpu_millis = cpu_millis;
    GuardInput::Announced(announced)
}

/// A heartbeat of another writer had a sequence number that is far too high. All later ones
/// were acknowledged and ignored, also those of an endpoint that left.
#[rstest]
fn an_endpoint_that_leaves_after_an_odd_sequence_number_gets_work() {
    let begin = Instant::now();
    let mut guard = usable_guard(begin);
    guard.handle(later(begin, 10), announced((1 << 53) - 1, false, 8_000));
    guard.handle(later(begin, 20), announced(2, true, 8_000));
    assert!(!guard.takes_work(later(begin, 20).instant));
    // A late announcement, from before the endpoint left.
    guard.handle(later(begin, 30), announced(1, false, 8_000));
    assert!(!guard.takes_work(later(begin, 30).instant));
}

/// Returns the processor of the endpoint as told to entries, if it is told.
fn told_cpu(actions: &[GuardAction]) -> Vec<u32> {
    let told = actions.iter().filter_map(|action| match action {
        GuardAction::Send(_, GuardMessage::Endpoint(info)) => info.as_ref(),
        _ => None,
    });
    told.map(|info| info.total.cpu_millis).collect()
}

/// After an odd sequence number, the capacity that later heartbeats told was never used.
#[rstest]
#[case::odd_number(&[((1 << 53) - 1, 8_000), (2, 4_000), (3, 4_000), (4, 4_000)], &[4_000])]
#[case::one_late(&[(5, 4_000), (2, 6_000), (6, 4_000)], &[4_000])]
#[case::late_ones_fall(&[(5, 4_000), (4, 6_000), (3, 6_000), (2, 6_000)], &[4_000])]
#[case::one_repeated(&[(5, 4_000), (2, 6_000), (2, 6_000), (2, 6_000)], &[4_000])]
fn the_capacity_after_an_odd_sequence_number_is_ignored(
    #[case] announcements: &[(u64, u32)],
    #[case] expected: &[u32],
) {
    let begin = Instant::now();
    let mut guard = usable_guard(begin);
    let mut told = Vec::new();
    for (at, (sequence, cpu)) in (10..).step_by(10).zip(announcements) {
        let actions = guard.handle(later(begin, at), announced(*sequence, false, *cpu));
        told.extend(told_cpu(&actions));
    }
    assert_eq!(told, expected);
}

/// A heartbeat of another writer told a clock that is far ahead. For a second leases were
/// longer than the agent counted on.
#[rstest]
#[case::while_it_runs(false)]
#[case::at_a_new_incarnation(true)]
fn a_lease_is_asked_for_by_an_announced_clock(#[case] is_new: bool) {
    let begin = Instant::now();
    let (mut guard, _) = guard_with_runs(begin, 1);
    let mut odd = announcement();
    odd.sequence = 2;
    odd.clock = Duration::from_hours(1);
    odd.info.incarnation += u64::from(is_new);
    let mut actions = guard.handle(later(begin, 10), GuardInput::Announced(odd));
    actions.extend(guard.handle(later(begin, 70), GuardInput::Tick));
    let mut asked = lists(actions).into_iter().filter_map(|order| order.until);
    assert!(asked.all(|until| until < Duration::from_secs(2)));
}
