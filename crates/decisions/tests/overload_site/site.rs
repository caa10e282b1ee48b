//! Entries, agents and endpoints on one clock.

use {
    super::{
        Load, MS, Micros, SECOND, Served,
        endpoint::{ENDPOINT_CPU, Endpoint},
        load::{Arrival, KINDS, PlayedJob, as_f64, mean_pause, pause, route},
    },
    chestnutrun_decisions::{
        guard::{
            Answer, GuardAction, GuardConf, GuardInput, GuardMachine, GuardMessage, ListOrder,
            OrderFault, RunEnd,
        },
        placement::{CallerId, DispatchAction, DispatchInput, Dispatcher, JobOutcome, Submission},
    },
    chestnutrun_types::{AgentId, EntryId, JobId, Now},
    indexmap::IndexMap,
    rand::{SeedableRng, rngs::StdRng},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant, SystemTime},
    },
};

const ENTRY_TICK: Micros = 25 * MS;
const AGENT_TICK: Micros = 50 * MS;
const ANNOUNCE_INTERVAL: Micros = 500 * MS;

/// Time that an order to an endpoint and its answer take together.
const ORDER_TIME: Micros = MS;

#[derive(Debug)]
enum Event {
    Submit(usize, usize),
    Entry(usize, Box<DispatchInput>),
    EntryTick(usize),
    Agent(usize, Box<GuardInput>),
    AgentTick(usize),
    AgentWakeup(usize, Micros),
    Announce(usize),
    RunEnds(usize, u64, RunEnd),
    ListExpires(usize, Micros),
}

/// Entries, agents and endpoints on one clock.
#[derive(Debug)]
pub struct Site {
    rng: StdRng,
    at: Micros,
    begin: Instant,
    zones: usize,
    queue: BTreeMap<(Micros, u64), Event>,
    events: u64,
    entries: Vec<Dispatcher>,
    agents: Vec<GuardMachine>,
    endpoints: Vec<Endpoint>,
    wakeups: Vec<Micros>,
    load: Load,
    last_caller: CallerId,
    callers: IndexMap<CallerId, PlayedJob>,
    jobs: IndexMap<JobId, CallerId>,
    answered: Vec<(PlayedJob, Micros, JobOutcome)>,
    submits_until: Micros,
}

impl Site {
    /// Creates a site whose entries are all linked to all agents.
    pub fn new(seed: u64, zones: usize, entries: usize, endpoints: usize, load: Load) -> Self {
        let zone = |number: usize| format!("zone-{}", number % zones).into();
        let mut site = Self {
            rng: StdRng::seed_from_u64(seed),
            at: 0,
            begin: Instant::now(),
            zones,
            queue: BTreeMap::new(),
            events: 0,
            entries: (0..entries).map(|n| Dispatcher::new(zone(n))).collect(),
            agents: (0..endpoints)
                .map(|_| GuardMachine::new(GuardConf::default()))
                .collect(),
            endpoints: (0..endpoints).map(|_| Endpoint::default()).collect(),
            wakeups: vec![0; endpoints],
            load,
            last_caller: 0,
            callers: IndexMap::new(),
            jobs: IndexMap::new(),
            answered: Vec::new(),
            submits_until: 0,
        };
        for agent in 0..endpoints {
            site.schedule(0, Event::Announce(agent));
            site.schedule(MS, Event::AgentTick(agent));
            for entry in 0..entries {
                let up = GuardInput::LinkUp(entry_name(entry), 1, zone(entry));
                site.schedule(0, Event::Agent(agent, Box::new(up)));
            }
        }
        for entry in 0..entries {
            site.schedule(MS, Event::EntryTick(entry));
            for kind in 0..KINDS.len() {
                site.schedule(SECOND, Event::Submit(entry, kind));
            }
        }
        site
    }

    /// Plays the site; jobs arrive until the end, and callers wait for what is held then.
    pub fn play(&mut self, until: Micros) {
        self.submits_until = until;
        while let Some(first) = self.queue.first_entry() {
            if first.key().0 > until + self.load.patience + 2 * SECOND {
                break;
            }
            let ((at, _), event) = first.remove_entry();
            self.at = at;
            self.handle(event);
        }
    }

