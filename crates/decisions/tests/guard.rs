//! Tests of the guard's state machine without an agent or entries around it.

mod guard_site;

use {
    chestnutrun_decisions::guard::{
        Answer, GuardAction, GuardConf, GuardInput, GuardMachine, GuardMessage, ListOrder,
        ListReply, ListedEnd, ListedRun, OrderFault, RunEnd,
    },
    chestnutrun_types::{Assignment, EntryId, Revocation, TaskId, TaskPosition},
    guard_site::{
        announcement, assign_one, assignment, guard_with_runs, later, list_sent_at, lists, starts,
        usable_guard,
    },
    rstest::rstest,
    std::time::{Duration, Instant},
};

/// Most list orders in a second to an endpoint without a listener.
const MAX_LISTS: usize = 15;

#[rstest]
fn a_new_entry_incarnation_gets_no_ends_of_the_earlier_one() {
    let begin = Instant::now();
    let mut guard = GuardMachine::new(GuardConf::default());
    let now = later(begin, 0);
    let entry: EntryId = "entry".into();
    let order = lists(guard.handle(now, GuardInput::Announced(announcement()))).remove(0);
    let clock = Duration::from_secs(1);
    let empty = Answer::Done(clock, ListReply::default());
    guard.handle(now, GuardInput::Listed(1, order, empty));
    guard.handle(now, GuardInput::LinkUp(entry.clone(), 1, "zone".into()));
    guard.handle(now, GuardInput::Proven(entry.clone(), begin));
    let assigned = GuardInput::Assign(entry.clone(), assignment(1, "00000000000000a1"));
    let started = guard.handle(now, assigned);
    let start = started.iter().find_map(|action| match action {
        GuardAction::Start(order) => Some(order.clone()),
        _ => None,
    });
    let start = start.expect("the task starts");
    guard.handle(
        now,
        GuardInput::Started(1, start.run, Answer::Done(clock, ())),
    );
    let order = lists(started).into_iter().next();
    guard.handle(now, GuardInput::LinkUp(entry.clone(), 2, "zone".into()));
    guard.handle(now, GuardInput::Proven(entry.clone(), begin));
    let again = GuardInput::Assign(entry, assignment(1, "00000000000000a2"));
    let mut actions = guard.handle(now, again);
    let ended = ListReply {
        running: Vec::new(),
        ended: vec![ListedEnd {
            number: 1,
            task: start.task.clone(),
            run: start.run,
            how: RunEnd::Done,
        }],
    };
    let order = order.unwrap_or(ListOrder {
        endpoint: "endpoint".into(),
        incarnation: 1,
        until: None,
        last_processed_end: 0,
        wait: Duration::from_millis(150),
        token: 1,
        sent_at: begin,
        answer_by: begin,
    });
    actions.extend(guard.handle(
        now,
        GuardInput::Listed(1, order, Answer::Done(clock, ended)),
    ));
    let reported_ends = actions.iter().filter_map(|action| match action {
        GuardAction::Send(_, GuardMessage::Update(update)) => Some(update.ends.len()),
        _ => None,
    });
    assert_eq!(reported_ends.sum::<usize>(), 0, "{actions:?}");
    assert_eq!(guard.tasks(), 1, "the new task remains");
}

#[rstest]
fn lists_pause_when_an_endpoint_refuses_connections() {
    let begin = Instant::now();
    let mut guard = GuardMachine::new(GuardConf::default());
    let now = |millis| later(begin, millis);
    let mut orders = lists(guard.handle(now(0), GuardInput::Announced(announcement())));
    let mut list_count = orders.len();
    for millis in (0..1_000).step_by(10) {
        while let Some(order) = orders.pop() {
            let refused = Answer::Refused(None, OrderFault::Unhealthy);
            let input = GuardInput::Listed(order.incarnation, order, refused);
            orders.extend(lists(guard.handle(now(millis), input)));
            list_count += orders.len();
            assert!(
                list_count <= MAX_LISTS,
                "{list_count} lists within {millis} ms"
            );
        }
        orders.extend(lists(guard.handle(now(millis), GuardInput::Tick)));
        list_count += orders.len();
    }
    assert!(
        (5..=MAX_LISTS).contains(&list_count),
        "{list_count} lists in a second"
    );
}

/// Most orders within 600 ms to an endpoint without a listener: a list and a
/// start each 100 ms.
const MAX_REFUSED: usize = 14;

