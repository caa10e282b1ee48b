//! Whether an endpoint fails, stalls or slows what it runs.

/// Weight of the newest outcome in the share of failures: about five outcomes
/// decide, so that two failures in a row are enough to be careful.
const OUTCOME_WEIGHT: f32 = 0.2;

/// Share of failures above which an endpoint gets one task at a time: two
/// failures in a row after successes.
const SUSPECT_SHARE: f32 = 0.3;

/// Share of failures above which an endpoint is tried only now and then: five
/// failures in a row after successes, which tasks that fail everywhere hardly
/// cause.
const FAILING_SHARE: f32 = 0.6;

/// Weight of the newest run time in the slowness.
const SLOWNESS_WEIGHT: f32 = 0.1;

/// Largest ratio of run times that one task may show; tails of a kind of task
/// are that much longer and say nothing about the endpoint.
const MAX_RATIO: f32 = 4.0;

/// The recent outcomes of an endpoint's runs.
#[derive(Clone, Copy, Debug)]
pub struct EndpointHealth {
    failures: f32,
    slowness: f32,
}

impl Default for EndpointHealth {
    fn default() -> Self {
        Self {
            failures: 0.0,
            slowness: 1.0,
        }
    }
}

impl EndpointHealth {
    /// Learns that a run completed in `ratio` times the expected time.
    pub fn completed(&mut self, ratio: f32) {
        self.failures *= 1.0 - OUTCOME_WEIGHT;
        let ratio = ratio.min(MAX_RATIO);
        self.slowness += SLOWNESS_WEIGHT * (ratio - self.slowness);
    }

    /// Learns that a run failed, stalled or did not start.
    pub fn failed(&mut self) {
        self.failures += OUTCOME_WEIGHT * (1.0 - self.failures);
    }

    /// Whether the endpoint should be tried with one task at a time.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        self.failures > SUSPECT_SHARE
    }

    /// Whether the endpoint fails nearly everything.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.failures > FAILING_SHARE
    }

    /// Returns the observed run time over the expected one.
    #[must_use]
    pub fn slowness(&self) -> f32 {
        self.slowness
    }
}
