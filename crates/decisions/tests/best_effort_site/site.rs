//! The simulated site: processes, links and endpoints on one clock.

use {
    super::{
        Millis,
        endpoint::{FakeEndpoint, TASK_CPU},
        events::{Caller, Event, FakeAgent, FakeEntry, Input, Link, Node},
        judge::Judge,
    },
    chestnutrun_decisions::{
        guard::{GuardConf, GuardInput, GuardMachine, GuardMessage},
        placement::{CallerId, DispatchAction, DispatchInput, Dispatcher, JobOutcome, Submission},
    },
    chestnutrun_types::{BestEffortJob, EntryId, JobId, Now, Resources, Route, StepSpec},
    indexmap::IndexMap,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        collections::BTreeMap,
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant, SystemTime},
    },
};

pub(super) const ENTRIES: usize = 2;
pub(super) const AGENTS: usize = 3;
pub(super) const ENTRY_TICK: Millis = 25;
pub(super) const AGENT_TICK: Millis = 50;
pub(super) const PROBE_INTERVAL: Millis = 180;
pub(super) const SILENCE_LIMIT: Millis = 600;
pub(super) const ANNOUNCE_INTERVAL: Millis = 1_500;
pub(super) const RESUBMIT_AFTER: Millis = 1_300;
pub(super) const CALLER_TIMEOUT: Millis = 3_000;
pub(super) const MEAN_FAULT_PAUSE: Millis = 500;
pub(super) const MEAN_MUTE_PAUSE: Millis = 2_500;
pub(super) const MEAN_RESTART_PAUSE: Millis = 1_000;
/// Share of the tasks that outlast the pause of their callers.
pub(super) const LONG_SHARE: f64 = 0.1;
pub(super) const MEAN_SUBMISSION_PAUSE: Millis = 40;
pub(super) const COPY_SHARE: f64 = 0.2;
pub(super) const MAX_COPY_PAUSE: Millis = 400;

/// Simulated processes, links and endpoints on one clock.
#[derive(Debug)]
pub struct Site {
    pub(super) rng: StdRng,
    pub(super) at: Millis,
    pub(super) begin: Instant,
    pub(super) queue: BTreeMap<(Millis, u64), Event>,
    /// Inputs that frozen processes get in this order once they continue.
    pub(super) backlogs: Vec<(Node, u64, Input)>,
    pub(super) next_event: u64,
    pub(super) next_order: u64,
    pub(super) next_caller: CallerId,
    pub(super) next_job: u64,
    pub(super) entries: Vec<FakeEntry>,
    pub(super) agents: Vec<FakeAgent>,
    pub(super) endpoints: Vec<FakeEndpoint>,
    pub(super) links: Vec<Vec<Link>>,
    pub(super) callers: IndexMap<CallerId, Caller>,
    pub(super) work: IndexMap<JobId, Millis>,
    pub(super) late_share: f64,
    pub(super) lost_share: f64,
    pub(super) has_faults: bool,
    /// Whether orders may be carried out seconds late.
    pub(super) has_late_orders: bool,
    /// Decides when endpoints carry out orders without answering; none always answer.
    pub(super) mutes: Option<StdRng>,
    /// Decides when endpoints start again within milliseconds, and which orders stay
    /// unanswered then; none restarts none.
    pub(super) restarts: Option<StdRng>,
    /// Until when half of the orders stay unanswered.
    pub(super) half_answered_until: Millis,
    /// Decides which submissions are repeated while the entry holds the job; none
    /// repeats none.
    pub(super) copies: Option<StdRng>,
    pub(super) trace_filter: Option<String>,
    pub judge: Judge,
}

