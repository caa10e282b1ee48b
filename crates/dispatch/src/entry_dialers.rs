//! Keeps a link open to every known entry.

use {
    chestnutrun_net::{Dialer, DialerConf, LinkEvent, LinkIds, LinkTiming},
    chestnutrun_protocol::Hello,
    chestnutrun_types::Member,
    indexmap::IndexMap,
    std::{
        cell::RefCell,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::sync::mpsc::Sender,
};

/// How long an address is dialed without success: longer than an entry takes to
/// restart and than most network partitions last.
const DIAL_LIMIT: Duration = Duration::from_secs(20);

/// Timing of links that this process opened: three probes within the time after
/// which the tasks of a silent entry are stopped.
pub(crate) const DIALED_LINK_TIMING: LinkTiming = LinkTiming {
    probe_interval: Some(Duration::from_millis(180)),
    silence_limit: Duration::from_millis(600),
};

/// Timing of links that a peer opened: only the peer probes.
pub(crate) const ACCEPTED_LINK_TIMING: LinkTiming = LinkTiming {
    probe_interval: None,
    silence_limit: Duration::from_millis(600),
};

/// Token that links present. It is no secret, because only the platform's own
/// processes can reach its network.
pub(crate) const SITE_TOKEN: &str = "best-effort";

/// An address that is dialed until it is given up.
#[derive(Debug)]
struct DialedAddress {
    dialer: Dialer,
    /// Time at which the address is given up unless a link is open; none for a
    /// seed, which is dialed without end.
    give_up_at: Option<Instant>,
}

/// Keeps a link open to every known entry.
#[derive(Debug)]
pub(crate) struct EntryDialers {
    hello: Rc<RefCell<Hello>>,
    ids: LinkIds,
    events: Sender<LinkEvent>,
    /// Address of this process, which is never dialed; none for an agent.
    own_address: Option<SocketAddr>,
    addresses: IndexMap<SocketAddr, DialedAddress>,
}

impl EntryDialers {
    pub(crate) fn new(
        hello: Hello,
        ids: LinkIds,
        events: Sender<LinkEvent>,
        own_address: Option<SocketAddr>,
    ) -> Self {
        Self {
            hello: Rc::new(RefCell::new(hello)),
            ids,
            events,
            own_address,
            addresses: IndexMap::new(),
        }
    }

    /// Dials the seeds without end.
    pub(crate) fn dial_seeds(&mut self, seeds: &[SocketAddr]) {
        for seed in seeds {
            self.dial(*seed, None);
        }
    }

    /// Dials entries, each until it had no link for `DIAL_LIMIT`.
    pub(crate) fn dial_members(&mut self, now: Instant, members: &[Member]) {
        for member in members {
            self.dial(member.inner, Some(now + DIAL_LIMIT));
        }
    }

    /// Stops dialing the addresses that had no link for `DIAL_LIMIT`; `linked` are
    /// the addresses with a link.
    pub(crate) fn drop_unreachable(&mut self, now: Instant, linked: &[SocketAddr]) {
        let mut given_up = Vec::new();
        for (address, dialed) in &mut self.addresses {
            let Some(give_up_at) = dialed.give_up_at else {
                continue;
            };
            if linked.contains(address) {
                dialed.give_up_at = Some(now + DIAL_LIMIT);
            } else if give_up_at < now {
                given_up.push(*address);
            }
        }
        for address in given_up {
            if let Some(dialed) = self.addresses.swap_remove(&address) {
                log::info!(
                    "stopped dialing {address}: no entry was linked there for {DIAL_LIMIT:?}"
                );
                dialed.dialer.close();
            }
        }
    }

    /// Closes every link.
    pub(crate) fn close(self) {
        for (_, dialed) in self.addresses {
            dialed.dialer.close();
        }
    }

    /// Dials an address, unless it is dialed already or belongs to this process.
    fn dial(&mut self, address: SocketAddr, give_up_at: Option<Instant>) {
        if Some(address) == self.own_address || self.addresses.contains_key(&address) {
            return;
        }
        let dialer = Dialer::open(DialerConf {
            entry: address.to_string().into(),
            address,
            site_token: SITE_TOKEN.into(),
            hello: self.hello.clone(),
            ids: self.ids.clone(),
            timing: DIALED_LINK_TIMING,
            events: self.events.clone(),
        });
        self.addresses
            .insert(address, DialedAddress { dialer, give_up_at });
    }
}