/// Most orders within 600 ms to an endpoint whose connections break: a list and
/// the stops of three runs each 50 ms, and three starts.
const MAX_BROKEN: usize = 55;

/// How each order fails, without a delay.
#[derive(Clone, Copy, Debug)]
enum ImmediateFailure {
    /// No connection was made.
    Refused,
    /// The connection broke after the order was sent.
    Broken,
}

impl ImmediateFailure {
    fn answer<T>(self) -> Answer<T> {
        match self {
            Self::Refused => Answer::Refused(None, OrderFault::Unhealthy),
            Self::Broken => Answer::Unknown,
        }
    }

    /// Returns the failed answer to an order; none for other actions.
    fn input(self, action: GuardAction) -> Option<GuardInput> {
        match action {
            GuardAction::Start(order) => Some(GuardInput::Started(1, order.run, self.answer())),
            GuardAction::Stop(order) => Some(GuardInput::Stopped(1, order.run, self.answer())),
            GuardAction::List(order) => Some(GuardInput::Listed(1, order, self.answer())),
            GuardAction::Send(..) | GuardAction::Record(_) => None,
        }
    }
}

#[rstest]
#[case::refused(ImmediateFailure::Refused, MAX_REFUSED)]
#[case::broken(ImmediateFailure::Broken, MAX_BROKEN)]
fn an_endpoint_that_fails_immediately_gets_few_orders(
    #[case] failure: ImmediateFailure,
    #[case] max_orders: usize,
) {
    let begin = Instant::now();
    let now = |millis| later(begin, millis);
    let entry: EntryId = "entry".into();
    let mut guard = GuardMachine::new(GuardConf::default());
    let order = lists(guard.handle(now(0), GuardInput::Announced(announcement()))).remove(0);
    let clean = Answer::Done(Duration::from_secs(1), ListReply::default());
    let mut actions = guard.handle(now(0), GuardInput::Listed(1, order, clean));
    guard.handle(now(0), GuardInput::LinkUp(entry.clone(), 1, "zone".into()));
    let (mut orders, mut reported_room) = (0, 0);
    for millis in 1..600 {
        guard.handle(
            now(millis),
            GuardInput::Proven(entry.clone(), now(millis).instant),
        );
        if reported_room > 0 {
            reported_room -= 1;
            let job = format!("{millis:016x}");
            let assigned = GuardInput::Assign(entry.clone(), assignment(millis, &job));
            actions.extend(guard.handle(now(millis), assigned));
        }
        actions.extend(guard.handle(now(millis), GuardInput::Tick));
        while let Some(action) = actions.pop() {
            if let GuardAction::Send(_, GuardMessage::Update(update)) = &action {
                reported_room = update.most_tasks;
            }
            if let Some(input) = failure.input(action) {
                orders += 1;
                assert!(orders <= max_orders, "{orders} orders within {millis} ms");
                actions.extend(guard.handle(now(millis), input));
            }
        }
    }
}

/// Most failed runs in a second at an endpoint that already failed several in a
/// row: one each 250 ms.
const MAX_FAILED: usize = 5;

/// An endpoint that accepts each start and fails the run at once.
#[derive(Debug, Default)]
struct FailingEndpoint {
    ended: Vec<ListedEnd>,
    polls: Vec<ListOrder>,
    reported_room: [u16; 3],
}

impl FailingEndpoint {
    /// Applies an action of the guard; returns the answer to a start.
    fn handle(&mut self, action: GuardAction) -> Option<GuardInput> {
        match action {
            GuardAction::Start(order) => {
                let number = u64::try_from(self.ended.len()).expect("a small number") + 1;
                self.ended.push(ListedEnd {
                    number,
                    task: order.task,
                    run: order.run,
                    how: RunEnd::Failed,
                });
                let clock = Duration::from_secs(1);
                return Some(GuardInput::Started(1, order.run, Answer::Done(clock, ())));
            }
            GuardAction::List(order) => self.polls.push(order),
            GuardAction::Send(entry, GuardMessage::Update(update)) => {
                let number: usize = entry.parse().expect("entries have numbers");
                self.reported_room[number] = update.most_tasks;
            }
            _ => {}
        }
        None
    }

    /// Answers the newest long poll with the ends after its `last_processed_end`.
    fn answer_poll(&mut self) -> Option<GuardInput> {
        let order = self.polls.pop()?;
        let new_ends = self
            .ended
            .iter()
            .filter(|end| end.number > order.last_processed_end);
        let reply = ListReply {
            running: Vec::new(),
            ended: new_ends.cloned().collect(),
        };
        let answer = Answer::Done(Duration::from_secs(1), reply);
        Some(GuardInput::Listed(1, order, answer))
    }
}

