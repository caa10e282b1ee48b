//! The simulated processes, their faults and the checks.

use {
    super::{
        directory::Directory,
        links::{Link, Node},
    },
    chestnutrun_decisions::evacuation::{
        EvacuationAction, EvacuationConf, EvacuationInput, EvacuationMachine, ZoneGate,
    },
    chestnutrun_types::{Now, ZoneId},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::time::{Duration, Instant, SystemTime},
};

const ENTRIES: usize = 4;
const AGENTS: usize = 6;
const NODES: usize = ENTRIES + AGENTS;
const STEP: u64 = 10;
const RUN_TIME: u64 = 20_000;

/// Time within which a process in touch knows of a change: a fifth of the shortest bound of
/// a deployment.
const KNOWN_WITHIN: u64 = 1_000;

/// Mean time between two faults of each kind.
const FAULT_INTERVAL: u64 = 700;

#[derive(Debug)]
struct Process {
    machine: EvacuationMachine,
    started_at: u64,
    /// Position in the directory's feed.
    position: Option<u64>,
    /// From when on the directory answers the process.
    reachable_from: u64,
    last_revision: u64,
}

/// The simulated processes and the directory.
#[derive(Debug)]
pub struct Site {
    rng: StdRng,
    begin: Instant,
    at: u64,
    next_link: u64,
    directory: Directory,
    zones: Vec<ZoneId>,
    processes: Vec<Process>,
    links: Vec<Link>,
}

impl Site {
    pub fn new(seed: u64) -> Self {
        let mut links = Vec::new();
        for entry in 0..ENTRIES {
            links.push([entry, (entry + 1) % ENTRIES]);
        }
        for agent in 0..AGENTS {
            links.extend((0..2).map(|turn| [ENTRIES + agent, (agent + turn) % ENTRIES]));
        }
        let links: Vec<Link> = links
            .into_iter()
            .zip(1..)
            .map(|(e, id)| Link::new(e, id))
            .collect();
        let begin = Instant::now();
        Self {
            rng: StdRng::seed_from_u64(seed),
            begin,
            at: 0,
            next_link: 1_000,
            directory: Directory::default(),
            zones: ["a", "b", "nowhere"].map(ZoneId::from).to_vec(),
            processes: (0..NODES)
                .map(|node| Self::process(begin, node, 0))
                .collect(),
            links,
        }
    }

    fn process(begin: Instant, node: Node, at: u64) -> Process {
        let hold_until = begin + Duration::from_millis(at + RUN_TIME);
        let hold_until = (node >= ENTRIES).then_some(hold_until);
        Process {
            machine: EvacuationMachine::new(EvacuationConf { hold_until }),
            started_at: at,
            position: None,
            reachable_from: at,
            last_revision: 0,
        }
    }

    pub fn run(mut self) {
        while self.at < RUN_TIME {
            self.inject_faults();
            self.open_links();
            self.read_directory();
            for node in 0..NODES {
                self.handle(node, EvacuationInput::Tick);
            }
            for link in 0..self.links.len() {
                let id = self.links[link].id;
                for (node, zones) in self.links[link].arrived(self.at) {
                    self.handle(node, EvacuationInput::Received(id, zones));
                }
            }
            self.check();
            self.at += STEP;
        }
    }

    fn is_due(&mut self) -> bool {
        self.rng
            .random_ratio(1, u32::try_from(FAULT_INTERVAL / STEP).unwrap())
    }

    fn inject_faults(&mut self) {
        let pause = self.rng.random_range(0..3_000);
        if self.is_due() {
            let zone = self.rng.random_range(0..self.zones.len());
            self.directory.toggle(self.at, &self.zones[zone]);
        }
        if self.is_due() {
            let link = self.rng.random_range(0..self.links.len());
            self.close(link, pause);
        }
        if self.is_due() {
            let node = self.rng.random_range(0..NODES);
            self.restart(node, pause);
        }
        if self.is_due() {
            let node = self.rng.random_range(0..NODES);
            self.processes[node].reachable_from = self.at + pause;
        }
        if self.is_due() {
            self.directory.drop_history();
        }
        // All processes restart while the directory is away.
        if self.rng.random_ratio(1, 500) {
            for node in 0..NODES {
                self.restart(node, 100);
                self.processes[node].reachable_from = self.at + pause;
            }
        }
    }

