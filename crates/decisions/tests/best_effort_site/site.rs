//! Processes, links and endpoints on one clock, and what befalls them.

use {
    super::{
        Millis,
        endpoint::{FakeEndpoint, TASK_CPU},
        judge::Judge,
    },
    chestnutrun_decisions::{
        guard::{
            Announcement, Answer, GuardAction, GuardConf, GuardInput, GuardMachine, GuardMessage,
            ListOrder, StartOrder, StopOrder,
        },
        placement::{CallerId, DispatchAction, DispatchInput, Dispatcher, JobOutcome, Submission},
    },
    chestnutrun_types::{
        Assignment, BestEffortJob, EntryId, JobId, Now, Revocation, Room, Route, StepSpec,
    },
    indexmap::IndexMap,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        collections::BTreeMap,
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant, SystemTime},
    },
};

const ENTRIES: usize = 2;
const AGENTS: usize = 3;
const ENTRY_TICK: Millis = 25;
const AGENT_TICK: Millis = 50;
const PROBE_INTERVAL: Millis = 180;
const SILENCE_LIMIT: Millis = 600;
const ANNOUNCE_INTERVAL: Millis = 1_500;
const RESUBMIT_AFTER: Millis = 1_300;
const CALLER_WAITS: Millis = 3_000;
const MEAN_FAULT_PAUSE: Millis = 500;
const MEAN_SUBMISSION_PAUSE: Millis = 40;

/// Something that happens.
#[derive(Clone, Debug)]
enum Event {
    Submit,
    Resubmit(Rc<BestEffortJob>),
    Fault,
    Thaw(Node),
    Restart(Node),
    EndpointRestarts(usize),
    Announce(usize),
    Probe(usize, usize),
    Heal(usize, usize, u64),
    /// To one run of one process.
    Process(Node, u64, Input),
    /// Reaches the endpoint beside an agent; false loses the answer.
    Order(usize, u64, Order, bool),
    GiveUpOrder(usize, u64, u64),
    CallerLeaves(CallerId),
    EndpointMoves(usize),
}

/// One process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Node {
    Entry(usize),
    Agent(usize),
}

/// What a process is told; a number of a link's generation goes with messages.
#[derive(Clone, Debug)]
enum Input {
    Tick,
    LinkUp(usize, u64),
    LinkDown(usize, u64),
    Proven(usize, u64, Millis),
    FromAgent(usize, u64, GuardMessage),
    Assign(usize, u64, Assignment),
    Revoke(usize, u64, Revocation),
    Announced(Announcement),
    Answered(u64, GuardInput),
    Dispatch(DispatchInput),
}

/// An order to an endpoint, with its number at the agent.
#[derive(Clone, Debug)]
enum Order {
    Start(u64, StartOrder),
    Stop(u64, StopOrder),
    List(u64, ListOrder, Millis),
}

#[derive(Debug)]
struct FakeEntry {
    machine: Dispatcher,
    /// Generation of the newest link to each agent that the entry knows.
    links: [u64; AGENTS],
    run: u64,
    is_up: bool,
    frozen_until: Millis,
}

#[derive(Debug)]
struct FakeAgent {
    machine: GuardMachine,
    run: u64,
    is_up: bool,
    frozen_until: Millis,
    orders: IndexMap<u64, GuardInput>,
}

#[derive(Clone, Copy, Debug)]
struct Link {
    generation: u64,
    is_open: bool,
    cut_until: Millis,
}

#[derive(Debug)]
struct Caller {
    entry: usize,
    job: Rc<BestEffortJob>,
}