#[rstest]
fn a_failing_endpoint_is_tried_rarely_and_by_one_entry() {
    let begin = Instant::now();
    let now = |millis| later(begin, millis);
    let entries: Vec<EntryId> = vec!["0".into(), "1".into(), "2".into()];
    let mut guard = GuardMachine::new(GuardConf::default());
    let mut endpoint = FailingEndpoint::default();
    let mut actions = guard.handle(now(0), GuardInput::Announced(announcement()));
    for entry in &entries {
        let linked = GuardInput::LinkUp(entry.clone(), 1, "zone".into());
        actions.extend(guard.handle(now(0), linked));
    }
    let mut before = 0;
    for millis in 1..2_000 {
        for (number, entry) in entries.iter().enumerate() {
            let proven = GuardInput::Proven(entry.clone(), now(millis).instant);
            actions.extend(guard.handle(now(millis), proven));
            if endpoint.reported_room[number] > 0 {
                endpoint.reported_room[number] -= 1;
                let job = format!("{millis:08x}{number:08x}");
                let assigned = GuardInput::Assign(entry.clone(), assignment(millis, &job));
                actions.extend(guard.handle(now(millis), assigned));
            }
        }
        if millis % 5 == 0 {
            let poll = endpoint.answer_poll();
            actions.extend(poll.map_or_else(Vec::new, |input| guard.handle(now(millis), input)));
            actions.extend(guard.handle(now(millis), GuardInput::Tick));
            let next_wakeup = guard.next_wakeup(now(millis).instant);
            assert!(
                next_wakeup.is_none_or(|at| at > now(millis).instant),
                "the loop would spin"
            );
        }
        while let Some(action) = actions.pop() {
            let input = endpoint.handle(action);
            actions.extend(input.map_or_else(Vec::new, |input| guard.handle(now(millis), input)));
        }
        if millis == 1_000 {
            before = endpoint.ended.len();
        }
    }
    let failed = endpoint.ended.len() - before;
    assert!(
        (2..=MAX_FAILED).contains(&failed),
        "{failed} failed runs in a second"
    );
}

/// Milliseconds within which the end of a run is known although the long poll got
/// lost: half of the time by which a short job may be late.
const END_KNOWN_WITHIN_MS: u64 = 60;

#[rstest]
fn a_lost_long_poll_does_not_delay_the_end_of_a_run() {
    let begin = Instant::now();
    let now = |millis| later(begin, millis);
    let clock = Duration::from_secs(1);
    let mut guard = usable_guard(begin);
    let start = assign_one(&mut guard, now(0));
    let started = GuardInput::Started(1, start.run, Answer::Done(clock, ()));
    guard.handle(now(1), started);
    let ended = ListedEnd {
        number: 1,
        task: start.task,
        run: start.run,
        how: RunEnd::Done,
    };
    // The long poll is never answered.
    for millis in 1..=END_KNOWN_WITHIN_MS {
        let is_due = guard
            .next_wakeup(now(millis).instant)
            .is_some_and(|at| at <= now(millis).instant);
        if !is_due {
            continue;
        }
        for order in lists(guard.handle(now(millis), GuardInput::Tick)) {
            let reply = ListReply {
                running: Vec::new(),
                ended: vec![ended.clone()],
            };
            let answer = Answer::Done(clock, reply);
            guard.handle(now(millis), GuardInput::Listed(1, order, answer));
        }
        if guard.is_idle() {
            return;
        }
    }
    panic!("the end of the run is not known after {END_KNOWN_WITHIN_MS} ms");
}

#[rstest]
fn a_delayed_stop_sets_no_deadline_once_it_is_answered() {
    let begin = Instant::now();
    let clock = Duration::from_secs(1);
    let mut guard = usable_guard(begin);
    let run = assign_one(&mut guard, later(begin, 0)).run;
    let started = GuardInput::Started(1, run, Answer::Done(clock, ()));
    guard.handle(later(begin, 1), started);
    let assignments = vec![1];
    let revoked = GuardInput::Revoke("entry".into(), Revocation { assignments });
    guard.handle(later(begin, 2), revoked);
    let refused = Answer::Refused(None, OrderFault::Unhealthy);
    guard.handle(later(begin, 3), GuardInput::Stopped(1, run, refused));
    let mut again = announcement();
    again.info.incarnation = 2;
    guard.handle(later(begin, 10), GuardInput::Announced(again));
    let stopped = GuardInput::Stopped(2, run, Answer::Done(clock, ()));
    guard.handle(later(begin, 12), stopped);
    let now = later(begin, 200);
    guard.handle(now, GuardInput::Tick);
    let next_wakeup = guard.next_wakeup(now.instant);
    assert!(
        next_wakeup.is_none_or(|at| at > now.instant),
        "the loop would spin"
    );
}