    /// Returns what callers got that submitted within a span of time.
    pub fn served(&self, from: Micros, until: Micros, of: impl Fn(usize, usize) -> bool) -> Served {
        let mut served = Served::default();
        for (job, at, outcome) in &self.answered {
            if (from..until).contains(&job.arrived_at) && of(job.kind, job.zone) {
                let is_refused = matches!(outcome, JobOutcome::Refused(..));
                assert!(!is_refused || !job.has_run, "a refused job has run");
                served.add(job, *at, *outcome == JobOutcome::Completed, is_refused);
            }
        }
        served
    }

    fn schedule(&mut self, pause: Micros, event: Event) {
        self.events += 1;
        self.queue.insert((self.at + pause, self.events), event);
    }

    fn now(&self) -> Now {
        let passed = Duration::from_micros(self.at);
        Now {
            instant: self.begin + passed,
            wall: SystemTime::UNIX_EPOCH + passed,
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Submit(entry, kind) => self.submit(entry, kind),
            Event::Entry(entry, input) => self.entry_input(entry, *input),
            Event::EntryTick(entry) => {
                self.schedule(ENTRY_TICK, Event::EntryTick(entry));
                self.entry_input(entry, DispatchInput::Tick);
            }
            Event::Agent(agent, input) => self.agent_input(agent, *input),
            Event::AgentTick(agent) => {
                self.schedule(AGENT_TICK, Event::AgentTick(agent));
                let now = self.now().instant;
                for entry in 0..self.entries.len() {
                    self.agent_input(agent, GuardInput::Proven(entry_name(entry), now));
                }
                self.agent_input(agent, GuardInput::Tick);
            }
            Event::AgentWakeup(agent, at) => {
                if self.wakeups[agent] == at {
                    self.agent_input(agent, GuardInput::Tick);
                }
            }
            Event::Announce(agent) => {
                self.schedule(ANNOUNCE_INTERVAL, Event::Announce(agent));
                let announced = Endpoint::announcement(agent, agent % self.zones, self.at);
                self.agent_input(agent, GuardInput::Announced(announced));
            }
            Event::RunEnds(agent, run, how) => {
                self.endpoints[agent].end(run, how);
                self.answer_list_if_due(agent, false);
            }
            Event::ListExpires(agent, at) => {
                let waiting = &self.endpoints[agent].waiting_list;
                if waiting.as_ref().is_some_and(|(_, until)| *until == at) {
                    self.answer_list_if_due(agent, true);
                }
            }
        }
    }

    fn submit(&mut self, entry: usize, kind: usize) {
        if self.at >= self.submits_until {
            return;
        }
        let zone = entry % self.zones;
        let cores = f64::from(ENDPOINT_CPU) / 1_000.0 * as_f64(self.endpoints.len() as u64);
        let cores = cores * self.load.usual * self.load.factor(self.at);
        let mean = mean_pause(kind, cores / as_f64(self.entries.len() as u64));
        let pause = pause(&mut self.rng, mean);
        self.schedule(pause, Event::Submit(entry, kind));
        self.last_caller += 1;
        let caller = self.last_caller;
        let arrival = Arrival {
            number: caller,
            at: self.at,
            patience: self.load.patience,
        };
        let played = PlayedJob::new(&mut self.rng, kind, zone, arrival);
        let submission = Submission {
            caller,
            route: route(kind),
            job: played.job.clone(),
            deadline: self.begin + Duration::from_micros(played.deadline),
        };
        self.jobs.insert(played.job.id.clone(), caller);
        self.callers.insert(caller, played);
        self.entry_input(entry, DispatchInput::Submit(submission));
    }

    fn entry_input(&mut self, entry: usize, input: DispatchInput) {
        let now = self.now();
        for action in self.entries[entry].handle(now, input) {
            match action {
                DispatchAction::Record(_) | DispatchAction::SpreadCancel(_) => {}
                DispatchAction::Answer(caller, _, outcome) => {
                    if let Some(played) = self.callers.swap_remove(&caller) {
                        self.answered.push((played, self.at, outcome));
                    }
                }
                DispatchAction::Assign(agent, assignment) => {
                    let agent = number(&agent);
                    let input = GuardInput::Assign(entry_name(entry), assignment);
                    self.schedule(
                        self.delay(agent, entry),
                        Event::Agent(agent, Box::new(input)),
                    );
                }
                DispatchAction::Revoke(agent, revocation) => {
                    let agent = number(&agent);
                    let input = GuardInput::Revoke(entry_name(entry), revocation);
                    self.schedule(
                        self.delay(agent, entry),
                        Event::Agent(agent, Box::new(input)),
                    );
                }
            }
        }
    }