/// Processes, links and endpoints on one clock.
#[derive(Debug)]
pub struct Site {
    rng: StdRng,
    at: Millis,
    begin: Instant,
    queue: BTreeMap<(Millis, u64), Event>,
    /// What frozen processes are told once they wake, in its order.
    backlogs: Vec<(Node, u64, Input)>,
    next_event: u64,
    next_order: u64,
    next_caller: CallerId,
    next_job: u64,
    entries: Vec<FakeEntry>,
    agents: Vec<FakeAgent>,
    endpoints: Vec<FakeEndpoint>,
    links: Vec<Vec<Link>>,
    callers: IndexMap<CallerId, Caller>,
    work: IndexMap<JobId, Millis>,
    late_share: f64,
    lost_share: f64,
    has_faults: bool,
    traced: Option<String>,
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
            traced: std::env::var("CHESTNUTRUN_TRACE").ok(),
            judge: Judge::default(),
        };
        for entry in 0..ENTRIES {
            site.after(1, Event::Process(Node::Entry(entry), 0, Input::Tick));
        }
        for agent in 0..AGENTS {
            site.after(1, Event::Process(Node::Agent(agent), 0, Input::Tick));
            site.after(5, Event::Announce(agent));
            site.after(1, Event::EndpointMoves(agent));
            for entry in 0..ENTRIES {
                site.after(1, Event::Heal(agent, entry, 0));
                site.after(1, Event::Probe(agent, entry));
            }
        }
        site.after(100, Event::Submit);
        site.after(300, Event::Fault);
        site
    }

    /// Runs with submissions and faults.
    pub fn run(&mut self, length: Millis) {
        let end = self.at + length;
        self.run_until(end);
    }

    /// Runs without new submissions or faults.
    pub fn settle(&mut self, length: Millis) {
        self.has_faults = false;
        (self.late_share, self.lost_share) = (0.0, 0.0);
        let end = self.at + length;
        self.run_until(end);
    }

    /// Returns how many callers wait, and how many jobs entries hold.
    pub fn unanswered(&self) -> (usize, usize) {
        let held = self.entries.iter().map(|entry| entry.machine.jobs()).sum();
        (self.callers.len(), held)
    }

    fn run_until(&mut self, end: Millis) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.at = self.at.max(at);
            self.event(event);
        }
        self.at = end;
    }

    fn after(&mut self, pause: Millis, event: Event) {
        self.next_event += 1;
        self.queue.insert((self.at + pause, self.next_event), event);
    }

    fn now(&self, at: Millis) -> Now {
        Now {
            instant: self.begin + Duration::from_millis(at),
            wall: SystemTime::UNIX_EPOCH + Duration::from_millis(1_000_000 + at),
        }
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Submit => self.submit_new(),
            Event::Resubmit(job) => self.submit(job),
            Event::Fault => self.fault(),
            Event::Thaw(node) => self.thaw(node),
            Event::Restart(node) => self.restart(node),
            Event::EndpointRestarts(number) => {
                self.endpoints[number].restart(self.at);
                let announced_after = self.rng.random_range(1..400);
                self.after(announced_after, Event::Announce(number));
            }
            Event::Announce(number) => self.announce(number),
            Event::Probe(agent, entry) => self.probe(agent, entry),
            Event::Heal(agent, entry, generation) => self.heal(agent, entry, generation),
            Event::Process(node, run, input) => self.process(node, run, input),
            Event::Order(agent, run, order, is_answered) => {
                self.order(agent, run, order, is_answered);
            }
            Event::GiveUpOrder(agent, run, order) => self.give_up_order(agent, run, order),
            Event::CallerLeaves(caller) => self.caller_leaves(caller),
            Event::EndpointMoves(number) => {
                self.endpoints[number].advance(self.at, &mut self.judge);
                self.after(2, Event::EndpointMoves(number));
            }
        }
    }

    fn submit_new(&mut self) {
        if !self.has_faults {
            return;
        }
        let pause = self.rng.random_range(1..MEAN_SUBMISSION_PAUSE * 2);
        self.after(pause, Event::Submit);
        let id: JobId = format!("{:016x}", self.next_job).into();
        self.next_job += 1;
        let work = self.rng.random_range(10..400);
        self.work.insert(id.clone(), work);
        let step = |tasks, after: Vec<u16>| StepSpec {
            tasks,
            need: Room {
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

    fn submit(&mut self, job: Rc<BestEffortJob>) {
        let entry = self.rng.random_range(0..ENTRIES);
        if !self.entries[entry].is_up {
            if self.has_faults {
                self.after(RESUBMIT_AFTER, Event::Resubmit(job));
            }
            return;
        }
        self.judge.submitted(&job.id);
        let caller = self.next_caller;
        self.next_caller += 1;
        let deadline = self.now(self.at + CALLER_WAITS).instant;
        let submission = Submission {
            caller,
            route: Arc::new(route()),
            job: job.clone(),
            deadline,
        };
        self.callers.insert(caller, Caller { entry, job });
        if self.rng.random_bool(0.05) {
            let pause = self.rng.random_range(1..500);
            self.after(pause, Event::CallerLeaves(caller));
        }
        let input = Input::Dispatch(DispatchInput::Submit(submission));
        self.tell(Node::Entry(entry), 1, input);
    }

    fn caller_leaves(&mut self, caller: CallerId) {
        if let Some(gone) = self.callers.swap_remove(&caller) {
            let input = Input::Dispatch(DispatchInput::Gone(caller));
            self.tell(Node::Entry(gone.entry), 1, input);
        }
    }

    /// Tells the present run of a process something.
    fn tell(&mut self, node: Node, delay: Millis, input: Input) {
        let run = match node {
            Node::Entry(number) => self.entries[number].run,
            Node::Agent(number) => self.agents[number].run,
        };
        self.after(delay, Event::Process(node, run, input));
    }

    fn fault(&mut self) {
        if !self.has_faults {
            return;
        }
        let pause = self.rng.random_range(1..MEAN_FAULT_PAUSE * 2);
        self.after(pause, Event::Fault);
        let entry = self.rng.random_range(0..ENTRIES);
        let agent = self.rng.random_range(0..AGENTS);
        let length = self.rng.random_range(50..2_500);
        let node = if self.rng.random_bool(0.5) {
            Node::Entry(entry)
        } else {
            Node::Agent(agent)
        };
        match self.rng.random_range(0..10) {
            0 => self.kill(node, length),
            1 | 2 => self.freeze(node, length),
            3 => self.cut(agent, entry, length),
            4 => self.cut(agent, entry, 0),
            5 => self.endpoint_crash(agent, length),
            6 => self.endpoints[agent].fails_until = self.at + length,
            7 => self.endpoints[agent].stalls_until = self.at + length,
            8 => self.late_share = if self.late_share > 0.0 { 0.0 } else { 0.07 },
            _ => self.lost_share = if self.lost_share > 0.0 { 0.0 } else { 0.07 },
        }
    }

    fn endpoint_crash(&mut self, number: usize, length: Millis) {
        if self.endpoints[number].is_up {
            self.endpoints[number].crash(&mut self.judge);
            self.after(length, Event::EndpointRestarts(number));
        }
    }

    fn freeze(&mut self, node: Node, length: Millis) {
        self.trace(&("fault freeze", node, length));
        let until = self.at + length;
        match node {
            Node::Entry(number) => {
                let entry = &mut self.entries[number];
                entry.frozen_until = entry.frozen_until.max(until);
            }
            Node::Agent(number) => {
                let agent = &mut self.agents[number];
                agent.frozen_until = agent.frozen_until.max(until);
            }
        }
        self.after(length, Event::Thaw(node));
        let peers: Vec<(usize, usize)> = match node {
            Node::Entry(entry) => (0..AGENTS).map(|agent| (agent, entry)).collect(),
            Node::Agent(agent) => (0..ENTRIES).map(|entry| (agent, entry)).collect(),
        };
        // The other side closes links that are silent for too long.
        if length > SILENCE_LIMIT {
            for (agent, entry) in peers {
                self.cut(agent, entry, length);
            }
        }
        if let Node::Entry(entry) = node
            && length > CALLER_WAITS / 2
        {
            self.break_callers(entry);
        }
    }

    fn thaw(&mut self, node: Node) {
        for (told, run, input) in std::mem::take(&mut self.backlogs) {
            if told == node {
                self.process(told, run, input);
            } else {
                self.backlogs.push((told, run, input));
            }
        }
    }

    fn kill(&mut self, node: Node, length: Millis) {
        self.trace(&("fault kill", node, length));
        match node {
            Node::Entry(number) if self.entries[number].is_up => {
                self.entries[number].is_up = false;
                self.break_callers(number);
                for agent in 0..AGENTS {
                    self.cut(agent, number, 0);
                }
            }
            Node::Agent(number) if self.agents[number].is_up => {
                self.agents[number].is_up = false;
                for entry in 0..ENTRIES {
                    self.cut(number, entry, 0);
                }
            }
            _ => return,
        }
        self.after(length, Event::Restart(node));
    }

    /// Callers whose connection broke submit again.
    fn break_callers(&mut self, entry: usize) {
        let broken: Vec<CallerId> = self
            .callers
            .iter()
            .filter(|(_, caller)| caller.entry == entry)
            .map(|(id, _)| *id)
            .collect();
        for id in broken {
            let Some(caller) = self.callers.swap_remove(&id) else {
                continue;
            };
            let input = Input::Dispatch(DispatchInput::Gone(id));
            self.tell(Node::Entry(entry), 1, input);
            self.after(RESUBMIT_AFTER, Event::Resubmit(caller.job));
        }
    }

    fn restart(&mut self, node: Node) {
        let at = self.at;
        match node {
            Node::Entry(number) => {
                let run = self.entries[number].run + 1;
                self.entries[number] = new_entry(run);
            }
            Node::Agent(number) => {
                let run = self.agents[number].run + 1;
                self.agents[number] = new_agent(run, 1_000_000 + at);
            }
        }
        self.tell(node, 1, Input::Tick);
        for agent in 0..AGENTS {
            for entry in 0..ENTRIES {
                if node == Node::Entry(entry) || node == Node::Agent(agent) {
                    let generation = self.links[agent][entry].generation;
                    self.after(5, Event::Heal(agent, entry, generation));
                }
            }
        }
    }

    /// Cuts a link for a time; 0 resets it.
    fn cut(&mut self, agent: usize, entry: usize, length: Millis) {
        self.trace(&("fault cut", agent, entry, length));
        let link = &mut self.links[agent][entry];
        link.cut_until = link.cut_until.max(self.at + length);
        let noticed = if length == 0 { 1 } else { SILENCE_LIMIT };
        if link.is_open {
            link.is_open = false;
            let generation = link.generation;
            self.tell(
                Node::Entry(entry),
                noticed,
                Input::LinkDown(agent, generation),
            );
            self.tell(
                Node::Agent(agent),
                noticed,
                Input::LinkDown(entry, generation),
            );
        }
        let generation = self.links[agent][entry].generation;
        let heal = noticed.max(length) + self.rng.random_range(1..250);
        self.after(heal, Event::Heal(agent, entry, generation));
    }

    fn heal(&mut self, agent: usize, entry: usize, generation: u64) {
        let is_up = self.entries[entry].is_up && self.agents[agent].is_up;
        let link = &mut self.links[agent][entry];
        if link.is_open || link.generation != generation || !is_up {
            return;
        }
        if link.cut_until > self.at {
            let wait = link.cut_until - self.at + 10;
            self.after(wait, Event::Heal(agent, entry, generation));
            return;
        }
        link.is_open = true;
        link.generation += 1;
        let generation = link.generation;
        self.tell(Node::Agent(agent), 1, Input::LinkUp(entry, generation));
        self.tell(Node::Entry(entry), 1, Input::LinkUp(agent, generation));
    }

    /// Probes a link; the answer proves that the entry was alive when the
    /// probe left.
    fn probe(&mut self, agent: usize, entry: usize) {
        self.after(PROBE_INTERVAL, Event::Probe(agent, entry));
        let link = self.links[agent][entry];
        let is_answered = link.is_open
            && self.entries[entry].is_up
            && self.entries[entry].frozen_until <= self.at
            && self.agents[agent].frozen_until <= self.at;
        if is_answered {
            let input = Input::Proven(entry, link.generation, self.at);
            self.tell(Node::Agent(agent), 2, input);
        }
    }

    fn announce(&mut self, number: usize) {
        let endpoint = &mut self.endpoints[number];
        if !endpoint.is_up {
            return;
        }
        let announcement = endpoint.announce(self.at);
        if self.agents[number].is_up {
            self.tell(Node::Agent(number), 1, Input::Announced(announcement));
        }
        self.after(ANNOUNCE_INTERVAL, Event::Announce(number));
    }

    /// Shows what concerns a job, for a failed seed: `CHESTNUTRUN_TRACE` holds
    /// a part of what is shown.
    fn trace(&self, what: &dyn std::fmt::Debug) {
        if let Some(part) = &self.traced {
            let text = format!("{what:?}");
            if text.contains(part) {
                println!("{} {text}", self.at);
            }
        }
    }

    fn process(&mut self, node: Node, run: u64, input: Input) {
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

    fn entry_input(&mut self, number: usize, input: Input) {
        let input = match input {
            Input::Tick => {
                self.tell(Node::Entry(number), ENTRY_TICK, Input::Tick);
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
                    GuardMessage::Endpoint(info) => DispatchInput::Endpoint(name, info),
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

    fn entry_action(&mut self, number: usize, action: DispatchAction) {
        self.trace(&(Node::Entry(number), &action));
        match action {
            DispatchAction::Note(_) => {}
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

    fn answer(&mut self, caller: CallerId, job: &JobId, outcome: JobOutcome) {
        let Some(answered) = self.callers.swap_remove(&caller) else {
            return;
        };
        assert_eq!(answered.job.id, *job, "the answer is to another job");
        let width = answered.job.steps.iter().map(|step| step.tasks).sum();
        self.judge.answered(self.at, job, width, outcome);
        if outcome == JobOutcome::Expired && self.has_faults {
            self.after(RESUBMIT_AFTER, Event::Resubmit(answered.job));
        }
    }

    fn send_agent(&mut self, agent: usize, entry: usize, input: Input) {
        if self.links[agent][entry].is_open {
            let delay = delay(agent, entry);
            self.tell(Node::Agent(agent), delay, input);
        }
    }

    fn agent_input(&mut self, number: usize, input: Input) {
        let input = match input {
            Input::Tick => {
                self.tell(Node::Agent(number), AGENT_TICK, Input::Tick);
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
            Input::Answered(order, input) => {
                if self.agents[number].orders.swap_remove(&order).is_none() {
                    return;
                }
                input
            }
            Input::FromAgent(..) | Input::Dispatch(_) => return,
        };
        let now = self.now(self.at);
        for action in self.agents[number].machine.handle(now, input) {
            self.agent_action(number, action);
        }
    }

    fn agent_action(&mut self, number: usize, action: GuardAction) {
        self.trace(&(Node::Agent(number), &action));
        match action {
            GuardAction::Note(_) => {}
            GuardAction::Send(entry, message) => {
                let entry = entry_number(&entry);
                let link = self.links[number][entry];
                if link.is_open {
                    let delay = delay(number, entry);
                    let input = Input::FromAgent(number, link.generation, message);
                    self.tell(Node::Entry(entry), delay, input);
                }
            }
            GuardAction::Start(order) => {
                let unknown = GuardInput::Started(order.incarnation, order.run, Answer::Unknown);
                let answer_by = order.answer_by;
                self.send_order(number, unknown, answer_by, |id| Order::Start(id, order));
            }
            GuardAction::Stop(order) => {
                let unknown = GuardInput::Stopped(order.incarnation, order.run, Answer::Unknown);
                let answer_by = order.answer_by;
                self.send_order(number, unknown, answer_by, |id| Order::Stop(id, order));
            }
            GuardAction::List(order) => {
                let unknown = GuardInput::Listed(order.incarnation, order.clone(), Answer::Unknown);
                let wait = u64::try_from(order.wait.as_millis()).unwrap();
                let (answer_by, until) = (order.answer_by, self.at + wait);
                self.send_order(number, unknown, answer_by, |id| {
                    Order::List(id, order, until)
                });
            }
        }
    }

    fn send_order(
        &mut self,
        number: usize,
        unknown: GuardInput,
        answer_by: Instant,
        order: impl FnOnce(u64) -> Order,
    ) {
        let id = self.next_order;
        self.next_order += 1;
        let run = self.agents[number].run;
        self.agents[number].orders.insert(id, unknown);
        let patience = answer_by.saturating_duration_since(self.now(self.at).instant);
        let patience = u64::try_from(patience.as_millis()).unwrap();
        self.after(patience, Event::GiveUpOrder(number, run, id));
        let (delay, is_answered) = if self.rng.random_bool(self.late_share) {
            (self.rng.random_range(2_000..6_000), false)
        } else {
            let is_answered = !self.rng.random_bool(self.lost_share);
            (self.rng.random_range(0..3), is_answered)
        };
        self.after(delay, Event::Order(number, run, order(id), is_answered));
    }

    fn give_up_order(&mut self, number: usize, run: u64, id: u64) {
        if self.agents[number].run != run {
            return;
        }
        if let Some(unknown) = self.agents[number].orders.get(&id).cloned() {
            let input = Input::Answered(id, unknown);
            self.after(0, Event::Process(Node::Agent(number), run, input));
        }
    }

    /// Lets an order reach the endpoint, whether or not the agent still lives.
    fn order(&mut self, number: usize, run: u64, order: Order, is_answered: bool) {
        self.trace(&("order", number, &order, is_answered));
        let at = self.at;
        let endpoint = &mut self.endpoints[number];
        if !endpoint.is_up {
            return;
        }
        let judge = &mut self.judge;
        let (id, answer) = match order {
            Order::Start(id, order) => {
                let work = self.work.get(&order.task.job).copied().unwrap_or(1);
                let answer = endpoint.start(at, &order, work, judge);
                (
                    id,
                    GuardInput::Started(order.incarnation, order.run, answer),
                )
            }
            Order::Stop(id, order) => {
                let takes = self.rng.random_range(0..50);
                let answer = endpoint.stop(at, &order, takes, judge);
                (
                    id,
                    GuardInput::Stopped(order.incarnation, order.run, answer),
                )
            }
            Order::List(id, order, until) => {
                endpoint.advance(at, judge);
                if at < until && !endpoint.has_ends(&order) {
                    let again = Order::List(id, order, until);
                    self.after(5, Event::Order(number, run, again, is_answered));
                    return;
                }
                let answer = endpoint.list(at, &order, judge);
                (id, GuardInput::Listed(order.incarnation, order, answer))
            }
        };
        if is_answered && self.agents[number].run == run {
            let delay = self.rng.random_range(0..2);
            let input = Input::Answered(id, answer);
            self.after(delay, Event::Process(Node::Agent(number), run, input));
        }
    }
}

/// Messages on one link keep their order.
fn delay(agent: usize, entry: usize) -> Millis {
    1 + u64::try_from((agent + entry) % 3).unwrap()
}

fn new_entry(run: u64) -> FakeEntry {
    FakeEntry {
        machine: Dispatcher::new("zone".into()),
        links: [0; AGENTS],
        run,
        is_up: true,
        frozen_until: 0,
    }
}

fn new_agent(run: u64, first_number: u64) -> FakeAgent {
    FakeAgent {
        machine: GuardMachine::new(GuardConf { first_number }),
        run,
        is_up: true,
        frozen_until: 0,
        orders: IndexMap::new(),
    }
}

fn route() -> Route {
    Route {
        id: "route".into(),
        host: "host".into(),
        path_prefix: "/path/".into(),
        service: "service".into(),
        priority: 0,
        attempts: 3,
        stretch: 1.6,
        target_latency: Duration::from_millis(60),
        needs_advice: false,
    }
}

fn entry_name(number: usize) -> EntryId {
    format!("entry-{number}").into()
}

fn agent_name(number: usize) -> Arc<str> {
    format!("agent-{number}").into()
}

fn entry_number(name: &str) -> usize {
    name.trim_start_matches("entry-").parse().unwrap()
}

fn agent_number(name: &str) -> usize {
    name.trim_start_matches("agent-").parse().unwrap()
}
