//! Quarantine of endpoints where tasks fail.

use {
    chestnutrun_types::{ContractId, EndpointId, KindId},
    indexmap::{IndexMap, IndexSet},
    std::time::{Duration, Instant},
};

/// Most kinds of tasks whose failures are kept.
const MAX_KINDS: usize = 10_000;

/// Consecutive failures after which an endpoint is quarantined.
const FAILURES_BEFORE_QUARANTINE: u32 = 3;

/// Length of an endpoint's first quarantine; each further one is twice as long as
/// the one before.
const FIRST_QUARANTINE: Duration = Duration::from_secs(1);

/// Most doublings of the length of a quarantine.
const MAX_DOUBLINGS: u32 = 5;

/// Counts an endpoint's consecutive failures and quarantines the endpoint.
///
/// After a quarantine, the endpoint runs one task at a time until one completes;
/// a failure starts the next quarantine.
#[derive(Debug, Default)]
pub struct Health {
    failures: u32,
    quarantines: u32,
    quarantined_until: Option<Instant>,
}

impl Health {
    /// Records that a task completed, which ends any quarantine.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records that a task failed at the moment `at`.
    pub fn record_failure(&mut self, at: Instant) {
        self.failures += 1;
        let is_probe = self.quarantined_until.is_some();
        if self.failures >= FAILURES_BEFORE_QUARANTINE || is_probe {
            let doublings = self.quarantines.min(MAX_DOUBLINGS);
            self.quarantined_until = Some(at + FIRST_QUARANTINE * 2_u32.pow(doublings));
            self.quarantines += 1;
            self.failures = 0;
        }
    }

    /// Whether a task failed and none has completed since.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        self.failures > 0 || self.quarantines > 0
    }

    /// Returns how many tasks the endpoint may run at once, out of `slots`.
    #[must_use]
    pub fn max_tasks(&self, at: Instant, slots: u32) -> u32 {
        match self.quarantined_until {
            None => slots,
            Some(until) if at < until => 0,
            Some(_) => 1,
        }
    }
}

/// Distinguishes faulty endpoints from kinds of tasks that fail on every endpoint.
#[derive(Debug, Default)]
pub struct KindFailures {
    failed_endpoints: IndexMap<(ContractId, KindId), IndexSet<EndpointId>>,
}

impl KindFailures {
    /// Records that a task of a kind completed.
    pub fn record_success(&mut self, contract: &ContractId, kind: &KindId) {
        if !self.failed_endpoints.is_empty() {
            self.failed_endpoints
                .swap_remove(&(contract.clone(), kind.clone()));
        }
    }

    /// Records that a task of a kind failed at an endpoint.
    ///
    /// Returns whether the failure counts against the endpoint. It counts if the
    /// kind has failed at no other endpoint since a task of the kind last
    /// completed.
    pub fn record_failure(
        &mut self,
        contract: &ContractId,
        kind: &KindId,
        endpoint: &EndpointId,
    ) -> bool {
        if self.failed_endpoints.len() >= MAX_KINDS {
            self.failed_endpoints.swap_remove_index(0);
        }
        let key = (contract.clone(), kind.clone());
        let endpoints = self.failed_endpoints.entry(key).or_default();
        endpoints.insert(endpoint.clone());
        endpoints.len() == 1
    }
}
