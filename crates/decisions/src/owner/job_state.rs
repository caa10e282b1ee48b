//! State of one job at its owner.

use {
    chestnutrun_types::{
        Attempt, BodyDigest, EndpointId, EntryId, Incarnation, JobAnswer, JobRef, JobSpec,
        TaskIndex, TaskOutcome, TaskRef,
    },
    indexmap::IndexSet,
    std::time::Instant,
};

/// State of one task of a job.
#[derive(Clone, Debug, PartialEq)]
pub enum TaskState {
    /// The task waits for a slot.
    Waiting,
    /// The task was sent to this run of the endpoint's agent.
    Started(EndpointId, Incarnation),
    /// The task ended with this outcome.
    Ended(TaskOutcome),
}

/// A job and the state of its tasks.
#[derive(Debug)]
pub struct JobState {
    /// Name of the job.
    pub job: JobRef,
    /// Digest of the submission's body.
    pub digest: BodyDigest,
    /// Specification of the job; none once the job ended.
    pub spec: Option<JobSpec>,
    /// Entries that wait for the answer.
    pub waiting_entries: IndexSet<EntryId>,
    /// The answer; none until every task ended.
    pub answer: Option<JobAnswer>,
    /// When the record may be dropped, if the job ended.
    pub forget_at: Instant,
    tasks: Vec<TaskState>,
    attempts: Vec<Attempt>,
    refused_starts: Vec<u32>,
    unended: usize,
}

impl JobState {
    /// Creates a job whose tasks all wait.
    #[must_use]
    pub fn new(job: JobRef, digest: BodyDigest, spec: JobSpec, forget_at: Instant) -> Self {
        let count = spec.tasks.len();
        Self {
            job,
            digest,
            spec: Some(spec),
            waiting_entries: IndexSet::new(),
            answer: None,
            forget_at,
            tasks: vec![TaskState::Waiting; count],
            attempts: vec![0; count],
            refused_starts: vec![0; count],
            unended: count,
        }
    }

    /// Returns the names of the tasks that wait for a slot.
    pub fn waiting_tasks(&self) -> impl Iterator<Item = TaskRef> + '_ {
        self.tasks
            .iter()
            .zip(0..)
            .filter(|(state, _)| **state == TaskState::Waiting)
            .map(|(_, index)| self.job.task(index))
    }

    /// Returns the state of a task.
    #[must_use]
    pub fn task(&self, index: TaskIndex) -> Option<&TaskState> {
        self.tasks.get(usize::from(index))
    }

    /// Records that a task was sent to an agent.
    pub fn start(&mut self, index: TaskIndex, endpoint: EndpointId, incarnation: Incarnation) {
        if let Some(state) = self.tasks.get_mut(usize::from(index)) {
            *state = TaskState::Started(endpoint, incarnation);
        }
    }

    /// Returns the attempt number of the task's current or next start.
    #[must_use]
    pub fn attempt(&self, index: TaskIndex) -> Option<Attempt> {
        self.attempts.get(usize::from(index)).copied()
    }

    /// Lets a task wait again after its start proved not to have happened.
    pub fn requeue(&mut self, index: TaskIndex) {
        let position = usize::from(index);
        if let Some(state) = self.tasks.get_mut(position) {
            *state = TaskState::Waiting;
        }
        if let Some(attempt) = self.attempts.get_mut(position) {
            *attempt += 1;
        }
    }

    /// Counts a refused start of a task; returns the new count.
    pub fn count_refusal(&mut self, index: TaskIndex) -> u32 {
        match self.refused_starts.get_mut(usize::from(index)) {
            Some(count) => {
                *count += 1;
                *count
            }
            None => 0,
        }
    }

    /// Records how a task ended; returns false if the task had ended before.
    pub fn end(&mut self, index: TaskIndex, outcome: TaskOutcome) -> bool {
        let Some(state) = self.tasks.get_mut(usize::from(index)) else {
            return false;
        };
        if matches!(state, TaskState::Ended(_)) {
            return false;
        }
        *state = TaskState::Ended(outcome);
        self.unended -= 1;
        if self.unended == 0 {
            self.finish();
        }
        true
    }

    fn finish(&mut self) {
        let outcomes = self.tasks.drain(..).filter_map(|state| match state {
            TaskState::Ended(outcome) => Some(outcome),
            TaskState::Waiting | TaskState::Started(..) => None,
        });
        self.answer = Some(JobAnswer::new(outcomes));
        self.spec = None;
        self.attempts = Vec::new();
        self.refused_starts = Vec::new();
    }
}