impl Site {
    pub fn new(seed: u64) -> Self {
        let link = Link {
            generation: 0,
            is_open: false,
            cut_until: 0,
        };
        let mut site = Self {
            rng: StdRng::seed_from_u64(seed),
            at: 1,
            begin: Instant::now(),
            queue: BTreeMap::new(),
            backlogs: Vec::new(),
            next_event: 0,
            next_order: 0,
            next_caller: 1,
            next_job: 1,
            entries: (0..ENTRIES).map(|_| new_entry(0)).collect(),
            agents: (0..AGENTS).map(|_| new_agent(0, 1)).collect(),
            endpoints: (0..AGENTS).map(FakeEndpoint::new).collect(),
            links: vec![vec![link; ENTRIES]; AGENTS],
            callers: IndexMap::new(),
            work: IndexMap::new(),
            late_share: 0.0,
            lost_share: 0.0,
            has_faults: true,
            has_late_orders: true,
            mutes: None,
            restarts: None,
            half_answered_until: 0,
            copies: None,
            trace_filter: std::env::var("CHESTNUTRUN_TRACE").ok(),
            judge: Judge::default(),
        };
        for entry in 0..ENTRIES {
            site.schedule(1, Event::Process(Node::Entry(entry), 0, Input::Tick));
        }
        for agent in 0..AGENTS {
            site.schedule(1, Event::Process(Node::Agent(agent), 0, Input::Tick));
            site.schedule(5, Event::Announce(agent));
            site.schedule(1, Event::AdvanceEndpoint(agent));
            for entry in 0..ENTRIES {
                site.schedule(1, Event::Reconnect(agent, entry, 0));
                site.schedule(1, Event::Probe(agent, entry));
            }
        }
        site.schedule(100, Event::Submit);
        site.schedule(300, Event::Fault);
        site
    }

    /// Creates a site where some submissions reach their entry twice and no order is
    /// late.
    pub fn with_copies(seed: u64) -> Self {
        Self {
            copies: Some(StdRng::seed_from_u64(seed)),
            has_late_orders: false,
            ..Self::new(seed)
        }
    }

    /// Creates a site where endpoints carry out orders for some time without answering,
    /// and no order is late.
    pub fn with_mute_endpoints(seed: u64) -> Self {
        let mut site = Self {
            mutes: Some(StdRng::seed_from_u64(seed)),
            has_late_orders: false,
            ..Self::new(seed)
        };
        site.schedule(300, Event::Mute);
        site
    }

    /// Creates a site where some tasks outlast the pause of their callers, endpoints start
    /// again within milliseconds, half of the orders stay unanswered meanwhile, messages of
    /// earlier incarnations arrive late and twice, and no order is late.
    pub fn with_quick_restarts(seed: u64) -> Self {
        let mut site = Self {
            restarts: Some(StdRng::seed_from_u64(seed)),
            has_late_orders: false,
            ..Self::new(seed)
        };
        site.schedule(300, Event::QuickRestart);
        site
    }

    /// Runs the site with submissions and faults.
    pub fn run(&mut self, length: Millis) {
        let end = self.at + length;
        self.run_until(end);
    }

    /// Runs the site without new submissions or faults.
    pub fn settle(&mut self, length: Millis) {
        self.has_faults = false;
        (self.late_share, self.lost_share) = (0.0, 0.0);
        let end = self.at + length;
        self.run_until(end);
    }

    /// Returns how many callers wait for an answer, and how many jobs entries hold.
    pub fn unanswered(&self) -> (usize, usize) {
        let held = self.entries.iter().map(|entry| entry.machine.jobs()).sum();
        (self.callers.len(), held)
    }

