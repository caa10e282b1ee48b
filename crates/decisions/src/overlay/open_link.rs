//! State of one open link.

use {
    chestnutrun_types::{EntryId, Incarnation},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// How long the news of a start may take to reach every process. For so long an
/// entry that has started answers no digests, and no digest is sent on a new link:
/// the lists would differ by this news alone.
pub(crate) const NEWS_TIME: Duration = Duration::from_secs(2);

/// How long a peer that opened a link has to send a digest. Earlier versions send
/// none and get the whole list.
const DIGEST_WITHIN: Duration = Duration::from_secs(4);

/// An open link.
#[derive(Clone, Debug)]
pub(crate) struct OpenLink {
    /// The dialed address; none for a link that the peer opened.
    pub(crate) address: Option<SocketAddr>,
    /// The entry at the other end; none for an agent, and until the entry
    /// identifies itself.
    pub(crate) entry: Option<(EntryId, Incarnation)>,
    /// Moment at which the peer gets this process's digest; none if it was sent, or
    /// if the peer sends its own.
    pub(crate) digest_due_at: Option<Instant>,
    /// Digest that the peer sent and that was not answered.
    pub(crate) digest: Option<u64>,
    /// Moment at which the peer gets the whole list, unless its digest shows that it
    /// has it.
    pub(crate) list_due_at: Option<Instant>,
}

impl OpenLink {
    /// Creates the state of a link that opened; the address is known if this
    /// process dialed it.
    pub(crate) fn new(now: Instant, address: Option<SocketAddr>) -> Self {
        let is_accepted = address.is_none();
        Self {
            address,
            entry: None,
            digest_due_at: (!is_accepted).then(|| now + NEWS_TIME),
            digest: None,
            list_due_at: is_accepted.then(|| now + DIGEST_WITHIN),
        }
    }
}
