//! Admission: decides which submissions become jobs.

use {
    crate::{
        owner::{JobState, OwnerMachine, TaskState},
        policy::WaitingTask,
        timing::RECORD_WINDOW,
    },
    chestnutrun_types::{
        ContractId, EntryId, JobRef, JobSpec, KindId, Now, Overflow, Refusal, RefusalReason, Reply,
        Submit, TaskRef,
    },
    std::time::{Duration, SystemTime},
};

/// Longest retry delay that a refusal suggests.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Shortest retry delay that a refusal suggests.
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

impl OwnerMachine {
    /// Checks whether a new submission is within the limits of its contract.
    pub(super) fn check_admission(&self, now: Now, submit: &Submit) -> Result<(), Refusal> {
        let later = Some(now.wall + MIN_RETRY_AFTER);
        if self.leaving {
            return Err(refusal(RefusalReason::Stopping, later));
        }
        let contract = &submit.job.contract;
        let later = Some(now.wall + self.retry_after(now, contract));
        let Some(terms) = self.configuration.contracts.get(contract) else {
            return Err(refusal(RefusalReason::UnknownContract, None));
        };
        if submit.spec.deadline <= now.wall {
            return Err(refusal(RefusalReason::DeadlineTooNear, None));
        }
        let tasks = submit.spec.tasks.len();
        let waiting = self.policy.waiting(contract) + tasks;
        let in_flight = self.policy.running(contract) + waiting;
        let limit = terms.in_flight_limit as usize;
        if terms.overflow == Overflow::Refuse && in_flight > limit {
            let reason = RefusalReason::OverLimit;
            let never = tasks > limit;
            return Err(refusal(reason, if never { None } else { later }));
        }
        if terms.overflow != Overflow::Refuse && waiting > terms.queue_limit as usize + limit {
            return Err(refusal(RefusalReason::QueueFull, later));
        }
        Ok(())
    }

    /// Estimates how long a contract takes to have room again, from the rate at
    /// which its tasks end now.
    fn retry_after(&self, now: Now, contract: &ContractId) -> Duration {
        let time_to_drain = self.policy.time_to_drain(now, contract);
        let time_to_drain = time_to_drain.unwrap_or(MIN_RETRY_AFTER);
        time_to_drain.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Records a new job and queues its tasks.
    pub(super) fn admit(&mut self, now: Now, from: &EntryId, submit: Submit) {
        let wants_receipt = submit.wants_receipt;
        let mut state = new_job(now, submit);
        state.waiting_entries.insert(from.clone());
        let job = state.job.clone();
        let digest = Some(state.digest);
        self.insert_job(state);
        if wants_receipt {
            let accepted = self.job_reply(job.clone(), digest, Reply::Accepted);
            self.reply(from, accepted);
        }
        self.enqueue_waiting(now, &job);
    }

    pub(super) fn insert_job(&mut self, state: JobState) {
        self.forget_queue
            .push_back((state.forget_at, state.job.clone()));
        self.jobs.insert(state.job.clone(), state);
    }

    pub(super) fn enqueue_waiting(&mut self, now: Now, job: &JobRef) {
        let Some(state) = self.jobs.get(job) else {
            return;
        };
        let Some(spec) = &state.spec else {
            return;
        };
        for task in state.waiting_tasks() {
            if let Some(waiting) = waiting_task(now, spec, task) {
                self.policy.enqueue(now, waiting, false);
            }
        }
    }

    /// Returns a task to the queue after its start proved not to have happened.
    ///
    /// Returns whether the task counted as started before.
    pub(super) fn requeue(&mut self, now: Now, task: &TaskRef) -> bool {
        let Some(state) = self.jobs.get_mut(&task.job()) else {
            return false;
        };
        if !matches!(state.task(task.index), Some(TaskState::Started(..))) {
            return false;
        }
        state.requeue(task.index);
        let waiting = state
            .spec
            .as_ref()
            .and_then(|spec| waiting_task(now, spec, task.clone()));
        if let Some(waiting) = waiting {
            self.policy.enqueue(now, waiting, true);
        }
        true
    }
}

/// Creates the job of a submission. The job's record is kept for
/// [`RECORD_WINDOW`].
pub(super) fn new_job(now: Now, submit: Submit) -> JobState {
    let forget_at = now.instant + RECORD_WINDOW;
    JobState::new(submit.job, submit.digest, submit.spec, forget_at)
}

fn refusal(reason: RefusalReason, retry_at: Option<SystemTime>) -> Refusal {
    Refusal { reason, retry_at }
}

fn waiting_task(now: Now, spec: &JobSpec, task: TaskRef) -> Option<WaitingTask> {
    let task_spec = spec.tasks.get(usize::from(task.index))?;
    Some(WaitingTask {
        task,
        kind: KindId::clone(&task_spec.kind),
        declared_run_time: task_spec.declared_run_time,
        urgency: spec.urgency,
        since: now.instant,
        deadline: spec.deadline,
    })
}
