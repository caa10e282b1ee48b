//! The simulated site: its processes, links and table on one virtual clock, with
//! random load and faults.

use {
    super::{
        Millis, Node,
        agent::{FakeAgent, to_wire},
        entry::{Effect, FakeEntry},
        judge::{Judge, JudgedRequest, output},
        links::{FakeLink, FakeLinkId},
        table::FakeTable,
    },
    chestnutrun_decisions::{
        agent::{AgentAction, AgentInput, RunOutcome},
        front::{Request, WaiterId},
        membership::MembershipInput,
    },
    chestnutrun_protocol::{Hello, Message},
    chestnutrun_types::{
        BodyDigest, Contract, JobRef, JobSpec, Now, Overflow, Start, Submit, TableRow,
        TableSnapshot, TableWrite, TaskRef, TaskSpec, WriteResult,
    },
    indexmap::{IndexMap, IndexSet},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{collections::BTreeMap, time::Duration},
};

/// Number of entries.
const ENTRIES: usize = 3;
/// Number of agents, each with one endpoint.
const AGENTS: usize = 3;
const ENTRY_TICK: Millis = 50;
const AGENT_TICK: Millis = 100;
const REDIAL_DELAY: Millis = 200;
/// Longest time until a process notices that a link broke; a process that is frozen
/// for longer loses its links.
const SILENCE_LIMIT: Millis = 1_500;
/// Time after which a read or write without a reply from the table fails.
const TABLE_TIMEOUT: Millis = 500;
const MEAN_FAULT_INTERVAL: Millis = 700;
const MEAN_REQUEST_INTERVAL: Millis = 60;
/// Number of job keys from which callers choose in each period of four seconds.
const KEYS: u16 = 60;

/// An event that is scheduled for one process.
#[derive(Clone, Debug)]
enum Event {
    Tick,
    Dial(Node),
    /// A link opened; true at the end that dialed.
    Up(FakeLinkId, bool),
    Down(FakeLinkId),
    Message(FakeLinkId, Message),
    /// The reply to a read; none if the read failed.
    TableRead(Option<Box<TableSnapshot>>),
    TableWritten(TableWrite, WriteResult),
    /// An endpoint reported the end of a task.
    TaskEnded(TaskRef, RunOutcome),
    /// A frozen process continues.
    Resume,
    Restart,
    /// A write reaches the table, even if its writer has been killed.
    ApplyWrite(TableWrite),
}

/// A caller that waits for a reply.
#[derive(Clone, Debug)]
struct Caller {
    entry: usize,
    judged_request: JudgedRequest,
    judged: bool,
}

/// State of one process, without its machines.
#[derive(Debug, Default)]
struct Process {
    run: u64,
    dead: bool,
    frozen: bool,
    deferred: Vec<(u64, Event)>,
}

/// A simulated site with seeded load and faults.
#[derive(Debug)]
pub struct Site {
    /// Checks the replies that callers get.
    pub judge: Judge,
    rng: StdRng,
    started_at: Now,
    at: Millis,
    sequence: u64,
    queue: BTreeMap<(Millis, u64), (Node, u64, Event)>,
    table: FakeTable,
    entries: Vec<FakeEntry>,
    agents: Vec<FakeAgent>,
    processes: IndexMap<Node, Process>,
    links: Vec<FakeLink>,
    closed: IndexSet<(Node, FakeLinkId)>,
    blocked: IndexMap<(Node, Node), Millis>,
    callers: IndexMap<WaiterId, Caller>,
    next_waiter: WaiterId,
    next_run: u64,
}

impl Site {
    /// Creates a site whose load, faults and delays are drawn from `seed`.
    pub fn new(seed: u64) -> Self {
        let mut site = Self {
            judge: Judge::default(),
            rng: StdRng::seed_from_u64(seed),
            started_at: Now::read(),
            at: 0,
            sequence: 0,
            queue: BTreeMap::new(),
            table: FakeTable::default(),
            entries: (0..ENTRIES).map(|n| FakeEntry::new(n, 1)).collect(),
            agents: (0..AGENTS).map(|n| FakeAgent::new(n, 1)).collect(),
            processes: IndexMap::new(),
            links: Vec::new(),
            closed: IndexSet::new(),
            blocked: IndexMap::new(),
            callers: IndexMap::new(),
            next_waiter: 0,
            next_run: 1,
        };
        let contract = Contract::builder("letters")
            .in_flight_limit(6)
            .queue_limit(10_000)
            .overflow(Overflow::Queue)
            .token_hash("0".repeat(64))
            .build()
            .expect("the contract is valid");
        site.table.write(&TableWrite {
            row: TableRow::Contract(contract),
            expected: 0,
        });
        for node in nodes() {
            site.processes.insert(node, Process::default());
            site.boot(node);
        }
        site
    }

