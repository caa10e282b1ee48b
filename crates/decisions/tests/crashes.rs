//! Crashes of endpoints under the tasks that run there: a task that crashes each
//! endpoint that starts it must not crash one after another.

use {
    chestnutrun_decisions::guard::{
        Announcement, Answer, GuardAction, GuardConf, GuardInput, GuardMachine, ListOrder,
        ListReply, OrderFault,
    },
    chestnutrun_types::{
        AssignedTask, Assignment, DecisionEvent, EndpointInfo, Now, Resources, TaskPosition,
    },
    rstest::rstest,
    std::time::{Duration, Instant, SystemTime},
};

const CLOCK: Duration = Duration::from_secs(1);

/// Time until which a crash has to be known: the lease of the runs and two ticks.
const KNOWN_WITHIN_MS: u64 = 1_500;

fn room(tasks: u32) -> Resources {
    Resources {
        cpu_millis: tasks * 1_000,
        memory_mb: tasks,
        accelerators: 0,
    }
}

fn announcement(incarnation: u64, sequence: u64, leaving: bool) -> GuardInput {
    GuardInput::Announced(Announcement {
        info: EndpointInfo {
            endpoint: "endpoint".into(),
            incarnation,
            service: "service".into(),
            zone: "zone".into(),
            labels: Vec::new(),
            total: room(8),
        },
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
        let mut agent = Self {
            begin: Instant::now(),
            guard: GuardMachine::new(GuardConf { first_number: 1 }),
            lists: Vec::new(),
        };
        agent.handle(0, announcement(1, 1, false));
        agent.answer_lists(0, &Answer::Done(CLOCK, ListReply::default()));
        agent.handle(0, GuardInput::LinkUp("entry".into(), 1, "zone".into()));
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
    agent.start(1, assignment(1, "00000000000000a1", 2));
    assert_eq!(crashes(&agent.lapse(10, &answer)), expected);
}

#[rstest]
#[case::crashed(false, vec![2])]
#[case::left(true, vec![])]
fn a_planned_end_is_taken_for_a_crash(#[case] is_planned: bool, #[case] expected: Vec<usize>) {
    let mut agent = Agent::new();
    agent.start(1, assignment(1, "00000000000000a1", 2));
    agent.handle(2, announcement(1, 2, is_planned));
    let actions = agent.handle(10, announcement(2, 1, false));
    assert_eq!(crashes(&actions), expected);
}

#[rstest]
fn a_crash_behind_silence_is_not_recorded() {
    let mut agent = Agent::new();
    agent.start(1, assignment(1, "00000000000000a1", 2));
    assert_eq!(crashes(&agent.lapse(10, &Answer::Unknown)), []);
    let actions = agent.handle(2_000, announcement(2, 1, false));
    assert_eq!(crashes(&actions), [2]);
}

#[rstest]
fn runs_that_a_crash_ended_count_again_at_the_next_one() {
    let mut agent = Agent::new();
    agent.start(1, assignment(1, "00000000000000a1", 2));
    let first = agent.handle(10, announcement(2, 1, false));
    let second = agent.handle(20, announcement(3, 1, false));
    assert_eq!((crashes(&first), crashes(&second)), (vec![2], vec![]));
}
