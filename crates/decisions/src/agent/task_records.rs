//! Records of the tasks started at an endpoint.

use {
    crate::timing::RECORD_WINDOW,
    chestnutrun_types::{
        Attempt, BodyDigest, Epoch, JobRef, KeyHash, Lookup, RecordState, SentStart, Start,
        TaskIndex, TaskOutcome, TaskRecord, TaskRef,
    },
    indexmap::IndexMap,
    std::{collections::VecDeque, time::Instant},
};

/// Epoch of the ownership under which a start was sent, and its attempt number.
pub type StartNumber = (Epoch, Attempt);

/// Started tasks and voided starts of one job.
#[derive(Debug, Default)]
struct JobRecords {
    started: IndexMap<TaskIndex, (TaskRecord, StartNumber)>,
    /// The newest voided start of each task.
    voided: IndexMap<TaskIndex, StartNumber>,
}

/// Records of started tasks, by job, kept for `RECORD_WINDOW`.
#[derive(Debug, Default)]
pub struct TaskRecords {
    jobs: IndexMap<JobRef, JobRecords>,
    /// When the records of each job expire, earliest first.
    deadlines: VecDeque<(Instant, JobRef)>,
    running: u32,
}

impl TaskRecords {
    /// Returns the number of running tasks.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of jobs with records.
    #[must_use]
    pub fn jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the record of a task.
    #[must_use]
    pub fn get(&self, task: &TaskRef) -> Option<&TaskRecord> {
        let job = self.jobs.get(&task.job())?;
        job.started.get(&task.index).map(|(record, _)| record)
    }

    /// Whether the start was voided: the agent promised never to carry it out.
    #[must_use]
    pub fn is_voided(&self, start: &Start) -> bool {
        let voided = self
            .jobs
            .get(&start.task.job())
            .and_then(|job| job.voided.get(&start.task.index));
        voided.is_some_and(|number| *number >= (start.epoch, start.attempt))
    }

    /// Records a start; the task counts as running.
    pub fn record_start(&mut self, at: Instant, start: &Start) {
        self.running += 1;
        let record = TaskRecord {
            task: start.task.clone(),
            digest: start.digest,
            total: start.total,
            state: RecordState::Running,
        };
        let job = self.get_or_insert_job(at, start.task.job());
        let number = (start.epoch, start.attempt);
        job.started.insert(start.task.index, (record, number));
    }

    /// Records the end of a run; returns the digest of the submission's body, or
    /// none if the task was not running.
    pub fn record_end(&mut self, task: &TaskRef, outcome: TaskOutcome) -> Option<BodyDigest> {
        let record = self.running_record(task)?;
        record.state = RecordState::Ended(outcome);
        let digest = record.digest;
        self.running -= 1;
        Some(digest)
    }

    /// Removes the record of a task that the endpoint proved not to have started;
    /// returns the number of the start, or none if the task was not running.
    pub fn remove_unstarted(&mut self, task: &TaskRef) -> Option<StartNumber> {
        self.running_record(task)?;
        let job = self.jobs.get_mut(&task.job())?;
        let (_, number) = job.started.shift_remove(&task.index)?;
        self.running -= 1;
        Some(number)
    }

    /// Voids the requested starts of tasks without a record, so that they are never
    /// carried out; returns the voided starts.
    pub fn void_starts(&mut self, at: Instant, lookup: &Lookup) -> Vec<SentStart> {
        if lookup.to_void.is_empty() {
            return Vec::new();
        }
        let records = self.get_or_insert_job(at, lookup.job.clone());
        let mut voided = lookup.to_void.clone();
        voided.retain(|start| !records.started.contains_key(&start.index));
        for start in &voided {
            let number = (lookup.epoch, start.attempt);
            let newest = records.voided.entry(start.index).or_insert(number);
            *newest = number.max(*newest);
        }
        voided
    }

    /// Returns every record of a job.
    #[must_use]
    pub fn job_records(&self, job: &JobRef) -> Vec<TaskRecord> {
        self.jobs
            .get(job)
            .map(|job| job.started.values().map(|(r, _)| r.clone()).collect())
            .unwrap_or_default()
    }

    /// Returns the records of the running tasks.
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

    /// Returns the key hashes of the jobs with records.
    #[must_use]
    pub fn key_hashes(&self) -> Vec<KeyHash> {
        self.jobs.keys().map(JobRef::key_hash).collect()
    }

    /// Drops the records of jobs whose deadline has passed; a job that still runs
    /// is kept for another `RECORD_WINDOW`.
    pub fn expire(&mut self, at: Instant) {
        while let Some((deadline, _)) = self.deadlines.front() {
            if *deadline > at {
                return;
            }
            let Some((_, job)) = self.deadlines.pop_front() else {
                return;
            };
            if self.is_job_running(&job) {
                self.deadlines.push_back((at + RECORD_WINDOW, job));
            } else {
                self.jobs.swap_remove(&job);
            }
        }
    }

    fn is_job_running(&self, job: &JobRef) -> bool {
        self.jobs.get(job).is_some_and(|records| {
            records
                .started
                .values()
                .any(|(record, _)| record.state == RecordState::Running)
        })
    }

    fn get_or_insert_job(&mut self, at: Instant, job: JobRef) -> &mut JobRecords {
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
