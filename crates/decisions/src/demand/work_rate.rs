//! The rate at which an endpoint works while work waits for it.

use std::time::{Duration, Instant};

/// Time over which the held part of the endpoint is averaged: some tasks end within it.
const AVERAGED: Duration = Duration::from_secs(1);

/// Least held part of an endpoint that is short of room. With less, what waits cannot run
/// there, for instance for want of a label, and says nothing of what else can.
const LEAST_HELD: f64 = 0.75;

/// Weight of the newest run in the ratio of expected to observed run times.
const NEWEST_RUN_WEIGHT: f64 = 0.02;

/// Smallest and largest ratio of expected to observed run times that is used.
const SPEED_RANGE: (f64, f64) = (0.25, 2.0);

/// The rate at which an endpoint works while work waits for it, in expected work: the part
/// of its processor that tasks hold, and the ratio of their expected to their observed run
/// times.
#[derive(Debug)]
pub(crate) struct WorkRate {
    held_part: f64,
    /// Averages of the expected and of the observed work of a run, in core-seconds.
    expected: f64,
    observed: f64,
    /// The held part since a moment, while work waited.
    present: Option<(Instant, f64)>,
}

impl Default for WorkRate {
    fn default() -> Self {
        Self {
            held_part: 1.0,
            expected: 1.0,
            observed: 1.0,
            present: None,
        }
    }
}

impl WorkRate {
    /// Records the part of the processor that tasks hold from now on, and whether work waits.
    pub(crate) fn record_held(&mut self, now: Instant, held_part: f64, is_waited_for: bool) {
        if let Some((since, held)) = self.present {
            let passed = now.saturating_duration_since(since);
            let weight = 1.0 - (-passed.as_secs_f64() / AVERAGED.as_secs_f64()).exp();
            self.held_part += weight * (held.max(LEAST_HELD) - self.held_part);
        }
        self.present = is_waited_for.then_some((now, held_part));
    }

    /// Records a completed run.
    pub(crate) fn record_run(&mut self, cpu_millis: u32, expected: Duration, ran: Duration) {
        let cores = f64::from(cpu_millis) / 1_000.0;
        let mean = |old: &mut f64, run: Duration| {
            *old += NEWEST_RUN_WEIGHT * (run.as_secs_f64() * cores - *old);
        };
        mean(&mut self.expected, expected);
        mean(&mut self.observed, ran);
    }

    /// Returns the rate of an endpoint with this processor.
    pub(crate) fn rate_cpu_millis(&self, total_cpu_millis: u32) -> u32 {
        let speed = self.expected / self.observed.max(f64::MIN_POSITIVE);
        let speed = speed.clamp(SPEED_RANGE.0, SPEED_RANGE.1);
        whole(f64::from(total_cpu_millis) * self.held_part * speed)
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // saturates at the range
fn whole(value: f64) -> u32 {
    value as u32
}
