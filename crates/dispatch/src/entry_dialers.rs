//! Keeps links open to the addresses that the overlay chose.

use {
    chestnutrun_net::{Dialer, DialerConf, LinkEvent, LinkIds, LinkTiming, PeerName},
    chestnutrun_protocol::Hello,
    indexmap::IndexMap,
    std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration},
    tokio::sync::mpsc::Sender,
};

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

/// Keeps links open to the addresses that the overlay chose.
#[derive(Debug)]
pub(crate) struct EntryDialers {
    hello: Rc<RefCell<Hello>>,
    ids: LinkIds,
    events: Sender<LinkEvent>,
    dialers: IndexMap<SocketAddr, Dialer>,
}

impl EntryDialers {
    pub(crate) fn new(hello: Hello, ids: LinkIds, events: Sender<LinkEvent>) -> Self {
        Self {
            hello: Rc::new(RefCell::new(hello)),
            ids,
            events,
            dialers: IndexMap::new(),
        }
    }

    /// Keeps a link open to an address.
    pub(crate) fn dial(&mut self, address: SocketAddr) {
        let dialer = Dialer::open(DialerConf {
            entry: address.to_string().into(),
            address,
            site_token: SITE_TOKEN.into(),
            hello: self.hello.clone(),
            ids: self.ids.clone(),
            timing: DIALED_LINK_TIMING,
            events: self.events.clone(),
        });
        if let Some(earlier) = self.dialers.insert(address, dialer) {
            earlier.close();
        }
    }

    /// Closes the link to an address and does not open it again.
    pub(crate) fn hang_up(&mut self, address: SocketAddr) {
        if let Some(dialer) = self.dialers.swap_remove(&address) {
            dialer.close();
        }
    }

    /// Returns the address of a peer that this process dialed.
    pub(crate) fn address_of(peer: &PeerName) -> Option<SocketAddr> {
        match peer {
            PeerName::Dialed(name) => name.parse().ok(),
            PeerName::Accepted(_) => None,
        }
    }

    /// Closes every link.
    pub(crate) fn close(self) {
        for (_, dialer) in self.dialers {
            dialer.close();
        }
    }
}
