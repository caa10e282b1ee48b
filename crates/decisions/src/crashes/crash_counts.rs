//! Crashes under each task.

use {
    crate::crashes::CRASH_KEPT,
    chestnutrun_types::{EndpointCrash, EndpointId, Incarnation, JobId, TaskId, TaskPosition},
    indexmap::IndexMap,
    std::time::Instant,
};

/// Most crashes that an entry remembers; the oldest is forgotten first.
const MAX_CRASHES: usize = 1_024;

/// Tasks that were at an endpoint when it crashed.
#[derive(Debug)]
struct Crash {
    kept_until: Instant,
    tasks: Vec<TaskId>,
}

/// The recent crashes that agents reported, and their number under each task.
///
/// Every entry learns of every crash, so that the count of a task outlasts the entry
/// that assigned it, and the answer to its caller.
#[derive(Debug, Default)]
pub(crate) struct CrashCounts {
    crashes: IndexMap<(EndpointId, Incarnation), Crash>,
    by_job: IndexMap<JobId, IndexMap<TaskPosition, usize>>,
}

impl CrashCounts {
    /// Counts a crash, unless it was reported before.
    pub(crate) fn add(&mut self, now: Instant, crash: EndpointCrash) {
        let key = (crash.endpoint, crash.incarnation);
        if self.crashes.contains_key(&key) {
            return;
        }
        for task in &crash.tasks {
            let job = self.by_job.entry(task.job.clone()).or_default();
            *job.entry(task.at).or_default() += 1;
        }
        let kept_until = now + CRASH_KEPT;
        let tasks = crash.tasks;
        self.crashes.insert(key, Crash { kept_until, tasks });
        if self.crashes.len() > MAX_CRASHES {
            self.forget_oldest();
        }
    }

    /// Returns the number of the crashes under the task of a job that saw most.
    pub(crate) fn most_under(&self, job: &JobId) -> usize {
        let by_task = self.by_job.get(job);
        let counts = by_task.into_iter().flat_map(IndexMap::values);
        counts.copied().max().unwrap_or_default()
    }

    pub(crate) fn forget_old(&mut self, now: Instant) {
        while self
            .crashes
            .first()
            .is_some_and(|(_, crash)| crash.kept_until < now)
        {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((_, crash)) = self.crashes.shift_remove_index(0) else {
            return;
        };
        for task in crash.tasks {
            let Some(by_task) = self.by_job.get_mut(&task.job) else {
                continue;
            };
            if let Some(count) = by_task.get_mut(&task.at) {
                *count -= 1;
            }
            by_task.retain(|_, count| *count > 0);
            if by_task.is_empty() {
                self.by_job.swap_remove(&task.job);
            }
        }
    }
}
