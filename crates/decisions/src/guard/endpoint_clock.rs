//! What is known of an endpoint's clock and of the lease of its runs.

use std::time::{Duration, Instant};

/// Time on an endpoint's clock, since its start.
pub type EndpointTime = Duration;

/// Share by which an endpoint's clock may be slow, in percent; from the
/// platform's description of leases.
const CLOCK_RATE_ERROR_PERCENT: u32 = 2;

/// An endpoint's clock as of its last answer, and the end of the lease that
/// was asked for.
#[derive(Clone, Copy, Debug)]
pub struct EndpointClock {
    read: EndpointTime,
    read_at: Instant,
    lapses_at: Option<Instant>,
}

impl EndpointClock {
    /// Starts with a reading that arrived now.
    #[must_use]
    pub fn new(now: Instant, read: EndpointTime) -> Self {
        Self {
            read,
            read_at: now,
            lapses_at: None,
        }
    }

    /// Takes a reading that arrived now.
    ///
    /// A reading that was long under way shows less than the clock now shows;
    /// the one that shows the most is the newest.
    pub fn take(&mut self, now: Instant, read: EndpointTime) {
        if read > self.at(now)
            || now.saturating_duration_since(self.read_at) > Duration::from_secs(1)
        {
            self.read = read;
            self.read_at = now;
        }
    }

    /// Returns a time that the clock has at least reached.
    #[must_use]
    pub fn at(&self, now: Instant) -> EndpointTime {
        self.read + now.saturating_duration_since(self.read_at)
    }

    /// Asks for a lease from now on; returns its end on the endpoint's clock.
    pub fn lease(&mut self, now: Instant, length: Duration) -> EndpointTime {
        let longest = length + length * CLOCK_RATE_ERROR_PERCENT / 100;
        self.lapses_at = self.lapses_at.max(Some(now + longest));
        self.at(now) + length
    }

    /// Returns when every lease that was asked for is over.
    #[must_use]
    pub fn lapses_at(&self) -> Option<Instant> {
        self.lapses_at
    }
}
