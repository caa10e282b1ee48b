//! Passes the routing table between processes.

use {
    chestnutrun_net::LinkId,
    chestnutrun_types::RoutingVersion,
    indexmap::IndexMap,
    std::time::{Duration, Instant},
};

/// How long a process waits for its own way to the directory before it asks a
/// peer for a table: a feed brings a change within some milliseconds.
const ASK_AFTER: Duration = Duration::from_millis(250);

/// Which versions of the routing table peers have.
#[derive(Debug, Default)]
pub(crate) struct RoutingNews {
    known: IndexMap<LinkId, RoutingVersion>,
    ask_at: Option<Instant>,
}

impl RoutingNews {
    /// Notes the version that a peer has.
    pub(crate) fn told(
        &mut self,
        now: Instant,
        own: RoutingVersion,
        peer: LinkId,
        version: RoutingVersion,
    ) {
        self.known.insert(peer, version);
        if version > own && self.ask_at.is_none() {
            self.ask_at = Some(now + ASK_AFTER);
        }
    }

    /// Notes that a link closed.
    pub(crate) fn down(&mut self, peer: LinkId) {
        self.known.swap_remove(&peer);
    }

    /// Returns the peer to ask for its table, where one is due.
    pub(crate) fn due(&mut self, now: Instant, own: RoutingVersion) -> Option<LinkId> {
        if self.ask_at.is_none_or(|at| now < at) {
            return None;
        }
        let newest = self.known.iter().max_by_key(|(_, version)| **version);
        let newer = newest.filter(|(_, version)| **version > own);
        self.ask_at = newer.map(|_| now + ASK_AFTER);
        newer.map(|(peer, _)| *peer)
    }
}