    pub(super) fn run_until(&mut self, end: Millis) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.at = self.at.max(at);
            self.handle_event(event);
        }
        self.at = end;
    }

    pub(super) fn schedule(&mut self, pause: Millis, event: Event) {
        self.next_event += 1;
        self.queue.insert((self.at + pause, self.next_event), event);
    }

    pub(super) fn now(&self, at: Millis) -> Now {
        Now {
            instant: self.begin + Duration::from_millis(at),
            wall: SystemTime::UNIX_EPOCH + Duration::from_millis(1_000_000 + at),
        }
    }

    pub(super) fn handle_event(&mut self, event: Event) {
        match event {
            Event::Submit => self.submit_new(),
            Event::Resubmit(job) => self.submit(job),
            Event::SubmitCopy(first) => self.submit_copy(first),
            Event::Fault => self.inject_fault(),
            Event::Mute => self.mute_endpoint(),
            Event::QuickRestart => self.restart_endpoint_quickly(),
            Event::Unfreeze(node) => self.unfreeze(node),
            Event::Restart(node) => self.restart(node),
            Event::EndpointRestarts(number) => {
                self.endpoints[number].restart(self.at);
                let announced_within = if self.restarts.is_some() { 1_500 } else { 400 };
                let announced_after = self.rng.random_range(1..announced_within);
                self.schedule(announced_after, Event::Announce(number));
            }
            Event::Announce(number) => self.announce(number),
            Event::Probe(agent, entry) => self.probe(agent, entry),
            Event::Reconnect(agent, entry, generation) => self.reconnect(agent, entry, generation),
            Event::Process(node, run, input) => self.process(node, run, input),
            Event::Order(agent, run, order, is_answered) => {
                self.deliver_order(agent, run, order, is_answered);
            }
            Event::OrderTimesOut(agent, run, order) => self.order_times_out(agent, run, order),
            Event::CallerDisconnects(caller) => self.caller_disconnects(caller),
            Event::AdvanceEndpoint(number) => {
                self.endpoints[number].advance(self.at, &mut self.judge);
                self.schedule(2, Event::AdvanceEndpoint(number));
            }
        }
    }

    pub(super) fn submit_new(&mut self) {
        if !self.has_faults {
            return;
        }
        let pause = self.rng.random_range(1..MEAN_SUBMISSION_PAUSE * 2);
        self.schedule(pause, Event::Submit);
        let id: JobId = format!("{:016x}", self.next_job).into();
        self.next_job += 1;
        let mut work = self.rng.random_range(10..400);
        if let Some(rng) = &mut self.restarts
            && rng.random_bool(LONG_SHARE)
        {
            work += RESUBMIT_AFTER;
        }
        self.work.insert(id.clone(), work);
        let step = |tasks, after: Vec<u16>| StepSpec {
            tasks,
            need: Resources {
                cpu_millis: TASK_CPU,
                memory_mb: 1,
                accelerators: 0,
            },
            estimate: Duration::from_millis(work),
            after,
            requires: None,
            rack: None,
            most_per_endpoint: None,
        };
        let mut steps = vec![step(self.rng.random_range(1..6), Vec::new())];
        if self.rng.random_bool(0.2) {
            steps.push(step(self.rng.random_range(1..3), vec![0]));
        }
        let payload = "payload".into();
        self.submit(Rc::new(BestEffortJob { id, payload, steps }));
    }

    pub(super) fn submit(&mut self, job: Rc<BestEffortJob>) {
        let entry = self.rng.random_range(0..ENTRIES);
        if !self.entries[entry].is_up {
            if self.has_faults {
                self.schedule(RESUBMIT_AFTER, Event::Resubmit(job));
            }
            return;
        }
        let (caller, input) = self.new_caller(entry, job, false);
        if self.rng.random_bool(0.05) {
            let pause = self.rng.random_range(1..500);
            self.schedule(pause, Event::CallerDisconnects(caller));
        }
        self.send_input(Node::Entry(entry), 1, input);
        if let Some(rng) = &mut self.copies
            && rng.random_bool(COPY_SHARE)
        {
            let pause = rng.random_range(2..MAX_COPY_PAUSE);
            self.schedule(pause, Event::SubmitCopy(caller));
        }
    }

    /// Submits a job again at the entry that holds it.
    pub(super) fn submit_copy(&mut self, first: CallerId) {
        let Some(caller) = self.callers.get(&first) else {
            return;
        };
        let (entry, job) = (caller.entry, caller.job.clone());
        let (_, input) = self.new_caller(entry, job, true);
        let run = self.entries[entry].run;
        self.process(Node::Entry(entry), run, input);
    }

    fn new_caller(
        &mut self,
        entry: usize,
        job: Rc<BestEffortJob>,
        is_copy: bool,
    ) -> (CallerId, Input) {
        self.judge.submitted(&job.id);
        let caller = self.next_caller;
        self.next_caller += 1;
        let submission = Submission {
            caller,
            route: Arc::new(route()),
            job: job.clone(),
            deadline: self.now(self.at + CALLER_TIMEOUT).instant,
        };
        let waiting = Caller {
            entry,
            job,
            is_copy,
        };
        self.callers.insert(caller, waiting);
        (caller, Input::Dispatch(DispatchInput::Submit(submission)))
    }

    pub(super) fn caller_disconnects(&mut self, caller: CallerId) {
        if let Some(disconnected) = self.callers.swap_remove(&caller) {
            let input = Input::Dispatch(DispatchInput::CallerDisconnected(caller));
            self.send_input(Node::Entry(disconnected.entry), 1, input);
        }
    }

    /// Sends an input to the present run of a process after a delay.
    pub(super) fn send_input(&mut self, node: Node, delay: Millis, input: Input) {
        let run = match node {
            Node::Entry(number) => self.entries[number].run,
            Node::Agent(number) => self.agents[number].run,
        };
        self.schedule(delay, Event::Process(node, run, input));
    }

    /// Prints an event if its text contains the value of `CHESTNUTRUN_TRACE`, such
    /// as the id of a job that failed.
    pub(super) fn trace(&self, what: &dyn std::fmt::Debug) {
        if let Some(filter) = &self.trace_filter {
            let text = format!("{what:?}");
            if text.contains(filter) {
                println!("{} {text}", self.at);
            }
        }
    }

    pub(super) fn process(&mut self, node: Node, run: u64, input: Input) {
        let (is_up, present, frozen_until) = match node {
            Node::Entry(number) => {
                let entry = &self.entries[number];
                (entry.is_up, entry.run, entry.frozen_until)
            }
            Node::Agent(number) => {
                let agent = &self.agents[number];
                (agent.is_up, agent.run, agent.frozen_until)
            }
        };
        if !is_up || present != run {
            return;
        }
        if frozen_until > self.at {
            self.backlogs.push((node, run, input));
            return;
        }
        self.trace(&(node, &input));
        match node {
            Node::Entry(number) => self.entry_input(number, input),
            Node::Agent(number) => self.agent_input(number, input),
        }
    }

    pub(super) fn entry_input(&mut self, number: usize, input: Input) {
        let input = match input {
            Input::Tick => {
                self.send_input(Node::Entry(number), ENTRY_TICK, Input::Tick);
                DispatchInput::Tick
            }
            Input::Dispatch(input) => input,
            Input::LinkUp(agent, generation) => {
                self.entries[number].links[agent] = generation;
                DispatchInput::AgentDown(agent_name(agent))
            }
            Input::LinkDown(agent, generation) => {
                // A later link replaced this one.
                if self.entries[number].links[agent] != generation {
                    return;
                }
                DispatchInput::AgentDown(agent_name(agent))
            }
            Input::FromAgent(agent, generation, message) => {
                if self.entries[number].links[agent] != generation {
                    return;
                }
                let name = agent_name(agent);
                match message {
                    GuardMessage::Resync(resync) => {
                        DispatchInput::AgentUp(name, self.agents[agent].run, resync)
                    }
                    GuardMessage::Endpoint(info) => DispatchInput::EndpointChanged(name, info),
                    GuardMessage::Update(update) => DispatchInput::Update(name, update),
                }
            }
            _ => return,
        };
        let now = self.now(self.at);
        for action in self.entries[number].machine.handle(now, input) {
            self.entry_action(number, action);
        }
    }

    pub(super) fn entry_action(&mut self, number: usize, action: DispatchAction) {
        self.trace(&(Node::Entry(number), &action));
        match action {
            DispatchAction::Record(_) | DispatchAction::SpreadCancel(_) => {}
            DispatchAction::Answer(caller, job, outcome) => self.answer(caller, &job, outcome),
            DispatchAction::Assign(agent, assignment) => {
                let agent = agent_number(&agent);
                let generation = self.entries[number].links[agent];
                self.send_agent(agent, number, Input::Assign(number, generation, assignment));
            }
            DispatchAction::Revoke(agent, revocation) => {
                let agent = agent_number(&agent);
                let generation = self.entries[number].links[agent];
                self.send_agent(agent, number, Input::Revoke(number, generation, revocation));
            }
        }
    }

    pub(super) fn answer(&mut self, caller: CallerId, job: &JobId, outcome: JobOutcome) {
        let Some(answered) = self.callers.swap_remove(&caller) else {
            return;
        };
        assert_eq!(
            answered.job.id, *job,
            "the answer names another job than the caller's"
        );
        let width = answered.job.steps.iter().map(|step| step.tasks).sum();
        self.judge.answered(self.at, job, width, outcome);
        if outcome == JobOutcome::Expired && self.has_faults && !answered.is_copy {
            self.schedule(RESUBMIT_AFTER, Event::Resubmit(answered.job));
        }
    }

    pub(super) fn send_agent(&mut self, agent: usize, entry: usize, input: Input) {
        if self.links[agent][entry].is_open {
            let delay = delay(agent, entry);
            self.send_input(Node::Agent(agent), delay, input);
        }
    }

    pub(super) fn agent_input(&mut self, number: usize, input: Input) {
        let input = match input {
            Input::Tick => {
                self.send_input(Node::Agent(number), AGENT_TICK, Input::Tick);
                GuardInput::Tick
            }
            Input::LinkUp(entry, generation) => {
                if self.links[number][entry].generation != generation {
                    return;
                }
                GuardInput::LinkUp(entry_name(entry), self.entries[entry].run, "zone".into())
            }
            Input::LinkDown(entry, generation) => {
                if self.links[number][entry].generation != generation {
                    return;
                }
                GuardInput::LinkDown(entry_name(entry))
            }
            Input::Proven(entry, generation, at) => {
                if self.links[number][entry].generation != generation {
                    return;
                }
                GuardInput::Proven(entry_name(entry), self.now(at).instant)
            }
            Input::Assign(entry, generation, assignment) => {
                if self.links[number][entry].generation != generation {
                    return;
                }
                GuardInput::Assign(entry_name(entry), assignment)
            }
            Input::Revoke(entry, generation, revocation) => {
                if self.links[number][entry].generation != generation {
                    return;
                }
                GuardInput::Revoke(entry_name(entry), revocation)
            }
            Input::Announced(announcement) => GuardInput::Announced(announcement),
            Input::EndpointEnded(endpoint) => GuardInput::EndpointEnded(endpoint),
            Input::Answered(order, input) => {
                if self.agents[number].orders.swap_remove(&order).is_none() {
                    return;
                }
                input
            }
            Input::FromAgent(..) | Input::Dispatch(_) => return,
        };
        let now = self.now(self.at);
        let is_tick = input == GuardInput::Tick;
        for action in self.agents[number].machine.handle(now, input) {
            self.agent_action(number, action);
        }
        let next_wakeup = self.agents[number].machine.next_wakeup(now.instant);
        assert!(
            !is_tick || next_wakeup.is_none_or(|at| at > now.instant),
            "agent {number} has an elapsed deadline after a tick and would spin"
        );
    }
}