    /// Runs the site under load for `time`, with random faults if `faults` is set.
    pub fn run(&mut self, time: Millis, faults: bool) {
        let end = self.at + time;
        let mut next_fault = self.at + self.random_delay(MEAN_FAULT_INTERVAL);
        let mut next_request = self.at + self.random_delay(MEAN_REQUEST_INTERVAL);
        while self.at < end {
            let next_event = self.queue.first_key_value().map_or(end, |(key, _)| key.0);
            self.at = next_event.min(next_fault).min(next_request).max(self.at);
            if self.at == next_fault {
                if faults {
                    self.inject_fault();
                }
                next_fault = self.at + self.random_delay(MEAN_FAULT_INTERVAL);
            } else if self.at == next_request {
                self.send_request();
                next_request = self.at + self.random_delay(MEAN_REQUEST_INTERVAL);
            } else {
                self.step();
            }
        }
    }

    /// Ends every fault and runs the site for `time` without new load.
    pub fn settle(&mut self, time: Millis) {
        self.table.down = false;
        self.table.cut_off.clear();
        self.blocked.clear();
        for node in nodes() {
            if self.processes[&node].frozen {
                self.resume(node);
            }
        }
        let end = self.at + time;
        while self.at < end {
            let Some((key, _)) = self.queue.first_key_value() else {
                return;
            };
            self.at = key.0;
            self.step();
        }
    }

    /// Makes the table unreachable for every process.
    pub fn take_table_down(&mut self) {
        self.table.down = true;
    }

    /// Kills the process of an entry without a restart.
    pub fn kill_entry(&mut self, number: usize) {
        self.kill(Node::Entry(number));
        let run = self.processes[&Node::Entry(number)].run;
        self.queue
            .retain(|_, (node, of_run, _)| (*node, *of_run) != (Node::Entry(number), run));
    }

    /// Describes the callers that still wait for a reply.
    pub fn waiting_callers(&self) -> Vec<String> {
        self.callers
            .values()
            .map(|caller| format!("{} at entry-{}", caller.judged_request.job, caller.entry))
            .collect()
    }

    /// Returns the numbers of the entries that serve the shard, with their epochs.
    pub fn serving_entries(&self) -> Vec<(usize, u64)> {
        let epochs = self.entries.iter().map(FakeEntry::serving_epoch);
        (0..)
            .zip(epochs)
            .filter_map(|(n, e)| Some((n, e?)))
            .collect()
    }

    fn now(&self) -> Now {
        self.started_at.later(Duration::from_millis(self.at))
    }

