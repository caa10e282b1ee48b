//! A simulated endpoint that checks leases and fencing tokens.

use {
    super::{Millis, judge::Judge},
    chestnutrun_decisions::guard::{
        Announcement, Answer, FencingToken, ListOrder, ListReply, ListedEnd, ListedRun, OrderFault,
        RunEnd, StartOrder, StopOrder,
    },
    chestnutrun_types::{EndpointInfo, Resources, TaskId},
    indexmap::IndexMap,
    std::time::Duration,
};

/// Longest lease that an endpoint grants, in milliseconds.
const LONGEST_LEASE: Millis = 1_000;

/// CPU of an endpoint, in thousandths of a core.
const CPU: u32 = 8_000;

/// CPU demand of a task, in thousandths of a core.
pub const TASK_CPU: u32 = 1_000;

/// A run that has not ended.
#[derive(Clone, Debug)]
struct Running {
    task: TaskId,
    started_at: Millis,
    work: Millis,
    stops_at: Option<Millis>,
}

/// A simulated endpoint that checks leases and fencing tokens.
#[derive(Debug)]
pub struct FakeEndpoint {
    number: usize,
    pub incarnation: u64,
    pub is_up: bool,
    pub is_leaving: bool,
    pub fails_until: Millis,
    pub stalls_until: Millis,
    pub mute_until: Millis,
    started_at: Millis,
    sequence: u64,
    token: FencingToken,
    lease_until: Millis,
    runs: IndexMap<u64, Running>,
    floors: IndexMap<TaskId, u64>,
    ends: Vec<ListedEnd>,
}

impl FakeEndpoint {
    pub fn new(number: usize) -> Self {
        Self {
            number,
            incarnation: 1,
            is_up: true,
            is_leaving: false,
            fails_until: 0,
            stalls_until: 0,
            mute_until: 0,
            started_at: 0,
            sequence: 0,
            token: 0,
            lease_until: 0,
            runs: IndexMap::new(),
            floors: IndexMap::new(),
            ends: Vec::new(),
        }
    }

    /// Ends the process and all its runs.
    pub fn crash(&mut self, judge: &mut Judge) {
        for (run, running) in std::mem::take(&mut self.runs) {
            judge.run_ended(&running.task, self.number, run, false);
        }
        self.is_up = false;
    }

    pub fn restart(&mut self, at: Millis) {
        *self = Self {
            incarnation: self.incarnation + 1,
            started_at: at,
            ..Self::new(self.number)
        };
    }

    pub fn announce(&mut self, at: Millis) -> Announcement {
        self.sequence += 1;
        Announcement {
            info: EndpointInfo {
                endpoint: format!("endpoint-{}", self.number).into(),
                incarnation: self.incarnation,
                service: "service".into(),
                zone: "zone".into(),
                labels: Vec::new(),
                total: Resources {
                    cpu_millis: CPU,
                    memory_mb: 1_000,
                    accelerators: 0,
                },
            },
            clock: Duration::from_millis(self.clock(at)),
            sequence: self.sequence,
            leaving: self.is_leaving,
        }
    }

    /// Ends the runs that are due: by lease, stop order or completion.
    pub fn advance(&mut self, at: Millis, judge: &mut Judge) {
        let clock = self.clock(at);
        let is_lapsed = self.lease_until <= clock;
        let is_stalled = at < self.stalls_until;
        let is_failing = at < self.fails_until;
        let mut ended = Vec::new();
        for (run, running) in &self.runs {
            let how = if is_lapsed {
                RunEnd::Lapsed
            } else if running.stops_at.is_some_and(|stops_at| stops_at <= at) {
                RunEnd::Stopped
            } else if !is_stalled && running.started_at + running.work <= at {
                if is_failing {
                    RunEnd::Failed
                } else {
                    RunEnd::Done
                }
            } else {
                continue;
            };
            ended.push((*run, how));
        }
        for (run, how) in ended {
            self.end_run(run, how, judge);
        }
    }

    fn end_run(&mut self, run: u64, how: RunEnd, judge: &mut Judge) {
        let Some(running) = self.runs.shift_remove(&run) else {
            return;
        };
        judge.run_ended(&running.task, self.number, run, how == RunEnd::Done);
        let floor = self.floors.entry(running.task.clone()).or_default();
        *floor = (*floor).max(run);
        let number = u64::try_from(self.ends.len()).unwrap() + 1;
        self.ends.push(ListedEnd {
            number,
            task: running.task,
            run,
            how,
        });
    }