/// Returns the delay of messages on a link; it is fixed, so that the messages
/// keep their order.
pub(super) fn delay(agent: usize, entry: usize) -> Millis {
    1 + u64::try_from((agent + entry) % 3).unwrap()
}

pub(super) fn new_entry(run: u64) -> FakeEntry {
    FakeEntry {
        machine: Dispatcher::new("zone".into()),
        links: [0; AGENTS],
        run,
        is_up: true,
        frozen_until: 0,
    }
}

pub(super) fn new_agent(run: u64, first_number: u64) -> FakeAgent {
    FakeAgent {
        machine: GuardMachine::new(GuardConf {
            first_number,
            ..GuardConf::default()
        }),
        run,
        is_up: true,
        frozen_until: 0,
        orders: IndexMap::new(),
    }
}

pub(super) fn route() -> Route {
    Route {
        id: "route".into(),
        host: "host".into(),
        path_prefix: "/path/".into(),
        service: "service".into(),
        priority: 0,
        attempts: 3,
        stretch: 1.6,
        target_latency: Duration::from_millis(60),
        timeout: None,
        needs_advice: false,
    }
}

pub(super) fn entry_name(number: usize) -> EntryId {
    format!("entry-{number}").into()
}

pub(super) fn agent_name(number: usize) -> Arc<str> {
    format!("agent-{number}").into()
}

pub(super) fn entry_number(name: &str) -> usize {
    name.trim_start_matches("entry-").parse().unwrap()
}

pub(super) fn agent_number(name: &str) -> usize {
    name.trim_start_matches("agent-").parse().unwrap()
}
