//! Failures of a site: endpoints replaced, entries and agents that start anew.

use {
    crate::overload_site::{
        Site,
        endpoint::{Endpoint, EndpointSpec},
        site::{agent_name, entry_name},
    },
    chestnutrun_decisions::{
        guard::{GuardConf, GuardInput, GuardMachine},
        placement::{DispatchInput, Dispatcher},
    },
    chestnutrun_types::{EntryId, Incarnation, ZoneId},
};

impl Site {
    /// Replaces an endpoint by a process of another speed under the same id, which runs
    /// nothing.
    pub fn replace_endpoint(&mut self, number: usize, speed: f64) {
        let endpoint = &mut self.endpoints[number];
        let spec = EndpointSpec {
            speed,
            incarnation: endpoint.spec.incarnation + 1,
            ..endpoint.spec
        };
        *endpoint = Endpoint::new(spec);
        self.announce(number);
    }

    /// Replaces an entry by a process that knows nothing; its callers get no answer.
    pub fn restart_entry(&mut self, number: usize) {
        self.entries[number] = Dispatcher::new(zone(number % self.zones));
        for agent in 0..self.agents.len() {
            self.link(agent, number, 2);
        }
    }

    /// Replaces an agent by a process that knows nothing.
    pub fn restart_agent(&mut self, number: usize, entry_runs: &[Incarnation]) {
        for entry in 0..self.entries.len() {
            let down = DispatchInput::AgentDown(agent_name(number));
            self.entry_input(entry, down);
        }
        self.agents[number] = GuardMachine::new(GuardConf {
            first_number: 1_000_000,
        });
        self.announce(number);
        for (entry, run) in entry_runs.iter().enumerate() {
            self.link(number, entry, *run);
        }
    }

    fn link(&mut self, agent: usize, entry: usize, run: Incarnation) {
        let name: EntryId = entry_name(entry);
        let zone = zone(entry % self.zones);
        self.agent_input(agent, GuardInput::LinkDown(name.clone()));
        self.agent_input(agent, GuardInput::LinkUp(name.clone(), run, zone));
        let now = self.now().instant;
        self.agent_input(agent, GuardInput::Proven(name, now));
    }
}

fn zone(number: usize) -> ZoneId {
    format!("zone-{number}").into()
}
