//! One agent with an endpoint, and the messages that it gets.

use {
    chestnutrun_decisions::guard::{
        Announcement, Answer, GuardAction, GuardConf, GuardInput, GuardMachine, ListOrder,
        ListReply, OrderFault,
    },
    chestnutrun_types::{
        AssignedTask, Assignment, DecisionEvent, EndpointInfo, Now, Resources, TaskPosition,
    },
    std::time::{Duration, Instant, SystemTime},
};

pub const CLOCK: Duration = Duration::from_secs(1);

/// Time until which a crash has to be known: the lease of the runs and two ticks.
pub const KNOWN_WITHIN_MS: u64 = 1_500;

pub fn room(tasks: u32) -> Resources {
    Resources {
        cpu_millis: tasks * 1_000,
        memory_mb: tasks,
        accelerators: 0,
    }
}

pub fn announcement(incarnation: u64, sequence: u64, leaving: bool) -> GuardInput {
    announcement_of("endpoint", incarnation, sequence, leaving)
}

pub fn endpoint_info(endpoint: &str, incarnation: u64) -> EndpointInfo {
    EndpointInfo {
        endpoint: endpoint.into(),
        incarnation,
        service: "service".into(),
        zone: "zone".into(),
        labels: Vec::new(),
        total: room(8),
    }
}

pub fn announcement_of(
    endpoint: &str,
    incarnation: u64,
    sequence: u64,
    leaving: bool,
) -> GuardInput {
    GuardInput::Announced(Announcement {
        info: endpoint_info(endpoint, incarnation),
        clock: CLOCK,
        sequence,
        leaving,
    })
}

pub fn assignment(id: u64, job: &str, tasks: u16) -> Assignment {
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
pub struct Agent {
    pub begin: Instant,
    pub guard: GuardMachine,
    pub lists: Vec<ListOrder>,
}

impl Agent {
    pub fn new() -> Self {
        Self::of("endpoint")
    }

    pub fn of(endpoint: &str) -> Self {
        let mut agent = Self {
            begin: Instant::now(),
            guard: GuardMachine::new(GuardConf::default()),
            lists: Vec::new(),
        };
        agent.handle(0, announcement_of(endpoint, 1, 1, false));
        agent.answer_lists(0, &Answer::Done(CLOCK, ListReply::default()));
        agent
    }

    pub fn handle(&mut self, millis: u64, input: GuardInput) -> Vec<GuardAction> {
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

    pub fn answer_lists(&mut self, millis: u64, answer: &Answer<ListReply>) -> Vec<GuardAction> {
        let mut actions = Vec::new();
        for order in std::mem::take(&mut self.lists) {
            let listed = GuardInput::Listed(order.incarnation, order, answer.clone());
            actions.extend(self.handle(millis, listed));
        }
        actions
    }

    pub fn link(&mut self, millis: u64, incarnation: u64) -> Vec<GuardAction> {
        let up = GuardInput::LinkUp("entry".into(), incarnation, "zone".into());
        self.handle(millis, up)
    }

    /// Assigns tasks, and has the endpoint start them.
    pub fn start(&mut self, millis: u64, assignment: Assignment) {
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
    pub fn lapse(&mut self, from: u64, answer: &Answer<ListReply>) -> Vec<GuardAction> {
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
pub fn crashes(actions: &[GuardAction]) -> Vec<usize> {
    let crashes = actions.iter().filter_map(|action| match action {
        GuardAction::Record(DecisionEvent::EndpointCrashed { at_work, .. }) => Some(at_work.len()),
        _ => None,
    });
    crashes.collect()
}

pub const REFUSED: Answer<ListReply> = Answer::Refused(None, OrderFault::Unreachable);
