//! Faults of processes, links and endpoints, and the recovery from them.

use {
    super::{
        Millis, Site,
        events::{Event, Input, Node},
        site::{
            AGENTS, ANNOUNCE_INTERVAL, CALLER_TIMEOUT, ENTRIES, MEAN_FAULT_PAUSE, MEAN_MUTE_PAUSE,
            MEAN_RESTART_PAUSE, PROBE_INTERVAL, RESUBMIT_AFTER, SILENCE_LIMIT, new_agent,
            new_entry,
        },
    },
    chestnutrun_decisions::placement::{CallerId, DispatchInput},
    rand::RngExt,
};

impl Site {
    pub(super) fn inject_fault(&mut self) {
        if !self.has_faults {
            return;
        }
        let pause = self.rng.random_range(1..MEAN_FAULT_PAUSE * 2);
        self.schedule(pause, Event::Fault);
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
            // A late start can overlap with another by itself (KNOWN-RED.txt), which is
            // not what a site without late orders examines.
            8 if !self.has_late_orders => {}
            8 => self.late_share = if self.late_share > 0.0 { 0.0 } else { 0.07 },
            _ => self.lost_share = if self.lost_share > 0.0 { 0.0 } else { 0.07 },
        }
    }

    /// Lets an endpoint carry out orders without answering, longer than its leases last.
    pub(super) fn mute_endpoint(&mut self) {
        let Some(rng) = self.mutes.as_mut().filter(|_| self.has_faults) else {
            return;
        };
        let pause = rng.random_range(1..MEAN_MUTE_PAUSE * 2);
        let number = rng.random_range(0..AGENTS);
        let length = rng.random_range(700..2_000);
        self.endpoints[number].mute_until = self.at + length;
        self.schedule(pause, Event::Mute);
    }

    /// Ends an endpoint, which starts again within milliseconds and takes orders before it
    /// announces itself, and delivers messages of the earlier incarnation late and twice.
    pub(super) fn restart_endpoint_quickly(&mut self) {
        let Some(rng) = self.restarts.as_mut().filter(|_| self.has_faults) else {
            return;
        };
        let pause = rng.random_range(1..MEAN_RESTART_PAUSE * 2);
        let number = rng.random_range(0..AGENTS);
        let length = rng.random_range(1..60);
        let half_answered = rng.random_range(0..1_500);
        let late = [(); 4].map(|()| rng.random_range(1..4_000));
        self.schedule(pause, Event::QuickRestart);
        let endpoint = &mut self.endpoints[number];
        if !endpoint.is_up {
            return;
        }
        let last = endpoint.announce(self.at);
        let ended = Input::EndpointEnded(last.info.endpoint.clone());
        let announced = Input::Announced(last);
        for (delay, message) in late
            .into_iter()
            .zip([&announced, &announced, &ended, &ended])
        {
            self.send_input(Node::Agent(number), delay, message.clone());
        }
        self.half_answered_until = self.at + half_answered;
        self.endpoint_crash(number, length);
    }

    pub(super) fn endpoint_crash(&mut self, number: usize, length: Millis) {
        if self.endpoints[number].is_up {
            self.endpoints[number].crash(&mut self.judge);
            self.schedule(length, Event::EndpointRestarts(number));
        }
    }

    pub(super) fn freeze(&mut self, node: Node, length: Millis) {
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
        self.schedule(length, Event::Unfreeze(node));
        let peers: Vec<(usize, usize)> = match node {
            Node::Entry(entry) => (0..AGENTS).map(|agent| (agent, entry)).collect(),
            Node::Agent(agent) => (0..ENTRIES).map(|entry| (agent, entry)).collect(),
        };
        // The peers of a frozen process close links that are silent for too long.
        if length > SILENCE_LIMIT {
            for (agent, entry) in peers {
                self.cut(agent, entry, length);
            }
        }
        if let Node::Entry(entry) = node
            && length > CALLER_TIMEOUT / 2
        {
            self.break_callers(entry);
        }
    }

    pub(super) fn unfreeze(&mut self, node: Node) {
        for (target, run, input) in std::mem::take(&mut self.backlogs) {
            if target == node {
                self.process(target, run, input);
            } else {
                self.backlogs.push((target, run, input));
            }
        }
    }

    pub(super) fn kill(&mut self, node: Node, length: Millis) {
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
        self.schedule(length, Event::Restart(node));
    }

    /// Breaks the callers' connections to an entry; the callers submit again.
    pub(super) fn break_callers(&mut self, entry: usize) {
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
            let input = Input::Dispatch(DispatchInput::CallerDisconnected(id));
            self.send_input(Node::Entry(entry), 1, input);
            if !caller.is_copy {
                self.schedule(RESUBMIT_AFTER, Event::Resubmit(caller.job));
            }
        }
    }

    pub(super) fn restart(&mut self, node: Node) {
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
        self.send_input(node, 1, Input::Tick);
        for agent in 0..AGENTS {
            for entry in 0..ENTRIES {
                if node == Node::Entry(entry) || node == Node::Agent(agent) {
                    let generation = self.links[agent][entry].generation;
                    self.schedule(5, Event::Reconnect(agent, entry, generation));
                }
            }
        }
    }

    /// Cuts a link for `length`; a length of 0 only resets the link.
    pub(super) fn cut(&mut self, agent: usize, entry: usize, length: Millis) {
        self.trace(&("fault cut", agent, entry, length));
        let link = &mut self.links[agent][entry];
        link.cut_until = link.cut_until.max(self.at + length);
        let noticed_after = if length == 0 { 1 } else { SILENCE_LIMIT };
        if link.is_open {
            link.is_open = false;
            let generation = link.generation;
            self.send_input(
                Node::Entry(entry),
                noticed_after,
                Input::LinkDown(agent, generation),
            );
            self.send_input(
                Node::Agent(agent),
                noticed_after,
                Input::LinkDown(entry, generation),
            );
        }
        let generation = self.links[agent][entry].generation;
        let reconnect_after = noticed_after.max(length) + self.rng.random_range(1..250);
        self.schedule(reconnect_after, Event::Reconnect(agent, entry, generation));
    }

    pub(super) fn reconnect(&mut self, agent: usize, entry: usize, generation: u64) {
        let is_up = self.entries[entry].is_up && self.agents[agent].is_up;
        let link = &mut self.links[agent][entry];
        if link.is_open || link.generation != generation || !is_up {
            return;
        }
        if link.cut_until > self.at {
            let wait = link.cut_until - self.at + 10;
            self.schedule(wait, Event::Reconnect(agent, entry, generation));
            return;
        }
        link.is_open = true;
        link.generation += 1;
        let generation = link.generation;
        self.send_input(Node::Agent(agent), 1, Input::LinkUp(entry, generation));
        self.send_input(Node::Entry(entry), 1, Input::LinkUp(agent, generation));
    }

    /// Probes a link; the answer proves that the entry was alive when the agent
    /// sent the probe.
    pub(super) fn probe(&mut self, agent: usize, entry: usize) {
        self.schedule(PROBE_INTERVAL, Event::Probe(agent, entry));
        let link = self.links[agent][entry];
        let is_answered = link.is_open
            && self.entries[entry].is_up
            && self.entries[entry].frozen_until <= self.at
            && self.agents[agent].frozen_until <= self.at;
        if is_answered {
            let input = Input::Proven(entry, link.generation, self.at);
            self.send_input(Node::Agent(agent), 2, input);
        }
    }

    pub(super) fn announce(&mut self, number: usize) {
        let endpoint = &mut self.endpoints[number];
        if !endpoint.is_up {
            return;
        }
        let announcement = endpoint.announce(self.at);
        if self.agents[number].is_up {
            self.send_input(Node::Agent(number), 1, Input::Announced(announcement));
        }
        self.schedule(ANNOUNCE_INTERVAL, Event::Announce(number));
    }
}
