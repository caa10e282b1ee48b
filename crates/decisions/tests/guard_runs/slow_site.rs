//! A guard with two entries, and an endpoint with a slow clock that may leave stops
//! unanswered.

use {
    crate::guard_site::{assignment, later, usable_guard},
    chestnutrun_decisions::guard::{
        Answer, GuardAction, GuardInput, GuardMachine, ListOrder, ListReply, ListedRun, StopOrder,
    },
    chestnutrun_types::{AssignmentId, DecisionEvent, Now, Revocation, RunNumber, TaskId},
    indexmap::IndexMap,
    std::time::{Duration, Instant},
};

/// Milliseconds since the beginning.
type Millis = u64;

/// The entry that the guard knows from the beginning, and which may be lost.
pub const ENTRY: &str = "entry";

/// An entry that lives.
pub const OTHER_ENTRY: &str = "other";

/// Time between two proofs that an entry is alive.
const PROBE_INTERVAL: Millis = 180;

/// Time between two ticks of the guard.
const TICK_INTERVAL: Millis = 50;

/// How late the endpoint's timers fire.
const TIMER_DELAY: Duration = Duration::from_millis(20);

/// Reading of the endpoint's clock at the beginning.
const FIRST_READING: Millis = 1_000;

/// A guard with two entries, and an endpoint with a slow clock.
#[derive(Debug)]
pub struct SlowSite {
    /// Whether the endpoint carries out and answers stops.
    pub answers_stops: bool,
    /// What the guard logged of its endpoint.
    pub news: Vec<String>,
    begin: Instant,
    at: Millis,
    guard: GuardMachine,
    is_entry_lost: bool,
    /// Orders that reach the endpoint in the next millisecond, and lists that wait there.
    orders: Vec<GuardAction>,
    polls: Vec<(Millis, ListOrder)>,
    unanswered: Vec<StopOrder>,
    lease_until: Duration,
    running: IndexMap<RunNumber, TaskId>,
}

impl SlowSite {
    pub fn new() -> Self {
        let begin = Instant::now();
        let mut site = Self {
            answers_stops: true,
            news: Vec::new(),
            begin,
            at: 0,
            guard: usable_guard(begin),
            is_entry_lost: false,
            orders: Vec::new(),
            polls: Vec::new(),
            unanswered: Vec::new(),
            lease_until: Duration::ZERO,
            running: IndexMap::new(),
        };
        site.handle(GuardInput::LinkUp(OTHER_ENTRY.into(), 1, "zone".into()));
        site.prove();
        site
    }

    /// Assigns a task of the job with the assignment's number.
    pub fn assign(&mut self, entry: &str, id: AssignmentId) {
        let assigned = assignment(id, &job(id));
        self.handle(GuardInput::Assign(entry.into(), assigned));
    }

    pub fn revoke(&mut self, entry: &str, id: AssignmentId) {
        let revocation = Revocation {
            assignments: vec![id],
        };
        self.handle(GuardInput::Revoke(entry.into(), revocation));
    }

    /// Ends the entry's process; the guard gets no more proof of it.
    pub fn lose_entry(&mut self) {
        self.is_entry_lost = true;
        self.handle(GuardInput::LinkDown(ENTRY.into()));
    }

    /// Whether the endpoint runs the task of an assignment now.
    pub fn is_at_work(&self, id: AssignmentId) -> bool {
        let job = job(id);
        self.running.values().any(|task| *task.job == *job)
    }

    /// Whether the guard counts on the task of no assignment.
    pub fn is_idle(&self) -> bool {
        self.guard.is_idle()
    }

    pub fn takes_work(&self) -> bool {
        self.guard.takes_work(self.now().instant)
    }

    /// Lets time pass.
    pub fn play(&mut self, length: Millis) {
        for _ in 0..length {
            self.at += 1;
            if self.lease_until + TIMER_DELAY <= self.clock() {
                self.running.clear();
            }
            if self.at.is_multiple_of(PROBE_INTERVAL) {
                self.prove();
            }
            for order in std::mem::take(&mut self.orders) {
                self.carry_out(order);
            }
            let due = self.polls.extract_if(.., |(due_at, _)| *due_at <= self.at);
            for (_, order) in due.collect::<Vec<_>>() {
                let listed = self.list(order);
                self.handle(listed);
            }
            let now = self.now().instant;
            let late = self
                .unanswered
                .extract_if(.., |order| order.answer_by <= now);
            for order in late.collect::<Vec<_>>() {
                let unknown = Answer::Unknown;
                self.handle(GuardInput::Stopped(order.incarnation, order.run, unknown));
            }
            if self.at.is_multiple_of(TICK_INTERVAL) {
                self.handle(GuardInput::Tick);
            }
        }
    }

    fn prove(&mut self) {
        let alive_at = self.now().instant;
        self.handle(GuardInput::Proven(OTHER_ENTRY.into(), alive_at));
        if !self.is_entry_lost {
            self.handle(GuardInput::Proven(ENTRY.into(), alive_at));
        }
    }

    fn handle(&mut self, input: GuardInput) {
        let now = self.now();
        self.orders.extend(self.guard.handle(now, input));
    }

    fn carry_out(&mut self, order: GuardAction) {
        match order {
            GuardAction::Start(order) => {
                self.renew(order.until);
                self.running.insert(order.run, order.task);
                let done = Answer::Done(self.clock(), ());
                self.handle(GuardInput::Started(order.incarnation, order.run, done));
            }
            GuardAction::Stop(order) if self.answers_stops => {
                self.running.swap_remove(&order.run);
                let done = Answer::Done(self.clock(), ());
                self.handle(GuardInput::Stopped(order.incarnation, order.run, done));
            }
            GuardAction::Stop(order) => self.unanswered.push(order),
            GuardAction::List(order) => {
                if let Some(until) = order.until {
                    self.renew(until);
                }
                let wait = u64::try_from(order.wait.as_millis()).unwrap();
                self.polls.push((self.at + wait, order));
            }
            GuardAction::Record(DecisionEvent::EndpointLifecycle { news, .. }) => {
                self.news.push(news.to_string());
            }
            GuardAction::Send(..) | GuardAction::Record(_) => {}
        }
    }

    fn list(&self, order: ListOrder) -> GuardInput {
        let running = self.running.iter().map(|(run, task)| ListedRun {
            task: task.clone(),
            run: *run,
            percent: u32::try_from(self.at / 100).unwrap(),
        });
        let reply = ListReply {
            running: running.collect(),
            ended: Vec::new(),
        };
        let answer = Answer::Done(self.clock(), reply);
        GuardInput::Listed(order.incarnation, order, answer)
    }

    fn renew(&mut self, until: Duration) {
        self.lease_until = self.lease_until.max(until);
    }

    /// Returns the endpoint's clock, which is 2% slow.
    fn clock(&self) -> Duration {
        Duration::from_millis(FIRST_READING) + Duration::from_millis(self.at) * 98 / 100
    }

    fn now(&self) -> Now {
        later(self.begin, self.at)
    }
}

fn job(id: AssignmentId) -> String {
    format!("{id:016x}")
}
