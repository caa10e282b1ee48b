//! Gives up the jobs under whose tasks endpoints crash.

use {
    crate::placement::{CallerId, Dispatcher, JobOutcome},
    chestnutrun_types::{DecisionEvent, EndpointCrash},
    std::time::Instant,
};

impl Dispatcher {
    pub(super) fn count_crashes(&mut self, now: Instant, crashes: Vec<EndpointCrash>) {
        for crash in crashes {
            for (caller, held) in &mut self.jobs {
                if crash.tasks.iter().any(|task| task.job == held.job.id) {
                    held.is_suspect = true;
                    self.changes.jobs.insert(*caller);
                }
            }
            self.crashes.add(now, crash);
        }
    }

    /// Ends the changed jobs with a task that is to blame for crashes.
    pub(super) fn give_up_crashing_jobs(&mut self, now: Instant) {
        let mut given_up: Vec<(CallerId, usize)> = Vec::new();
        for caller in &self.changes.jobs {
            if let Some(held) = self.jobs.get(caller) {
                let job = &held.job.id;
                if self.crashes.is_proven(job) {
                    given_up.push((*caller, self.crashes.most_under(job)));
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
