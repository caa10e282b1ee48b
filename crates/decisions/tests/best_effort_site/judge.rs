//! Checks the guarantees to callers, and the starts at endpoints.

use {
    super::Millis,
    chestnutrun_decisions::placement::JobOutcome,
    chestnutrun_types::{JobId, TaskId},
    indexmap::{IndexMap, IndexSet},
};

/// Records what callers and endpoints observe, and asserts that no task runs
/// twice at a time.
#[derive(Debug, Default)]
pub struct Judge {
    running: IndexMap<TaskId, (usize, u64)>,
    started: IndexSet<JobId>,
    done: IndexSet<TaskId>,
    /// How often each job was submitted, and how often it was refused.
    attempts: IndexMap<JobId, (u32, u32)>,
    pub outcomes: IndexMap<&'static str, u32>,
}

impl Judge {
    pub fn submitted(&mut self, job: &JobId) {
        self.attempts.entry(job.clone()).or_default().0 += 1;
    }

    pub fn answered(&mut self, at: Millis, job: &JobId, width: u16, outcome: JobOutcome) {
        let name = match outcome {
            JobOutcome::Completed => {
                let done = self.done.iter().filter(|task| task.job == *job).count();
                assert_eq!(
                    done,
                    usize::from(width),
                    "{at}: {job} was answered as completed; completed tasks"
                );
                "completed"
            }
            JobOutcome::Failed => "failed",
            JobOutcome::Refused(..) => {
                self.attempts.entry(job.clone()).or_default().1 += 1;
                "refused"
            }
            JobOutcome::Expired => "expired",
            JobOutcome::Cancelled | JobOutcome::CancelledUnstarted => "cancelled",
            JobOutcome::IdInUse => panic!("{at}: {job} is no other job"),
        };
        *self.outcomes.entry(name).or_default() += 1;
    }

    /// Records the start of a run.
    pub fn run_started(&mut self, at: Millis, task: &TaskId, endpoint: usize, run: u64) {
        self.started.insert(task.job.clone());
        let other = self.running.insert(task.clone(), (endpoint, run));
        assert_eq!(
            other, None,
            "{at}: {task} started at endpoint {endpoint} as run {run} while it ran"
        );
    }

    /// Records the end of a run, or of its endpoint.
    pub fn run_ended(&mut self, task: &TaskId, endpoint: usize, run: u64, is_done: bool) {
        if self.running.get(task) == Some(&(endpoint, run)) {
            self.running.swap_remove(task);
        }
        if is_done {
            self.done.insert(task.clone());
        }
    }

    /// Checks at the end that nothing runs, and that no job ran whose submissions
    /// were all refused.
    pub fn finish(&self) {
        assert!(
            self.running.is_empty(),
            "runs that did not end: {:?}",
            self.running
        );
        for (job, (attempts, refused)) in &self.attempts {
            let is_refused = attempts == refused;
            assert!(
                !is_refused || !self.started.contains(job),
                "{job} ran though every submission was refused"
            );
        }
    }
}
