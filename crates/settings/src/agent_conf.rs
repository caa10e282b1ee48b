//! Settings of an agent.

use {
    crate::{Conf, LogConf, MachineConf, address_check, checks, entry_conf::STOP_WITHIN_RANGE},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, path::PathBuf, time::Duration},
};

/// Settings of an agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AgentConf {
    /// Name of the endpoint beside the agent, unique within the site.
    pub endpoint: String,
    /// Availability zone that the endpoint and its agent run in.
    pub zone: String,
    /// Address at which the agent reaches the endpoint.
    pub endpoint_address: SocketAddr,
    /// Number of tasks that the endpoint can run at once.
    pub slots: u32,
    /// Maximum number of connections to the endpoint; at least one for each slot.
    pub connections: u32,
    /// Addresses of entries, or of a load balancer before them, that the agent
    /// connects to first.
    pub entries: Vec<SocketAddr>,
    /// Address that the agent listens on for operators: health and metrics.
    pub operators: SocketAddr,
    /// Shard that the endpoint belongs to; only the shard's owner places tasks on
    /// the endpoint.
    #[serde(default)]
    pub shard: u32,
    /// File with the secret by which the site's processes authenticate each other.
    pub site_token_file: PathBuf,
    /// What the machine allows the process.
    #[serde(default)]
    pub machine: MachineConf,
    /// Longest time that a planned stop may take.
    #[serde(default = "half_a_minute", with = "humantime_serde")]
    pub stop_within: Duration,
    /// Settings of the log.
    #[serde(default)]
    pub log: LogConf,
}

fn half_a_minute() -> Duration {
    Duration::from_secs(30)
}

impl Conf for AgentConf {
    fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        checks::name(&mut problems, "endpoint", &self.endpoint);
        checks::name(&mut problems, "zone", &self.zone);
        let slots = self.slots as usize;
        checks::at_least(&mut problems, "slots", 1, slots);
        let connections = self.connections as usize;
        checks::at_least(&mut problems, "connections", slots, connections);
        checks::at_least(&mut problems, "entries", 1, self.entries.len());
        self.machine.check(&mut problems);
        let stop_within = self.stop_within;
        checks::within(&mut problems, "stop_within", STOP_WITHIN_RANGE, stop_within);
        let listening = [("operators", self.operators)];
        let mut dialed = vec![("endpoint_address", self.endpoint_address)];
        dialed.extend(self.entries.iter().map(|address| ("entries", *address)));
        problems.extend(address_check::without_port(&listening));
        problems.extend(address_check::unreachable(&dialed));
        dialed.extend(listening);
        problems.extend(address_check::duplicates(&dialed));
        problems
    }
}
