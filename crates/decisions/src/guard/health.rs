//! Failure share of an endpoint, estimated from its recent runs.

/// Weight of the newest outcome in the failure share: about the last five
/// outcomes count, so that two failures in a row make an endpoint suspect.
const OUTCOME_WEIGHT: f32 = 0.2;

/// Failure share above which an endpoint gets one task at a time: reached by
/// two failures in a row after successes.
const SUSPECT_SHARE: f32 = 0.3;

/// Failure share above which an endpoint is tried only after a pause: reached by
/// five failures in a row after successes. Tasks that fail on every endpoint
/// hardly ever cause so many.
const FAILING_SHARE: f32 = 0.6;

/// Moving average over the recent runs of an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointHealth {
    failure_share: f32,
}

impl EndpointHealth {
    /// Records a run that completed.
    pub fn record_completion(&mut self) {
        self.failure_share *= 1.0 - OUTCOME_WEIGHT;
    }

    /// Records a run that failed, stalled or did not start.
    pub fn record_failure(&mut self) {
        self.failure_share += OUTCOME_WEIGHT * (1.0 - self.failure_share);
    }

    /// Whether the endpoint should get only one task at a time.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        self.failure_share > SUSPECT_SHARE
    }

    /// Whether nearly every run fails at the endpoint.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.failure_share > FAILING_SHARE
    }
}
