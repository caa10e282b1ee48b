//! The lease of the endpoint's runs, which one order extends for all of them.

use {
    crate::{
        guard::{
            GuardMachine,
            endpoint_clock::latest_end,
            run::{Run, RunKey},
        },
        timing::{ENTRY_PROOF_LIMIT, RUN_LEASE},
    },
    std::time::Instant,
};

impl GuardMachine {
    /// Records that the entry no longer holds a run, which must be over by this moment.
    pub(super) fn release_run(&mut self, key: &RunKey, over_by: Instant) {
        if let Some(run) = self.runs.get_mut(key) {
            run.release(over_by);
        }
    }

    /// Returns when the lease must end at the latest.
    ///
    /// No run may outlast its entry's proof by more than one lease: callers submit again
    /// what a lost entry held or a caller gave up. Where a stop stays unanswered, the end of
    /// the lease is what ends the run, with all others of the endpoint.
    pub(super) fn lease_limit(&self, now: Instant) -> Instant {
        let at_endpoint = self.runs.iter().filter(|run| run.is_at_endpoint());
        let limits = at_endpoint.filter_map(|run| run.over_by.or_else(|| self.proof_end(run)));
        let foreign = self.endpoint.as_ref().and_then(|e| e.foreign_over_by);
        let longest = latest_end(now, RUN_LEASE);
        limits.chain(foreign).fold(longest, Instant::min)
    }

    /// Whether so little of the lease is left that nothing is to start: a stop has been
    /// unanswered for so long that all runs of the endpoint may soon end with their lease.
    pub(super) fn is_lease_short(&self, now: Instant) -> bool {
        self.lease_limit(now) < now + RUN_LEASE / 2
    }

    /// Returns when a run is over at the latest if its entry gives no further sign of life.
    fn proof_end(&self, run: &Run) -> Option<Instant> {
        let entry = self.entries.get(&run.key.entry)?;
        let proven_at = entry.proven_at?;
        Some(latest_end(proven_at + ENTRY_PROOF_LIMIT, RUN_LEASE))
    }
}