    fn restart(&mut self, node: Node, pause: u64) {
        self.processes[node] = Self::process(self.begin, node, self.at);
        for link in 0..self.links.len() {
            if self.links[link].ends.contains(&node) {
                self.close(link, pause);
            }
        }
    }

    fn close(&mut self, link: usize, pause: u64) {
        let (id, ends) = (self.links[link].id, self.links[link].ends);
        let was_open = self.links[link].is_open;
        self.next_link += 1;
        self.links[link].close(self.next_link, self.at + pause);
        for node in ends.into_iter().filter(|_| was_open) {
            self.handle(node, EvacuationInput::LinkClosed(id));
        }
    }

    fn open_links(&mut self) {
        for link in 0..self.links.len() {
            let open = &mut self.links[link];
            if !open.is_open && open.open_at <= self.at {
                open.is_open = true;
                let (id, ends) = (open.id, open.ends);
                for node in ends {
                    self.handle(node, EvacuationInput::LinkOpened(id));
                }
            }
        }
    }

    fn read_directory(&mut self) {
        for node in 0..ENTRIES {
            if self.at < self.processes[node].reachable_from {
                continue;
            }
            let (input, position) = self.directory.next(self.processes[node].position);
            self.processes[node].position = position;
            if let Some(input) = input {
                self.handle(node, input);
            }
        }
    }

    fn handle(&mut self, node: Node, input: EvacuationInput) {
        let now = Now {
            instant: self.begin + Duration::from_millis(self.at),
            wall: SystemTime::UNIX_EPOCH,
        };
        for action in self.processes[node].machine.handle(now, input) {
            match action {
                EvacuationAction::Send(id, zones) => {
                    let link = self.links.iter_mut().find(|link| link.id == id);
                    let link = link.expect("a state is sent on an open link only");
                    link.send(&mut self.rng, self.at, node, zones);
                }
                EvacuationAction::ReadDirectory => {
                    if self.processes[node].reachable_from <= self.at {
                        let read = EvacuationInput::Read(self.directory.state.clone());
                        self.handle(node, read);
                    }
                }
                EvacuationAction::Apply(_) | EvacuationAction::Record(_) => {}
            }
        }
    }

    /// Returns the processes with a path, unbroken for `KNOWN_WITHIN`, to an entry that the
    /// directory answered all the while.
    fn in_touch(&self, since: u64) -> Vec<Node> {
        let is_steady = |node: Node| self.processes[node].started_at <= since;
        let reads = |node: &Node| self.processes[*node].reachable_from <= since;
        let mut found: Vec<Node> = (0..ENTRIES)
            .filter(|node| is_steady(*node) && reads(node))
            .collect();
        let mut next = 0;
        while let Some(node) = found.get(next).copied() {
            next += 1;
            let links = self.links.iter().filter(|link| link.ends.contains(&node));
            for link in links.filter(|link| link.is_open && link.open_at <= since) {
                let other = link.ends[usize::from(link.ends[0] == node)];
                if is_steady(other) && !found.contains(&other) {
                    found.push(other);
                }
            }
        }
        found
    }

    fn check(&mut self) {
        for process in &mut self.processes {
            let state = process.machine.state();
            let revision = state.map_or(0, |state| state.revision);
            assert!(revision >= process.last_revision, "at {} ms", self.at);
            assert!(state.is_none_or(|s| s.revision <= self.directory.state.revision));
            process.last_revision = revision;
        }
        let unknown = self.processes[ENTRIES..].iter();
        for agent in unknown.filter(|agent| agent.machine.state().is_none()) {
            assert_eq!(agent.machine.gate(), ZoneGate::Unknown, "at {} ms", self.at);
        }
        let Some(since) = self.at.checked_sub(KNOWN_WITHIN) else {
            return;
        };
        for node in self.in_touch(since) {
            let state = self.processes[node].machine.state();
            let state = state.unwrap_or_else(|| panic!("at {} ms: {node} knows nothing", self.at));
            for zone in &self.zones {
                if self.directory.is_steady(since, zone) {
                    let is_evacuated = self.directory.state.zones.contains(zone);
                    let is_known = state.zones.contains(zone) == is_evacuated;
                    assert!(is_known, "at {} ms: {zone} at process {node}", self.at);
                }
            }
        }
    }
}
