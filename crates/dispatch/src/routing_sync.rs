//! Requests a newer routing table from a peer that has one.

use {
    chestnutrun_net::LinkId,
    chestnutrun_types::RoutingVersion,
    indexmap::IndexMap,
    std::time::{Duration, Instant},
};

/// How long a process waits for the table from the directory before it requests
/// the table from a peer. The directory's feed delivers a change within a few
/// milliseconds.
const REQUEST_DELAY: Duration = Duration::from_millis(250);

/// Routing table versions of the peers, and when to request a newer table.
#[derive(Debug, Default)]
pub(crate) struct RoutingSync {
    peer_versions: IndexMap<LinkId, RoutingVersion>,
    /// Time of the next request; none while no peer reported a newer table.
    request_at: Option<Instant>,
}

impl RoutingSync {
    /// Records the version that a peer reported; `own` is this process's version.
    pub(crate) fn record_version(
        &mut self,
        now: Instant,
        own: RoutingVersion,
        peer: LinkId,
        version: RoutingVersion,
    ) {
        self.peer_versions.insert(peer, version);
        if version > own && self.request_at.is_none() {
            self.request_at = Some(now + REQUEST_DELAY);
        }
    }

    /// Forgets the version of a peer whose link closed.
    pub(crate) fn remove_peer(&mut self, peer: LinkId) {
        self.peer_versions.swap_remove(&peer);
    }

    /// Returns the peer with the newest table, if a request is due and that table
    /// is newer than `own`.
    pub(crate) fn due_request(&mut self, now: Instant, own: RoutingVersion) -> Option<LinkId> {
        if self.request_at.is_none_or(|at| now < at) {
            return None;
        }
        let newest = self
            .peer_versions
            .iter()
            .max_by_key(|(_, version)| **version);
        let newer = newest.filter(|(_, version)| **version > own);
        self.request_at = newer.map(|_| now + REQUEST_DELAY);
        newer.map(|(peer, _)| *peer)
    }
}
