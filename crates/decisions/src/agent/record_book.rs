//! Records of every start on an endpoint.

use {
    crate::timing::RECORD_WINDOW,
    chestnutrun_types::{
        Attempt, BodyDigest, Epoch, JobRef, KeyHash, Lookup, RecordState, SentStart, Start,
        TaskIndex, TaskOutcome, TaskRecord, TaskRef,
    },
    indexmap::IndexMap,
    std::{collections::VecDeque, time::Instant},
};

/// Number of a start: its ownership, and which of the starts under it.
pub type StartNumber = (Epoch, Attempt);

/// What is known of the tasks of one job.
#[derive(Debug, Default)]
struct JobRecords {
    started: IndexMap<TaskIndex, (TaskRecord, StartNumber)>,
    forgone: IndexMap<TaskIndex, StartNumber>,
}

/// The records, by job, until their deadlines.
#[derive(Debug, Default)]
pub struct RecordBook {
    jobs: IndexMap<JobRef, JobRecords>,
    deadlines: VecDeque<(Instant, JobRef)>,
    running: u32,
}

impl RecordBook {
    /// Returns how many tasks run.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns how many jobs have records.
    #[must_use]
    pub fn jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the record of a start.
    #[must_use]
    pub fn get(&self, task: &TaskRef) -> Option<&TaskRecord> {
        let job = self.jobs.get(&task.job())?;
        job.started.get(&task.index).map(|(record, _)| record)
    }

    /// Whether the agent promised never to carry out the start.
    #[must_use]
    pub fn is_forgone(&self, start: &Start) -> bool {
        let promised = self
            .jobs
            .get(&start.task.job())
            .and_then(|job| job.forgone.get(&start.task.index));
        promised.is_some_and(|number| *number >= (start.epoch, start.attempt))
    }

    /// Records a start.
    pub fn start(&mut self, at: Instant, start: &Start) {
        self.running += 1;
        let record = TaskRecord {
            task: start.task.clone(),
            digest: start.digest,
            total: start.total,
            state: RecordState::Running,
        };
        let job = self.job_at(at, start.task.job());
        let number = (start.epoch, start.attempt);
        job.started.insert(start.task.index, (record, number));
    }

    /// Records the end of a run; returns the digest of its body where it was
    /// running.
    pub fn end(&mut self, task: &TaskRef, outcome: TaskOutcome) -> Option<BodyDigest> {
        let record = self.running_record(task)?;
        record.state = RecordState::Ended(outcome);
        let digest = record.digest;
        self.running -= 1;
        Some(digest)
    }

    /// Forgets a start that the endpoint proved not to have happened; returns
    /// its number where it was running.
    pub fn undo(&mut self, task: &TaskRef) -> Option<StartNumber> {
        self.running_record(task)?;
        let job = self.jobs.get_mut(&task.job())?;
        let (_, number) = job.started.shift_remove(&task.index)?;
        self.running -= 1;
        Some(number)
    }

    /// Promises never to carry out starts of tasks without a record; returns
    /// those starts.
    pub fn forgo(&mut self, at: Instant, lookup: &Lookup) -> Vec<SentStart> {
        if lookup.to_void.is_empty() {
            return Vec::new();
        }
        let records = self.job_at(at, lookup.job.clone());
        let mut forgone = lookup.to_void.clone();
        forgone.retain(|start| !records.started.contains_key(&start.index));
        for start in &forgone {
            let number = (lookup.epoch, start.attempt);
            let promised = records.forgone.entry(start.index).or_insert(number);
            *promised = number.max(*promised);
        }
        forgone
    }

    /// Returns every record of a job.
    #[must_use]
    pub fn of_job(&self, job: &JobRef) -> Vec<TaskRecord> {
        self.jobs
            .get(job)
            .map(|job| job.started.values().map(|(r, _)| r.clone()).collect())
            .unwrap_or_default()
    }

    /// Returns the records of the tasks that run.
    #[must_use]
    pub fn running_records(&self) -> Vec<TaskRecord> {
        self.jobs
            .values()
            .flat_map(|job| job.started.values())
            .map(|(record, _)| record)
            .filter(|record| record.state == RecordState::Running)
            .cloned()
            .collect()
    }

    /// Returns the hash of every job with a record.
    #[must_use]
    pub fn key_hashes(&self) -> Vec<KeyHash> {
        self.jobs.keys().map(JobRef::key_hash).collect()
    }

    /// Drops jobs whose records' deadlines passed and that do not run.
    pub fn expire(&mut self, at: Instant) {
        while let Some((deadline, _)) = self.deadlines.front() {
            if *deadline > at {
                return;
            }
            let Some((_, job)) = self.deadlines.pop_front() else {
                return;
            };
            if self.runs(&job) {
                self.deadlines.push_back((at + RECORD_WINDOW, job));
            } else {
                self.jobs.swap_remove(&job);
            }
        }
    }

    fn runs(&self, job: &JobRef) -> bool {
        self.jobs.get(job).is_some_and(|records| {
            records
                .started
                .values()
                .any(|(record, _)| record.state == RecordState::Running)
        })
    }

    fn job_at(&mut self, at: Instant, job: JobRef) -> &mut JobRecords {
        if !self.jobs.contains_key(&job) {
            self.deadlines.push_back((at + RECORD_WINDOW, job.clone()));
        }
        self.jobs.entry(job).or_default()
    }

    fn running_record(&mut self, task: &TaskRef) -> Option<&mut TaskRecord> {
        let job = self.jobs.get_mut(&task.job())?;
        let (record, _) = job.started.get_mut(&task.index)?;
        (record.state == RecordState::Running).then_some(record)
    }
}
