//! Crashes under each task.

use {
    crate::crashes::CRASH_KEPT,
    chestnutrun_types::{EndpointCrash, JobId, TaskId, TaskPosition},
    indexmap::{IndexMap, IndexSet},
    std::time::Instant,
};

/// Most crashes that an entry remembers; the oldest is forgotten first.
const MAX_REMEMBERED: usize = 1_024;

/// Crashes under a task after which it is given up if no other job was at the endpoint
/// at one of them.
const CRASHES_WITH_PROOF: usize = 2;

/// Crashes under a task after which it is given up in any case.
const CRASHES_WITHOUT_PROOF: usize = 3;

/// Crashes under one task.
#[derive(Clone, Copy, Debug, Default)]
struct TaskCrashes {
    all: usize,
    /// Crashes at which only tasks of the same job were at the endpoint.
    alone: usize,
}

impl TaskCrashes {
    /// Whether the task is to blame. At a single crash, and where other jobs were at the
    /// endpoint, the crash may be their fault or that of the endpoint.
    fn is_proof(self) -> bool {
        self.all >= CRASHES_WITHOUT_PROOF || (self.all >= CRASHES_WITH_PROOF && self.alone > 0)
    }
}

/// The recent crashes that agents reported, and their number under each task.
///
/// Every entry learns of every crash, so that the count of a task outlasts the entry
/// that assigned it, and the answer to its caller.
#[derive(Debug, Default)]
pub(crate) struct CrashCounts {
    /// Crashes, and until when each is remembered. An agent may report several crashes
    /// of one incarnation, since it takes an endpoint that it cannot reach for crashed.
    crashes: IndexMap<EndpointCrash, Instant>,
    by_job: IndexMap<JobId, IndexMap<TaskPosition, TaskCrashes>>,
}

impl CrashCounts {
    /// Counts a crash, unless it was reported before.
    pub(crate) fn add(&mut self, now: Instant, crash: EndpointCrash) {
        if self.crashes.contains_key(&crash) {
            return;
        }
        let alone = usize::from(is_of_one_job(&crash));
        for task in distinct_tasks(&crash) {
            let job = self.by_job.entry(task.job.clone()).or_default();
            let counts = job.entry(task.at).or_default();
            counts.all += 1;
            counts.alone += alone;
        }
        self.crashes.insert(crash, now + CRASH_KEPT);
        if self.crashes.len() > MAX_REMEMBERED {
            self.forget_oldest();
        }
    }

    /// Returns the number of the crashes under the task of a job that saw most.
    pub(crate) fn most_under(&self, job: &JobId) -> usize {
        let counts = self.of_job(job).map(|counts| counts.all);
        counts.max().unwrap_or_default()
    }

    /// Whether a task of the job is to blame for crashes.
    pub(crate) fn is_proven(&self, job: &JobId) -> bool {
        self.of_job(job).any(TaskCrashes::is_proof)
    }

    pub(crate) fn forget_old(&mut self, now: Instant) {
        while self
            .crashes
            .first()
            .is_some_and(|(_, kept_until)| *kept_until < now)
        {
            self.forget_oldest();
        }
    }

    fn of_job(&self, job: &JobId) -> impl Iterator<Item = TaskCrashes> {
        let by_task = self.by_job.get(job).into_iter();
        by_task.flat_map(IndexMap::values).copied()
    }

    fn forget_oldest(&mut self) {
        let Some((crash, _)) = self.crashes.shift_remove_index(0) else {
            return;
        };
        let alone = usize::from(is_of_one_job(&crash));
        for task in distinct_tasks(&crash) {
            let Some(by_task) = self.by_job.get_mut(&task.job) else {
                continue;
            };
            if let Some(counts) = by_task.get_mut(&task.at) {
                counts.all -= 1;
                counts.alone -= alone;
            }
            by_task.retain(|_, counts| counts.all > 0);
            if by_task.is_empty() {
                self.by_job.swap_remove(&task.job);
            }
        }
    }
}

/// A task may have been at the endpoint in several runs.
fn distinct_tasks(crash: &EndpointCrash) -> IndexSet<&TaskId> {
    crash.tasks.iter().collect()
}

fn is_of_one_job(crash: &EndpointCrash) -> bool {
    let first = crash.tasks.first();
    first.is_some_and(|first| crash.tasks.iter().all(|task| task.job == first.job))
}
