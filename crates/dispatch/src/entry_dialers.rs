//! Keeps links open to every entry that is known.

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

/// How long an address is dialed without success: longer than an entry needs
/// to start again, or than most cuts last.
const DIAL_LIMIT: Duration = Duration::from_secs(20);

/// How links are probed: three probes within the limit after which tasks of a
/// silent entry are stopped.
pub(crate) const DIALED: LinkTiming = LinkTiming {
    probe_interval: Some(Duration::from_millis(180)),
    silence_limit: Duration::from_millis(600),
};

/// The same for links that others opened: they probe.
pub(crate) const ACCEPTED: LinkTiming = LinkTiming {
    probe_interval: None,
    silence_limit: Duration::from_millis(600),
};

/// Links carry no secret: the network of the platform is closed to others.
pub(crate) const SITE_TOKEN: &str = "best-effort";

/// One address that is dialed.
#[derive(Debug)]
struct Dialed {
    dialer: Dialer,
    /// Moment after which it is given up unless a link opens.
    give_up_at: Option<Instant>,
}

/// Keeps links open to every entry that is known.
#[derive(Debug)]
pub(crate) struct EntryDialers {
    hello: Rc<RefCell<Hello>>,
    ids: LinkIds,
    events: Sender<LinkEvent>,
    own_address: Option<SocketAddr>,
    dialed: IndexMap<SocketAddr, Dialed>,
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
            dialed: IndexMap::new(),
        }
    }

    /// Dials addresses without end.
    pub(crate) fn dial_seeds(&mut self, seeds: &[SocketAddr]) {
        for seed in seeds {
            self.dial(*seed, None);
        }
    }

    /// Dials entries, each for a limited time.
    pub(crate) fn dial_members(&mut self, now: Instant, members: &[Member]) {
        for member in members {
            self.dial(member.inner, Some(now + DIAL_LIMIT));
        }
    }

    /// Gives up addresses that had no link for too long.
    pub(crate) fn tidy(&mut self, now: Instant, linked: &[SocketAddr]) {
        let mut given_up = Vec::new();
        for (address, dialed) in &mut self.dialed {
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
            if let Some(dialed) = self.dialed.swap_remove(&address) {
                log::info!("no entry at {address} for {DIAL_LIMIT:?}; it is no longer dialed");
                dialed.dialer.close();
            }
        }
    }

    /// Closes every link.
    pub(crate) fn close(self) {
        for (_, dialed) in self.dialed {
            dialed.dialer.close();
        }
    }

    fn dial(&mut self, address: SocketAddr, give_up_at: Option<Instant>) {
        if Some(address) == self.own_address || self.dialed.contains_key(&address) {
            return;
        }
        let dialer = Dialer::open(DialerConf {
            entry: address.to_string().into(),
            address,
            site_token: SITE_TOKEN.into(),
            hello: self.hello.clone(),
            ids: self.ids.clone(),
            timing: DIALED,
            events: self.events.clone(),
        });
        self.dialed.insert(address, Dialed { dialer, give_up_at });
    }
}