    pub fn start(
        &mut self,
        at: Millis,
        order: &StartOrder,
        work: Millis,
        judge: &mut Judge,
    ) -> Answer<()> {
        self.advance(at, judge);
        if let Some(fault) = self.check_token(order.token) {
            return self.refused(at, fault);
        }
        let until = u64::try_from(order.until.as_millis()).unwrap();
        if until <= self.clock(at) {
            return self.refused(at, OrderFault::LeaseOver);
        }
        self.renew_lease(at, until);
        if self
            .floors
            .get(&order.task)
            .is_some_and(|floor| order.run <= *floor)
        {
            return self.refused(at, OrderFault::OldRun);
        }
        if self.runs.contains_key(&order.run) {
            return self.done(at, ());
        }
        let held = u32::try_from(self.runs.len()).unwrap() * TASK_CPU;
        if held + TASK_CPU > CPU {
            return self.refused(at, OrderFault::NoRoom);
        }
        judge.run_started(at, &order.task, self.number, order.run);
        let running = Running {
            task: order.task.clone(),
            started_at: at,
            work,
            stops_at: None,
        };
        self.runs.insert(order.run, running);
        self.done(at, ())
    }

    pub fn stop(
        &mut self,
        at: Millis,
        order: &StopOrder,
        takes: Millis,
        judge: &mut Judge,
    ) -> Answer<()> {
        self.advance(at, judge);
        if let Some(fault) = self.check_token(order.token) {
            return self.refused(at, fault);
        }
        let floor = self.floors.entry(order.task.clone()).or_default();
        *floor = (*floor).max(order.run);
        if let Some(running) = self.runs.get_mut(&order.run) {
            running.stops_at = Some(running.stops_at.unwrap_or(at + takes));
        }
        self.done(at, ())
    }

    pub fn list(&mut self, at: Millis, order: &ListOrder, judge: &mut Judge) -> Answer<ListReply> {
        self.advance(at, judge);
        if let Some(fault) = self.check_token(order.token) {
            return match self.refused(at, fault) {
                Answer::Refused(clock, fault) => Answer::Refused(clock, fault),
                Answer::Done(..) | Answer::Unknown => Answer::Unknown,
            };
        }
        if let Some(until) = order.until {
            self.renew_lease(at, u64::try_from(until.as_millis()).unwrap());
        }
        if order.incarnation != self.incarnation {
            // A real list carries the start time of the endpoint.
            let clock = Duration::from_millis(self.clock(at));
            return Answer::Refused(Some(clock), OrderFault::AnsweredBy(self.incarnation));
        }
        let running = self.runs.iter().map(|(run, running)| ListedRun {
            task: running.task.clone(),
            run: *run,
            percent: self.percent(at, running),
        });
        let running = running.collect();
        let ended = self
            .ends
            .iter()
            .filter(|end| end.number > order.last_processed_end)
            .cloned()
            .collect();
        self.done(at, ListReply { running, ended })
    }

    /// Returns whether a list order that waits for ended runs has an answer now.
    pub fn has_ends(&self, order: &ListOrder) -> bool {
        self.ends
            .iter()
            .any(|end| end.number > order.last_processed_end)
    }

    fn percent(&self, at: Millis, running: &Running) -> u32 {
        if at < self.stalls_until {
            return 1;
        }
        let share = (at - running.started_at) * 100 / running.work.max(1);
        u32::try_from(share.min(99)).unwrap()
    }

    /// Checks the fencing token. The incarnation is not checked: orders name the
    /// endpoint by an id that survives a restart, so that orders to an earlier
    /// incarnation are carried out.
    fn check_token(&mut self, token: FencingToken) -> Option<OrderFault> {
        if token < self.token {
            return Some(OrderFault::StaleToken);
        }
        self.token = token;
        None
    }

    fn renew_lease(&mut self, at: Millis, until: Millis) {
        let longest = self.clock(at) + LONGEST_LEASE;
        self.lease_until = self.lease_until.max(until.min(longest));
    }

    fn done<T>(&self, at: Millis, value: T) -> Answer<T> {
        Answer::Done(Duration::from_millis(self.clock(at)), value)
    }

    fn refused(&self, at: Millis, fault: OrderFault) -> Answer<()> {
        Answer::Refused(Some(Duration::from_millis(self.clock(at))), fault)
    }

    /// Returns the endpoint's own clock, which is 2% slow at every second endpoint.
    fn clock(&self, at: Millis) -> Millis {
        let age = at - self.started_at;
        if self.number.is_multiple_of(2) {
            age
        } else {
            age * 98 / 100
        }
    }
}