    fn random_delay(&mut self, mean: Millis) -> Millis {
        self.rng.random_range(1..=2 * mean)
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn schedule(&mut self, node: Node, after: Millis, event: Event) {
        let run = self.processes[&node].run;
        self.schedule_for(node, run, self.at + after, event);
    }

    fn schedule_for(&mut self, node: Node, run: u64, at: Millis, event: Event) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), (node, run, event));
    }

    fn step(&mut self) {
        let Some((_, (node, run, event))) = self.queue.pop_first() else {
            return;
        };
        match event {
            Event::ApplyWrite(write) => return self.apply_write(node, run, write),
            Event::Resume => return self.resume(node),
            Event::Restart => return self.boot(node),
            _ => {}
        }
        let process = &mut self.processes[&node];
        if process.dead || process.run != run {
            return;
        }
        if process.frozen {
            process.deferred.push((run, event));
            return;
        }
        match &event {
            Event::Down(link) => _ = self.closed.insert((node, *link)),
            Event::Up(link, _) | Event::Message(link, _)
                if self.closed.contains(&(node, *link)) =>
            {
                return;
            }
            _ => {}
        }
        match node {
            Node::Entry(number) => self.entry_event(number, event),
            Node::Agent(number) => self.agent_event(number, event),
        }
    }

    fn boot(&mut self, node: Node) {
        self.next_run += 1;
        let run = self.next_run;
        self.processes[&node] = Process {
            run,
            ..Process::default()
        };
        match node {
            Node::Entry(number) => self.entries[number] = FakeEntry::new(number, run),
            Node::Agent(number) => self.agents[number] = FakeAgent::new(number, run),
        }
        self.schedule(node, 1, Event::Tick);
        for number in 0..ENTRIES {
            if node != Node::Entry(number) {
                let after = self.random_delay(20);
                self.schedule(node, after, Event::Dial(Node::Entry(number)));
            }
        }
    }

    fn entry_event(&mut self, number: usize, event: Event) {
        let (now, node) = (self.now(), Node::Entry(number));
        let entry = &mut self.entries[number];
        match event {
            Event::Tick => {
                entry.tick(now);
                self.schedule(node, ENTRY_TICK, Event::Tick);
            }
            Event::Dial(to) => self.dial(node, to),
            Event::Up(link, dialed) => {
                let peer = self.links[link].other_end(node).0;
                let name = match peer {
                    Node::Entry(peer) if dialed => Some(format!("entry-{peer}").into()),
                    _ => None,
                };
                entry.link_up(now, link, name);
                if dialed {
                    let hello = Hello::Entry(self.entries[number].me.clone());
                    self.send(node, link, Message::Hello(hello));
                }
            }
            Event::Down(link) => {
                entry.link_down(now, link);
                self.redial(node, link);
            }
            Event::Message(link, message) => entry.message(now, link, message),
            Event::TableRead(Some(snapshot)) => {
                entry.membership(now, MembershipInput::Read(snapshot));
            }
            Event::TableRead(None) => entry.membership(now, MembershipInput::ReadFailed),
            Event::TableWritten(write, result) => {
                entry.membership(now, MembershipInput::Written(write, result));
            }
            _ => {}
        }
        self.apply_effects(number);
    }

    fn apply_effects(&mut self, number: usize) {
        let node = Node::Entry(number);
        for effect in self.entries[number].take_effects() {
            match effect {
                Effect::Read => self.read_table(node),
                Effect::Write(write) => {
                    let mean = if self.chance(10) { 1_500 } else { 15 };
                    let after = self.random_delay(mean);
                    self.schedule(node, after, Event::ApplyWrite(write));
                }
                Effect::Send(link, message) => self.send(node, link, message),
                Effect::Answer(waiter, reply) => {
                    if let Some(caller) = self.callers.swap_remove(&waiter)
                        && caller.judged
                    {
                        let judged_request = caller.judged_request;
                        let mut others = self.callers.values();
                        let is_last =
                            others.all(|other| other.judged_request.job != judged_request.job);
                        self.judge.replied(&judged_request, &reply, is_last);
                    }
                }
            }
        }
    }

    fn read_table(&mut self, node: Node) {
        if self.is_table_unreachable(node) {
            return self.schedule(node, TABLE_TIMEOUT, Event::TableRead(None));
        }
        let mean = if self.chance(10) { 400 } else { 10 };
        let after = self.random_delay(mean);
        let rows = Box::new(self.table.rows.clone());
        self.schedule(node, after, Event::TableRead(Some(rows)));
    }

    fn is_table_unreachable(&self, node: Node) -> bool {
        self.table.down || self.table.cut_off.contains(&node)
    }

    fn apply_write(&mut self, node: Node, run: u64, write: TableWrite) {
        let is_unreachable = self.is_table_unreachable(node);
        let lost = is_unreachable || self.chance(15);
        let mut result = WriteResult::Unknown;
        if !is_unreachable {
            result = self.table.write(&write);
        }
        let (result, after) = if lost {
            (WriteResult::Unknown, TABLE_TIMEOUT)
        } else {
            (result, self.random_delay(10))
        };
        let event = Event::TableWritten(write, result);
        self.schedule_for(node, run, self.at + after, event);
    }

    fn agent_event(&mut self, number: usize, event: Event) {
        let (now, node) = (self.now(), Node::Agent(number));
        let agent = &mut self.agents[number];
        let input = match event {
            Event::Tick => {
                self.schedule(node, AGENT_TICK, Event::Tick);
                Some(AgentInput::Tick)
            }
            Event::Dial(to) => {
                self.dial(node, to);
                None
            }
            Event::Up(link, _) => {
                let hello = Hello::Agent(agent.hello.clone());
                self.send(node, link, Message::Hello(hello));
                None
            }
            Event::Down(link) => {
                let input = agent.link_down(link);
                self.redial(node, link);
                input
            }
            Event::Message(link, message) => agent.message(link, message),
            Event::TaskEnded(task, outcome) => Some(AgentInput::RunEnded(task, outcome)),
            _ => None,
        };
        let Some(input) = input else {
            return;
        };
        for action in self.agents[number].machine.handle(now, input) {
            match action {
                AgentAction::Run(start) => self.start_task(node, &start),
                AgentAction::Send(entry, message) => {
                    if let Some(link) = self.agents[number].link_to(&entry) {
                        self.send(node, link, to_wire(message));
                    }
                }
            }
        }
    }

    fn start_task(&mut self, node: Node, start: &Start) {
        let after = if self.chance(5) { 3_000 } else { 100 };
        let after = self.random_delay(after);
        let outcome = match self.rng.random_range(0..100) {
            0..3 => RunOutcome::Failed("broken".to_owned()),
            3..6 => RunOutcome::NotStarted,
            6..7 => RunOutcome::Unknown,
            _ => RunOutcome::Completed(output(&start.task, start.digest)),
        };
        if outcome != RunOutcome::NotStarted {
            self.judge.started(start, self.at);
        }
        let event = Event::TaskEnded(start.task.clone(), outcome);
        self.schedule(node, after, event);
    }

    fn dial(&mut self, from: Node, to: Node) {
        let until = self.blocked.get(&(from, to)).copied().unwrap_or_default();
        let target = &self.processes[&to];
        if target.dead || target.frozen || self.at < until {
            return self.schedule(from, REDIAL_DELAY, Event::Dial(to));
        }
        let delay = if self.chance(15) { 700 } else { 3 };
        let ends = [from, to].map(|node| (node, self.processes[&node].run));
        let link = self.links.len();
        self.links.push(FakeLink::new(ends[0], ends[1], delay));
        for (node, dialed) in [(from, true), (to, false)] {
            let at = self.links[link].delivery_time(node, self.at + 1);
            let run = self.processes[&node].run;
            self.schedule_for(node, run, at, Event::Up(link, dialed));
        }
    }

    /// Schedules a new dial if this process had opened the closed link.
    fn redial(&mut self, node: Node, link: FakeLinkId) {
        let link = &self.links[link];
        if link.from.0 == node {
            let to = link.to.0;
            self.schedule(node, REDIAL_DELAY, Event::Dial(to));
        }
    }

    fn send(&mut self, from: Node, link: FakeLinkId, message: Message) {
        let delay = self.links[link].delay;
        let at = self.at + self.random_delay(delay) / 2 + 1;
        let link_state = &mut self.links[link];
        if link_state.broken {
            return;
        }
        let (to, run) = link_state.other_end(from);
        let at = link_state.delivery_time(to, at);
        self.schedule_for(to, run, at, Event::Message(link, message));
    }

    /// Breaks a link; each end notices it after a random time of at most `within`.
    fn break_link(&mut self, link: FakeLinkId, within: Millis) {
        if std::mem::replace(&mut self.links[link].broken, true) {
            return;
        }
        for (node, run) in [self.links[link].from, self.links[link].to] {
            let after = self.rng.random_range(0..=within);
            self.schedule_for(node, run, self.at + after, Event::Down(link));
        }
    }

    fn inject_fault(&mut self) {
        let node = self.random_node();
        match self.rng.random_range(0..12) {
            0..2 => self.kill(node),
            2..4 => self.freeze(node),
            4..8 => {
                let open: Vec<FakeLinkId> = (0..self.links.len())
                    .filter(|link| !self.links[*link].broken)
                    .collect();
                if open.is_empty() {
                    return;
                }
                let link = open[self.rng.random_range(0..open.len())];
                self.break_link(link, SILENCE_LIMIT);
            }
            8..10 => {
                let other = self.random_node();
                let until = self.at + self.random_delay(4_000);
                self.blocked.insert((node, other), until);
                self.blocked.insert((other, node), until);
                for link in 0..self.links.len() {
                    if self.links[link].joins(node, other) {
                        self.break_link(link, SILENCE_LIMIT);
                    }
                }
            }
            10 => {
                if !self.table.cut_off.shift_remove(&node) {
                    self.table.cut_off.insert(node);
                }
            }
            _ => self.table.down = !self.table.down,
        }
    }

    fn random_node(&mut self) -> Node {
        nodes()[self.rng.random_range(0..ENTRIES + AGENTS)]
    }

    fn kill(&mut self, node: Node) {
        if self.processes[&node].dead {
            return;
        }
        self.processes[&node].dead = true;
        let run = self.processes[&node].run;
        for link in 0..self.links.len() {
            let ends = [self.links[link].from, self.links[link].to];
            if ends.contains(&(node, run)) {
                self.break_link(link, 20);
            }
        }
        if let Node::Entry(number) = node {
            self.callers.retain(|_, caller| caller.entry != number);
        }
        let after = self.random_delay(2_000);
        self.schedule(node, after, Event::Restart);
    }

    fn freeze(&mut self, node: Node) {
        let process = &mut self.processes[&node];
        if process.dead || process.frozen {
            return;
        }
        process.frozen = true;
        let run = process.run;
        let after = self.random_delay(4_000);
        if after > SILENCE_LIMIT {
            for link in 0..self.links.len() {
                let ends = [self.links[link].from, self.links[link].to];
                if ends.contains(&(node, run)) {
                    self.break_link(link, SILENCE_LIMIT);
                }
            }
        }
        self.schedule(node, after, Event::Resume);
    }

    fn resume(&mut self, node: Node) {
        self.processes[&node].frozen = false;
        for (run, event) in std::mem::take(&mut self.processes[&node].deferred) {
            self.schedule_for(node, run, self.at, event);
        }
    }

    /// Sends a random submission, query or cancellation to a random entry, if that
    /// entry runs.
    fn send_request(&mut self) {
        let number = self.rng.random_range(0..ENTRIES);
        let process = &self.processes[&Node::Entry(number)];
        if process.dead || process.frozen {
            return;
        }
        let key = self.rng.random_range(0..KEYS);
        let key = format!("k{}-{key}", self.at / 4_000);
        let job = JobRef {
            contract: "letters".into(),
            key: key.as_str().into(),
        };
        let total = u16::try_from(job.key_hash() % 4 + 1).expect("a small number");
        let body = u16::from(self.chance(5));
        let digest = BodyDigest::from(job.key_hash()) * 2 + BodyDigest::from(body);
        let request = match self.rng.random_range(0..20) {
            0 => Request::Query(job.clone()),
            1 => Request::Cancel(job.clone()),
            _ => Request::Submit(self.new_submission(&job, digest, total)),
        };
        self.next_waiter += 1;
        let waiter = self.next_waiter;
        let judged = matches!(request, Request::Submit(_));
        let is_open = self
            .callers
            .values()
            .any(|caller| caller.judged_request.job == job);
        let count = judged.then(|| self.judge.submitted(&job));
        let judged_request = JudgedRequest {
            job,
            digest,
            total,
            at: self.at,
            submissions_if_alone: count.filter(|_| !is_open),
        };
        let caller = Caller {
            entry: number,
            judged_request,
            judged,
        };
        self.callers.insert(waiter, caller);
        let now = self.now();
        self.entries[number].request(now, waiter, request);
        self.apply_effects(number);
    }

    fn new_submission(&mut self, job: &JobRef, digest: BodyDigest, total: u16) -> Submit {
        let task = TaskSpec {
            kind: "stamp".into(),
            declared_run_time: Duration::from_millis(50),
            input: String::new(),
            idempotent: false,
        };
        let time = if self.chance(5) { 1 } else { 40 };
        Submit {
            job: job.clone(),
            spec: JobSpec {
                tasks: vec![task; usize::from(total)],
                deadline: self.now().wall + Duration::from_secs(time),
                urgency: 0,
            },
            digest,
            may_be_older: true,
            wants_receipt: false,
        }
    }
}

fn nodes() -> Vec<Node> {
    let entries = (0..ENTRIES).map(Node::Entry);
    entries.chain((0..AGENTS).map(Node::Agent)).collect()
}
