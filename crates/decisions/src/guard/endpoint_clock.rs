//! Estimate of an endpoint's clock and the end of the lease of its runs.

use {
    crate::timing::ORDER_TIMEOUT,
    std::time::{Duration, Instant},
};

/// Time on an endpoint's clock, counted from the start of the endpoint's process.
pub type EndpointTime = Duration;

/// Rate of the slowest endpoint clock that the platform allows, in percent of the
/// true rate.
const SLOWEST_CLOCK_PERCENT: u32 = 98;

/// The newest known reading of an endpoint's clock, and the latest end of the
/// leases that were requested.
#[derive(Clone, Copy, Debug)]
pub struct EndpointClock {
    reading: EndpointTime,
    received_at: Instant,
    /// Longest lease that the endpoint grants, by the settings; it shortens longer ones.
    longest_lease: Duration,
    leases_end_at: Option<Instant>,
    /// When a lease was last requested.
    extended_at: Option<Instant>,
    /// Whether the endpoint itself answered with a reading.
    is_confirmed: bool,
    /// Whether the endpoint may have carried out orders to an earlier incarnation, whose
    /// clock was ahead, and granted its longest lease.
    may_hold_earlier_leases: bool,
}

impl EndpointClock {
    /// Creates the estimate from a reading that was announced at `now`. The endpoint's first
    /// answer replaces it, since another writer may have announced it.
    #[must_use]
    pub fn announced(now: Instant, reading: EndpointTime, longest_lease: Duration) -> Self {
        Self {
            reading,
            received_at: now,
            longest_lease,
            leases_end_at: None,
            extended_at: None,
            is_confirmed: false,
            may_hold_earlier_leases: false,
        }
    }

    /// Counts on leases by orders to an earlier incarnation that was replaced at `now`, and
    /// again from the first answer on: until then such an order may still arrive.
    pub fn expect_earlier_leases(&mut self, now: Instant) {
        self.may_hold_earlier_leases = true;
        self.count_lease(now + ORDER_TIMEOUT, self.longest_lease);
    }

    /// Returns whether the endpoint itself answered with a reading. Before that no lease
    /// may be asked for: it could last longer than the agent counts on.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.is_confirmed
    }

    /// Updates the estimate with a reading of an answer that arrived at `now`.
    ///
    /// A reading that was delayed on its way is behind the current estimate and
    /// is ignored, unless the stored reading is older than a second.
    ///
    /// A reading that is further behind than an answer can be late is the clock of a later
    /// incarnation, which has carried out an order to the earlier one.
    pub fn update(&mut self, now: Instant, reading: EndpointTime) {
        let estimate = self.earliest_time(now);
        let is_restarted = self.is_confirmed && reading + ORDER_TIMEOUT < estimate;
        if is_restarted || std::mem::take(&mut self.may_hold_earlier_leases) {
            self.count_lease(now, self.longest_lease);
        }
        if !self.is_confirmed
            || is_restarted
            || reading > estimate
            || now.saturating_duration_since(self.received_at) > Duration::from_secs(1)
        {
            self.reading = reading;
            self.received_at = now;
            self.is_confirmed = true;
        }
    }

    /// Returns a lower bound of the endpoint's clock at `now`: the clock may have run
    /// slow since the reading.
    #[must_use]
    pub fn earliest_time(&self, now: Instant) -> EndpointTime {
        let age = now.saturating_duration_since(self.received_at);
        self.reading + age * SLOWEST_CLOCK_PERCENT / 100
    }

    /// Extends the lease to `length` from `now`, but to end by `limit` also on a slow clock;
    /// returns its end on the endpoint's clock. A lease never gets shorter.
    pub fn extend_lease(&mut self, now: Instant, length: Duration, limit: Instant) -> EndpointTime {
        let left = limit.saturating_duration_since(now) * SLOWEST_CLOCK_PERCENT / 100;
        let length = length.min(left);
        self.count_lease(now, length);
        self.extended_at = Some(now);
        self.earliest_time(now) + length
    }

    /// Counts on a lease of this length on the endpoint's clock, which may be slow.
    fn count_lease(&mut self, now: Instant, length: Duration) {
        self.leases_end_at = self.leases_end_at.max(Some(latest_end(now, length)));
    }

    /// Returns when every lease is over, also on a slow clock; none before the endpoint
    /// answered and before the first request.
    #[must_use]
    pub fn leases_end_at(&self) -> Option<Instant> {
        self.leases_end_at
    }

    /// Counterpart of [`Self::leases_end_at`] for a run that a later incarnation may have
    /// taken, on whose clock each request is for the longest lease.
    #[must_use]
    pub fn leases_end_at_any(&self) -> Option<Instant> {
        let longest = self
            .extended_at
            .map(|at| latest_end(at, self.longest_lease));
        self.leases_end_at.max(longest)
    }
}

/// Returns when a lease of this length from `now` ends at the latest, on the slowest clock.
pub(crate) fn latest_end(now: Instant, length: Duration) -> Instant {
    now + length * 100 / SLOWEST_CLOCK_PERCENT
}
