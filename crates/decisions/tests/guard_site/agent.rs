//! A guard with a clean endpoint and one entry, and the orders that it sends.

use {
    chestnutrun_decisions::guard::{
        Announcement, Answer, GuardAction, GuardConf, GuardInput, GuardMachine, ListOrder,
        ListReply, StartOrder,
    },
    chestnutrun_types::{AssignedTask, Assignment, EndpointInfo, Now, Resources, TaskPosition},
    std::time::{Duration, Instant, SystemTime},
};

pub fn announcement() -> Announcement {
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

pub fn lists(actions: Vec<GuardAction>) -> Vec<ListOrder> {
    let lists = actions.into_iter().filter_map(|action| match action {
        GuardAction::List(order) => Some(order),
        _ => None,
    });
    lists.collect()
}

pub fn assignment(id: u64, job: &str) -> Assignment {
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
pub fn usable_guard(begin: Instant) -> GuardMachine {
    let mut guard = GuardMachine::new(GuardConf::default());
    let now = later(begin, 0);
    let order = lists(guard.handle(now, GuardInput::Announced(announcement()))).remove(0);
    let clean = Answer::Done(Duration::from_secs(1), ListReply::default());
    guard.handle(now, GuardInput::Listed(1, order, clean));
    guard.handle(now, GuardInput::LinkUp("entry".into(), 1, "zone".into()));
    guard.handle(now, GuardInput::Proven("entry".into(), begin));
    guard
}

pub fn later(begin: Instant, millis: u64) -> Now {
    Now {
        instant: begin + Duration::from_millis(millis),
        wall: SystemTime::UNIX_EPOCH,
    }
}

/// Assigns a task and returns the order that starts it.
pub fn assign_one(guard: &mut GuardMachine, now: Now) -> StartOrder {
    let assigned = GuardInput::Assign("entry".into(), assignment(1, "00000000000000a1"));
    let actions = guard.handle(now, assigned);
    let start = actions.into_iter().find_map(|action| match action {
        GuardAction::Start(order) => Some(order),
        _ => None,
    });
    start.expect("the task starts")
}

/// Returns the runs that are started.
pub fn starts(actions: &[GuardAction]) -> Vec<StartOrder> {
    let starts = actions.iter().filter_map(|action| match action {
        GuardAction::Start(order) => Some(order.clone()),
        _ => None,
    });
    starts.collect()
}

/// Creates a guard that runs the tasks of assignments 1 to `count`; returns the
/// numbers of the runs.
pub fn guard_with_runs(begin: Instant, count: u64) -> (GuardMachine, Vec<u64>) {
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

pub fn list_sent_at(now: Now) -> ListOrder {
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