/// Announces that the endpoint has room for `tasks` tasks.
fn resized(tasks: u32, sequence: u64) -> GuardInput {
    let mut resized = announcement();
    resized.info.total.cpu_millis = tasks * 1_000;
    resized.sequence = sequence;
    GuardInput::Announced(resized)
}

/// Returns a run as an endpoint lists it.
fn listed(run: u64, id: u64) -> ListedRun {
    ListedRun {
        task: TaskId {
            job: format!("{id:016x}").into(),
            at: TaskPosition { step: 0, index: 0 },
        },
        run,
        percent: 1,
    }
}

#[rstest]
fn a_start_exceeds_the_room_of_an_endpoint_that_shrank() {
    let begin = Instant::now();
    let now = |millis| later(begin, millis);
    let (mut guard, runs) = guard_with_runs(begin, 4);
    let stop = guard.handle(now(2), resized(3, 2));
    let stops = stop.iter().filter(|a| matches!(a, GuardAction::Stop(_)));
    assert_eq!(stops.count(), 0, "runs that no longer fit go on");
    let waiting = GuardInput::Assign("entry".into(), assignment(9, "00000000000000a9"));
    assert_eq!(
        starts(&guard.handle(now(3), waiting)),
        [],
        "4 of 3 are used"
    );
    // Two runs are stopped; their room is free only once their ends are listed.
    let assignments = vec![1, 2];
    let revoked = GuardInput::Revoke("entry".into(), Revocation { assignments });
    assert_eq!(
        starts(&guard.handle(now(4), revoked)),
        [],
        "stops take time"
    );
    let done = || Answer::Done(Duration::from_secs(1), ());
    guard.handle(now(5), GuardInput::Stopped(1, runs[0], done()));
    let actions = guard.handle(now(5), GuardInput::Stopped(1, runs[1], done()));
    assert_eq!(starts(&actions), [], "the stops are answered");
    let reply = ListReply {
        running: vec![listed(runs[2], 3), listed(runs[3], 4)],
        ended: Vec::new(),
    };
    let order = list_sent_at(now(6));
    let answer = Answer::Done(Duration::from_secs(1), reply);
    let actions = guard.handle(now(7), GuardInput::Listed(1, order, answer));
    assert_eq!(starts(&actions).len(), 1, "2 of 3 are used");
    let grown = guard.handle(now(8), resized(8, 3));
    assert_eq!(starts(&grown), [], "no other task waits");
    let more = GuardInput::Assign("entry".into(), assignment(10, "00000000000000b1"));
    assert_eq!(
        starts(&guard.handle(now(9), more)).len(),
        1,
        "3 of 8 are used"
    );
}

#[rstest]
#[case::shrinks(5)]
#[case::grows(20)]
fn an_entry_does_not_learn_of_changed_room(#[case] tasks: u32) {
    let begin = Instant::now();
    let (mut guard, runs) = guard_with_runs(begin, 4);
    // The longest pause between two updates is 250 ms.
    guard.handle(later(begin, 300), GuardInput::Tick);
    let running = (1..).zip(&runs).map(|(id, run)| listed(*run, id));
    let reply = ListReply {
        running: running.collect(),
        ended: Vec::new(),
    };
    let answer = Answer::Done(Duration::from_secs(1), reply);
    let order = list_sent_at(later(begin, 299));
    guard.handle(later(begin, 300), GuardInput::Listed(1, order, answer));
    let mut actions = guard.handle(later(begin, 310), resized(tasks, 2));
    actions.extend(guard.handle(later(begin, 570), GuardInput::Tick));
    let mut free = actions.iter().filter_map(|action| match action {
        GuardAction::Send(_, GuardMessage::Update(update)) => Some(update.free.cpu_millis),
        _ => None,
    });
    assert_eq!(free.next_back(), Some((tasks - 4) * 1_000));
}

