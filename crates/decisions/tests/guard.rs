//! Tests of the guard's state machine without an agent or entries around it.

use {
    chestnutrun_decisions::guard::{
        Announcement, Answer, GuardAction, GuardConf, GuardInput, GuardMachine, GuardMessage,
        ListOrder, ListReply, ListedEnd, ListedRun, OrderFault, RunEnd, StartOrder,
    },
    chestnutrun_types::{
        AssignedTask, Assignment, EndKind, EndpointInfo, EntryId, Now, Resources, Revocation,
        TaskId, TaskPosition,
    },
    rstest::rstest,
    std::time::{Duration, Instant, SystemTime},
};

/// Most list orders in a second to an endpoint without a listener.
const MAX_LISTS: usize = 15;

fn announcement() -> Announcement {
    Announcement {
        info: EndpointInfo {
            endpoint: "endpoint".into(),
            incarnation: 1,
            service: "service".into(),
            zone: "zone".into(),
            labels: Vec::new(),
            total: Resources {
                cpu_millis: 8_000,
                memory_mb: 1_000,
                accelerators: 0,
            },
        },
        clock: Duration::from_secs(1),
        sequence: 1,
        leaving: false,
    }
}

fn lists(actions: Vec<GuardAction>) -> Vec<ListOrder> {
    let lists = actions.into_iter().filter_map(|action| match action {
        GuardAction::List(order) => Some(order),
        _ => None,
    });
    lists.collect()
}

fn assignment(id: u64, job: &str) -> Assignment {
    let task = AssignedTask {
        at: TaskPosition { step: 0, index: 0 },
        need: Resources {
            cpu_millis: 1_000,
            memory_mb: 1,
            accelerators: 0,
        },
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
        tasks: vec![task],
    }
}

/// Creates a guard with a clean endpoint and one entry that was alive at `begin`.
fn usable_guard(begin: Instant) -> GuardMachine {
    let mut guard = GuardMachine::new(GuardConf { first_number: 1 });
    let now = later(begin, 0);
    let order = lists(guard.handle(now, GuardInput::Announced(announcement()))).remove(0);
    let clean = Answer::Done(Duration::from_secs(1), ListReply::default());
    guard.handle(now, GuardInput::Listed(1, order, clean));
    guard.handle(now, GuardInput::LinkUp("entry".into(), 1, "zone".into()));
    guard.handle(now, GuardInput::Proven("entry".into(), begin));
    guard
}

fn later(begin: Instant, millis: u64) -> Now {
    Now {
        instant: begin + Duration::from_millis(millis),
        wall: SystemTime::UNIX_EPOCH,
    }
}

/// Assigns a task and returns the order that starts it.
fn assign_one(guard: &mut GuardMachine, now: Now) -> StartOrder {
    let assigned = GuardInput::Assign("entry".into(), assignment(1, "00000000000000a1"));
    let actions = guard.handle(now, assigned);
    let start = actions.into_iter().find_map(|action| match action {
        GuardAction::Start(order) => Some(order),
        _ => None,
    });
    start.expect("the task starts")
}

#[rstest]
fn a_new_entry_incarnation_gets_no_ends_of_the_earlier_one() {
    let begin = Instant::now();
    let mut guard = GuardMachine::new(GuardConf { first_number: 1 });
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
    let mut guard = GuardMachine::new(GuardConf { first_number: 1 });
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
    let mut guard = GuardMachine::new(GuardConf { first_number: 1 });
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
    let mut guard = GuardMachine::new(GuardConf { first_number: 1 });
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
    let is_start = |action: &GuardAction| matches!(action, GuardAction::Start(_));
    assert!(!actions.iter().any(is_start));
}

/// Returns the runs that are started.
fn starts(actions: &[GuardAction]) -> Vec<StartOrder> {
    let starts = actions.iter().filter_map(|action| match action {
        GuardAction::Start(order) => Some(order.clone()),
        _ => None,
    });
    starts.collect()
}

/// Announces that the endpoint has room for `tasks` tasks.
fn resized(tasks: u32, sequence: u64) -> GuardInput {
    let mut resized = announcement();
    resized.info.total.cpu_millis = tasks * 1_000;
    resized.sequence = sequence;
    GuardInput::Announced(resized)
}

/// Creates a guard that runs the tasks of assignments 1 to `count`; returns the
/// numbers of the runs.
fn guard_with_runs(begin: Instant, count: u64) -> (GuardMachine, Vec<u64>) {
    let mut guard = usable_guard(begin);
    let mut runs = Vec::new();
    for id in 1..=count {
        let assigned = assignment(id, &format!("{id:016x}"));
        let actions = guard.handle(
            later(begin, 0),
            GuardInput::Assign("entry".into(), assigned),
        );
        let start = starts(&actions).remove(0);
        let done = Answer::Done(Duration::from_secs(1), ());
        guard.handle(later(begin, 1), GuardInput::Started(1, start.run, done));
        runs.push(start.run);
    }
    (guard, runs)
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

fn list_sent_at(now: Now) -> ListOrder {
    ListOrder {
        endpoint: "endpoint".into(),
        incarnation: 1,
        until: None,
        last_processed_end: 0,
        wait: Duration::ZERO,
        token: 1,
        sent_at: now.instant,
        answer_by: now.instant + Duration::from_millis(200),
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
    let mut guard = GuardMachine::new(GuardConf { first_number: 1 });
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
