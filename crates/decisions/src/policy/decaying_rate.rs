//! A rate that is averaged over the last seconds.

use std::time::{Duration, Instant};

/// Time constant of the exponential average.
const TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Exponential moving average of an amount per second.
#[derive(Debug, Default)]
pub struct DecayingRate {
    per_second: f64,
    at: Option<Instant>,
}

impl DecayingRate {
    /// Adds an amount at a moment.
    pub fn add(&mut self, at: Instant, amount: f64) {
        self.per_second = self.per_second(at) + amount / TIME_CONSTANT.as_secs_f64();
        self.at = Some(at);
    }

    /// Returns the average amount per second at a moment.
    #[must_use]
    pub fn per_second(&self, at: Instant) -> f64 {
        let Some(since) = self.at else {
            return 0.0;
        };
        let passed = at.saturating_duration_since(since).as_secs_f64();
        self.per_second * (-passed / TIME_CONSTANT.as_secs_f64()).exp()
    }
}
