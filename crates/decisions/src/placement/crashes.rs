//! Gives up the jobs under whose tasks endpoints crash.

use {
    crate::placement::{CallerId, Dispatcher, JobOutcome},
    chestnutrun_types::{DecisionEvent, EndpointCrash},
    std::time::Instant,
};

/// Crashes of endpoints under a task after which its job fails. At a single one,
/// the crash may be the fault of the endpoint or of a task beside it.
const MAX_CRASHES: usize = 2;

impl Dispatcher {
    pub(super) fn count_crashes(&mut self, now: Instant, crashes: Vec<EndpointCrash>) {
        for crash in crashes {
            for (caller, held) in &self.jobs {
                if crash.tasks.iter().any(|task| task.job == held.job.id) {
                    self.changes.jobs.insert(*caller);
                }
            }
            self.crashes.add(now, crash);
        }
    }

    /// Ends the changed jobs with a task under which endpoints crashed too often.
    pub(super) fn give_up_crashing_jobs(&mut self, now: Instant) {
        let mut given_up: Vec<(CallerId, usize)> = Vec::new();
        for caller in &self.changes.jobs {
            if let Some(held) = self.jobs.get(caller) {
                let crashes = self.crashes.most_under(&held.job.id);
                if crashes >= MAX_CRASHES {
                    given_up.push((*caller, crashes));
                }
            }
        }
        for (caller, crashes) in given_up {
            if let Some(held) = self.jobs.get(&caller) {
                let job = held.job.id.clone();
                self.record(DecisionEvent::JobGivenUp { job, crashes });
                self.end_job(now, caller, JobOutcome::Failed);
            }
        }
    }
}
