//! Sizes, addresses and settings of a site on loopback.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::atomic::{AtomicU8, Ordering},
};

/// Number of the next site of this process, so that each has its own address.
static NEXT_SITE: AtomicU8 = AtomicU8::new(1);

/// Lowest port of entries.
const FIRST_ENTRY_PORT: u16 = 11_000;

/// Lowest port of agents and endpoints.
const FIRST_AGENT_PORT: u16 = 12_000;

/// Port of the table.
const TABLE_PORT: u16 = 10_900;

/// Number of ports reserved for each entry, and for each endpoint with its agent.
const PORTS_PER_PROCESS: u16 = 10;

/// Sizes, addresses and settings of a site.
#[derive(Clone, Debug)]
pub struct SitePlan {
    pub(crate) ip: IpAddr,
    pub(crate) entries: u16,
    pub(crate) endpoints: u16,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
    pub(crate) zones: Vec<String>,
    pub(crate) policy: String,
    pub(crate) log_level: String,
    pub(crate) relayed: bool,
    /// Further lines of the entries' settings.
    pub(crate) entry_settings: String,
    /// Descriptors that an entry or an agent may open; that of this process if none is
    /// set.
    pub(crate) descriptors: Option<usize>,
}

impl SitePlan {
    /// Returns a builder; by default 3 entries and 11 endpoints with 8 slots each.
    #[must_use]
    pub fn builder() -> SitePlanBuilder {
        SitePlanBuilder {
            plan: Self {
                ip: next_ip(),
                entries: 3,
                endpoints: 11,
                slots: 8,
                connections: 64,
                zones: vec!["zone-a".to_owned()],
                policy: "size-aware".to_owned(),
                log_level: "info".to_owned(),
                relayed: false,
                entry_settings: String::new(),
                descriptors: None,
            },
        }
    }

    /// Returns the address of the table.
    #[must_use]
    pub fn table_address(&self) -> SocketAddr {
        self.address(TABLE_PORT)
    }

    /// Returns the address of an entry for callers.
    #[must_use]
    pub fn callers_address(&self, entry: u16) -> SocketAddr {
        self.address(FIRST_ENTRY_PORT + entry * PORTS_PER_PROCESS)
    }

    /// Returns the address of an entry for operators.
    #[must_use]
    pub fn entry_operators_address(&self, entry: u16) -> SocketAddr {
        self.address(FIRST_ENTRY_PORT + entry * PORTS_PER_PROCESS + 1)
    }

    /// Returns the address on which an entry listens for links.
    #[must_use]
    pub fn links_address(&self, entry: u16) -> SocketAddr {
        self.address(FIRST_ENTRY_PORT + entry * PORTS_PER_PROCESS + 2)
    }

    /// Returns the address at which agents and other entries reach an entry: the
    /// relay's if the site is relayed, else the entry's own.
    #[must_use]
    pub fn announced_links_address(&self, entry: u16) -> SocketAddr {
        if self.relayed {
            self.address(FIRST_ENTRY_PORT + entry * PORTS_PER_PROCESS + 3)
        } else {
            self.links_address(entry)
        }
    }

    /// Returns the address of an agent for operators.
    #[must_use]
    pub fn agent_operators_address(&self, endpoint: u16) -> SocketAddr {
        self.address(FIRST_AGENT_PORT + endpoint * PORTS_PER_PROCESS)
    }

    /// Returns the address of the stand-in for an endpoint.
    #[must_use]
    pub fn endpoint_address(&self, endpoint: u16) -> SocketAddr {
        self.address(FIRST_AGENT_PORT + endpoint * PORTS_PER_PROCESS + 1)
    }

    /// Returns the number of entries.
    #[must_use]
    pub fn entries(&self) -> u16 {
        self.entries
    }

    /// Returns the number of endpoints.
    #[must_use]
    pub fn endpoints(&self) -> u16 {
        self.endpoints
    }

    /// Returns the number of slots of one endpoint.
    #[must_use]
    pub fn slots_of_endpoint(&self) -> u32 {
        self.slots
    }

    /// Returns the number of slots of all endpoints.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.slots * u32::from(self.endpoints)
    }

    /// Returns the number of slots of each endpoint.
    #[must_use]
    pub fn slots_each(&self) -> u32 {
        self.slots
    }

    /// Returns the availability zone of the entry or agent with this number.
    ///
    /// The zones are assigned in turn.
    #[must_use]
    pub fn zone(&self, number: u16) -> &str {
        &self.zones[usize::from(number) % self.zones.len()]
    }

    fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }
}

/// Builds a [`SitePlan`].
#[derive(Clone, Debug)]
pub struct SitePlanBuilder {
    plan: SitePlan,
}

impl SitePlanBuilder {
    /// Sets the loopback address, for a site whose addresses must not change
    /// from run to run.
    #[must_use]
    pub fn ip(mut self, ip: IpAddr) -> Self {
        self.plan.ip = ip;
        self
    }

    /// Sets the number of entries.
    #[must_use]
    pub fn entries(mut self, count: u16) -> Self {
        self.plan.entries = count;
        self
    }

    /// Sets the number of endpoints.
    #[must_use]
    pub fn endpoints(mut self, count: u16) -> Self {
        self.plan.endpoints = count;
        self
    }

    /// Sets the number of slots of each endpoint.
    #[must_use]
    pub fn slots(mut self, count: u32) -> Self {
        self.plan.slots = count;
        self
    }

    /// Sets the availability zones.
    #[must_use]
    pub fn zones(mut self, names: impl IntoIterator<Item = impl Into<String>>) -> Self {
        self.plan.zones = names.into_iter().map(Into::into).collect();
        self
    }

    /// Sets the placement policy of every entry, by name.
    #[must_use]
    pub fn policy(mut self, name: impl Into<String>) -> Self {
        self.plan.policy = name.into();
        self
    }

    /// Sets the log level of every process.
    #[must_use]
    pub fn log_level(mut self, level: impl Into<String>) -> Self {
        self.plan.log_level = level.into();
        self
    }

    /// Sets whether every link passes through a relay that can cut or silence it.
    #[must_use]
    pub fn relayed(mut self, relayed: bool) -> Self {
        self.plan.relayed = relayed;
        self
    }

    /// Adds lines to the settings of every entry.
    #[must_use]
    pub fn entry_settings(mut self, lines: impl Into<String>) -> Self {
        self.plan.entry_settings = lines.into();
        self
    }

    /// Sets how many descriptors an entry or an agent may open.
    #[must_use]
    pub fn descriptors(mut self, count: usize) -> Self {
        self.plan.descriptors = Some(count);
        self
    }

    /// Returns the plan.
    #[must_use]
    pub fn build(self) -> SitePlan {
        self.plan
    }
}

/// Picks a loopback address from the process id and the number of the site, so
/// that sites of concurrent test processes do not collide.
fn next_ip() -> IpAddr {
    let pid = std::process::id();
    let [_, high, low, _] = (pid << 8).to_be_bytes();
    let site = NEXT_SITE.fetch_add(1, Ordering::Relaxed);
    IpAddr::V4(Ipv4Addr::new(127, high.max(1), low, site))
}