/// An assignment named a wait or an earlier start beyond all bounds. The agent stopped
/// at the sum, and with it the tasks of all entries.
#[rstest]
#[case::wait(Assignment { start_within: Duration::MAX, ..assignment(1, "00000000000000a1") })]
#[case::earlier_start(Assignment { after_run: u64::MAX, ..assignment(1, "00000000000000a1") })]
fn an_assignment_with_a_number_too_large_stops_the_agent(#[case] odd: Assignment) {
    let begin = Instant::now();
    let mut guard = usable_guard(begin);
    let entry: EntryId = "entry".into();
    guard.handle(later(begin, 1), GuardInput::Assign(entry.clone(), odd));
    let next = GuardInput::Assign(entry, assignment(2, "00000000000000a2"));
    let actions = guard.handle(later(begin, 2), next);
    let is_next = |action: &GuardAction| matches!(action, GuardAction::Start(order) if *order.task.job == *"00000000000000a2");
    assert!(actions.iter().any(is_next), "{actions:?}");
}

/// An agent was suspended, and the proof that an entry is alive ran out meanwhile. After
/// it woke up, it acted on messages that had arrived before it looked at the clock.
#[rstest]
fn a_woken_agent_renews_leases_for_an_entry_whose_proof_ran_out() {
    let begin = Instant::now();
    let clock = Duration::from_secs(1);
    let mut guard = usable_guard(begin);
    let start = assign_one(&mut guard, later(begin, 0));
    let started = GuardInput::Started(1, start.run, Answer::Done(clock, ()));
    let mut polls = lists(guard.handle(later(begin, 1), started));
    polls.extend(lists(guard.handle(later(begin, 60), GuardInput::Tick)));
    let poll = polls.pop().expect("a list order is sent");
    let running = ListedRun {
        task: start.task,
        run: start.run,
        percent: 10,
    };
    let reply = ListReply {
        running: vec![running],
        ended: Vec::new(),
    };
    let woken = later(begin, 1_100);
    let answer = Answer::Done(clock, reply);
    let mut actions = guard.handle(woken, GuardInput::Listed(1, poll, answer));
    let assigned = GuardInput::Assign("entry".into(), assignment(2, "00000000000000a2"));
    actions.extend(guard.handle(woken, assigned));
    for action in actions {
        match action {
            GuardAction::Start(order) => panic!("started {order:?}"),
            GuardAction::List(order) => assert_eq!(order.until, None, "{order:?}"),
            _ => {}
        }
    }
}

/// A task of 30 s at an endpoint of half the usual speed shows a percent each 600 ms. Its
/// agent took it for stalled, and its work was lost and began anew elsewhere.
#[rstest]
fn a_long_task_that_makes_progress_is_stopped() {
    let begin = Instant::now();
    let mut guard = usable_guard(begin);
    let mut long = assignment(1, "00000000000000a1");
    long.tasks[0].expected = Duration::from_secs(30);
    let actions = guard.handle(later(begin, 0), GuardInput::Assign("entry".into(), long));
    let start = starts(&actions).remove(0);
    let clock = Duration::from_secs(1);
    let started = GuardInput::Started(1, start.run, Answer::Done(clock, ()));
    guard.handle(later(begin, 1), started);
    for millis in (10..3_000).step_by(10) {
        let now = later(begin, millis);
        guard.handle(now, GuardInput::Proven("entry".into(), now.instant));
        let mut running = listed(start.run, 1);
        running.task = start.task.clone();
        running.percent = u32::try_from(millis / 600).unwrap();
        let reply = ListReply {
            running: vec![running],
            ended: Vec::new(),
        };
        let answer = Answer::Done(clock, reply);
        let mut actions = guard.handle(now, GuardInput::Listed(1, list_sent_at(now), answer));
        actions.extend(guard.handle(now, GuardInput::Tick));
        let is_stop = |action: &GuardAction| matches!(action, GuardAction::Stop(_));
        assert!(!actions.iter().any(is_stop), "stopped after {millis} ms");
    }
}

/// A worker that a CPU quota suspends for most of a 100 ms period read the answer to its
/// start only after it had given it up, and stopped what had begun.
#[rstest]
fn a_start_is_given_up_within_a_quota_period() {
    let begin = Instant::now();
    let mut guard = usable_guard(begin);
    let start = assign_one(&mut guard, later(begin, 0));
    assert!(start.answer_by >= begin + Duration::from_millis(100));
}
