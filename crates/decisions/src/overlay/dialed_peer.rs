//! State of one address that a process dials.

use {
    crate::overlay::PeerLink,
    std::time::{Duration, Instant},
};

/// How long a link may take to open before another entry is dialed in its place:
/// two attempts to connect.
const DIAL_PATIENCE: Duration = Duration::from_secs(1);

/// How long an address is dialed without success: longer than an entry takes to
/// restart and than most network partitions last.
const DIAL_LIMIT: Duration = Duration::from_secs(20);

/// State of one address that a process dials.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DialedPeer {
    /// The open link; none while there is none.
    pub(crate) link: Option<PeerLink>,
    /// Moment until which the address counts as reachable without a link.
    patient_until: Instant,
    /// Moment at which the address is given up without a link.
    give_up_at: Instant,
    /// Moment from which the link may be closed, as other links took its place;
    /// none while the link is wanted.
    pub(crate) close_from: Option<Instant>,
    /// Whether the entry was told to expect nothing more on the link.
    pub(crate) is_withdrawn: bool,
}

impl DialedPeer {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            link: None,
            patient_until: now + DIAL_PATIENCE,
            give_up_at: now + DIAL_LIMIT,
            close_from: None,
            is_withdrawn: false,
        }
    }

    /// Records that the link closed.
    pub(crate) fn unlink(&mut self, now: Instant) {
        *self = Self::new(now);
    }

    /// Whether the address has a link, or may soon have one.
    pub(crate) fn is_promising(&self, now: Instant) -> bool {
        self.link.is_some() || now < self.patient_until
    }

    /// Whether the address had no link for `DIAL_LIMIT`.
    pub(crate) fn is_lost(&self, now: Instant) -> bool {
        self.link.is_none() && self.give_up_at <= now
    }

    /// Restarts the time after which the address is given up.
    pub(crate) fn postpone_loss(&mut self, now: Instant) {
        self.give_up_at = now + DIAL_LIMIT;
    }
}
