//! Jobs that were cancelled a short time ago.

use {
    chestnutrun_types::{CancelledJob, JobId},
    indexmap::IndexMap,
    std::time::{Duration, Instant},
};

/// How long a cancelled job is remembered: the longest time after which a
/// submission that was sent before may still arrive.
const KEPT_FOR: Duration = Duration::from_secs(30);

/// Longest id that is remembered, in bytes; ids of jobs are shorter.
const MAX_ID_BYTES: usize = 64;

/// Jobs that are remembered at least; the oldest ones are forgotten first.
const MIN_KEPT: usize = 4_096;

/// Further jobs that are remembered before the oldest ones are forgotten together: each
/// time moves all others.
const SURPLUS: usize = 1_024;

/// Jobs that were cancelled a short time ago, with the moment until which each is
/// remembered.
#[derive(Debug, Default)]
pub struct CancelledJobs {
    jobs: IndexMap<JobId, Instant>,
}

impl CancelledJobs {
    /// Remembers a job that a caller cancelled now; returns whether it was not
    /// remembered before.
    pub(crate) fn insert(&mut self, now: Instant, job: JobId) -> bool {
        self.insert_until(now, job, now + KEPT_FOR)
    }

    /// Remembers a job that was cancelled at another process; returns whether it was not
    /// remembered before.
    pub fn insert_remote(&mut self, now: Instant, cancelled: &CancelledJob) -> bool {
        let until = now + cancelled.remembered_for.min(KEPT_FOR);
        !self.contains(now, &cancelled.job)
            && now < until
            && self.insert_until(now, cancelled.job.clone(), until)
    }

    fn insert_until(&mut self, now: Instant, job: JobId, until: Instant) -> bool {
        if job.is_empty() || job.len() > MAX_ID_BYTES {
            return false;
        }
        let is_new = !self.contains(now, &job);
        self.jobs.shift_remove(&job);
        if self.jobs.len() >= MIN_KEPT + SURPLUS {
            let outdated = self.jobs.values().take_while(|until| **until <= now);
            self.jobs.drain(..outdated.count().max(SURPLUS));
        }
        self.jobs.insert(job, until);
        is_new
    }

    /// Returns a remembered job as other entries are told of it.
    pub(crate) fn get(&self, now: Instant, job: &JobId) -> Option<CancelledJob> {
        let remembered_for = self.jobs.get(job)?.checked_duration_since(now)?;
        Some(CancelledJob {
            job: job.clone(),
            remembered_for,
        })
    }

    /// Returns the remembered jobs as other processes are told of them.
    pub fn all(&self, now: Instant) -> impl Iterator<Item = CancelledJob> {
        self.jobs.keys().filter_map(move |job| self.get(now, job))
    }

    pub(crate) fn contains(&self, now: Instant, job: &JobId) -> bool {
        self.jobs.get(job).is_some_and(|until| now < *until)
    }
}