    fn agent_input(&mut self, agent: usize, input: GuardInput) {
        let now = self.now();
        for action in self.agents[agent].handle(now, input) {
            self.agent_action(agent, action);
        }
        let wakeup = self.agents[agent].next_wakeup(now.instant);
        if let Some(wakeup) = wakeup {
            let at = u64::try_from((wakeup - self.begin).as_micros()).unwrap() + 1;
            let at = at.max(self.at + MS);
            if at != self.wakeups[agent] {
                self.wakeups[agent] = at;
                self.schedule(at - self.at, Event::AgentWakeup(agent, at));
            }
        }
    }

    fn agent_action(&mut self, agent: usize, action: GuardAction) {
        let clock = Duration::from_micros(self.at);
        match action {
            GuardAction::Record(_) => {}
            GuardAction::Send(entry, message) => {
                let entry = number(&entry);
                let name: AgentId = format!("agent-{agent}").into();
                let input = match message {
                    GuardMessage::Resync(resync) => DispatchInput::AgentUp(name, 1, resync),
                    GuardMessage::Endpoint(info) => DispatchInput::EndpointChanged(name, info),
                    GuardMessage::Update(update) => DispatchInput::Update(name, update),
                };
                self.schedule(
                    self.delay(agent, entry),
                    Event::Entry(entry, Box::new(input)),
                );
            }
            GuardAction::Start(order) => {
                let index = usize::from(order.task.at.index);
                let caller = self.jobs.get(&order.task.job).copied();
                let played = caller.and_then(|caller| self.callers.get_mut(&caller));
                let Some(played) = played else {
                    let refused = Answer::Refused(Some(clock), OrderFault::Unhealthy);
                    self.answer(agent, GuardInput::Started(1, order.run, refused));
                    return;
                };
                let (need, work) = (played.job.steps[0].need, played.work[index]);
                let has_room =
                    self.endpoints[agent].start(self.at, order.run, order.task, need, work);
                played.has_run |= has_room;
                let answer = if has_room {
                    self.schedule(work, Event::RunEnds(agent, order.run, RunEnd::Done));
                    Answer::Done(clock, ())
                } else {
                    Answer::Refused(Some(clock), OrderFault::NoRoom)
                };
                self.answer(agent, GuardInput::Started(1, order.run, answer));
            }
            GuardAction::Stop(order) => {
                self.schedule(10 * MS, Event::RunEnds(agent, order.run, RunEnd::Stopped));
                let answer = Answer::Done(clock, ());
                self.answer(agent, GuardInput::Stopped(1, order.run, answer));
            }
            GuardAction::List(order) => self.list(agent, order),
        }
    }

    fn list(&mut self, agent: usize, order: ListOrder) {
        let endpoint = &mut self.endpoints[agent];
        if order.wait.is_zero() || endpoint.has_ends_after(order.last_processed_end) {
            self.answer_list(agent, order);
            return;
        }
        let wait = u64::try_from(order.wait.as_micros()).unwrap();
        let until = self.at + wait;
        endpoint.waiting_list = Some((order, until));
        self.schedule(wait, Event::ListExpires(agent, until));
    }

    fn answer_list_if_due(&mut self, agent: usize, is_expired: bool) {
        let endpoint = &mut self.endpoints[agent];
        let is_due = endpoint.waiting_list.as_ref().is_some_and(|(order, _)| {
            is_expired || endpoint.has_ends_after(order.last_processed_end)
        });
        if is_due && let Some((order, _)) = endpoint.waiting_list.take() {
            self.answer_list(agent, order);
        }
    }

    fn answer_list(&mut self, agent: usize, order: ListOrder) {
        let reply = self.endpoints[agent].list(self.at, &order);
        let answer = Answer::Done(Duration::from_micros(self.at), reply);
        self.answer(agent, GuardInput::Listed(1, order, answer));
    }

    fn answer(&mut self, agent: usize, input: GuardInput) {
        self.schedule(ORDER_TIME, Event::Agent(agent, Box::new(input)));
    }

    fn delay(&self, agent: usize, entry: usize) -> Micros {
        if agent % self.zones == entry % self.zones {
            MS / 2
        } else {
            3 * MS / 2
        }
    }
}

fn entry_name(number: usize) -> EntryId {
    format!("entry-{number}").into()
}

fn number(name: &str) -> usize {
    let digits = name.rsplit('-').next().unwrap();
    digits.parse().unwrap()
}
