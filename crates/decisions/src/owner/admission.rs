//! Admission: which submissions become jobs.

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

/// Longest time after which another try is sensible.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Shortest time after which another try is sensible.
pub(super) const RETRY_AFTER: Duration = Duration::from_secs(1);

impl OwnerMachine {
    /// Checks a new submission against its contract.
    pub(super) fn admission(&self, now: Now, submit: &Submit) -> Result<(), Refusal> {
        let later = Some(now.wall + RETRY_AFTER);
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

    /// Returns when a contract that is full has room again, as its tasks end now.
    fn retry_after(&self, now: Now, contract: &ContractId) -> Duration {
        let time_to_drain = self.policy.time_to_drain(now, contract);
        let time_to_drain = time_to_drain.unwrap_or(RETRY_AFTER);
        time_to_drain.clamp(RETRY_AFTER, MAX_RETRY_AFTER)
    }

    pub(super) fn admit(&mut self, now: Now, from: &EntryId, submit: Submit) {
        let wants_receipt = submit.wants_receipt;
        let mut state = new_job(now, submit);
        state.askers.insert(from.clone());
        let job = state.job.clone();
        let digest = Some(state.digest);
        self.insert_job(state);
        if wants_receipt {
            let accepted = self.reply_about(job.clone(), digest, Reply::Accepted);
            self.reply(from, accepted);
        }
        self.enqueue_waiting(now, &job);
    }

    pub(super) fn insert_job(&mut self, state: JobState) {
        self.forget.push_back((state.forget_at, state.job.clone()));
        self.jobs.insert(state.job.clone(), state);
    }

    pub(super) fn enqueue_waiting(&mut self, now: Now, job: &JobRef) {
        let Some(state) = self.jobs.get(job) else {
            return;
        };
        let Some(spec) = &state.spec else {
            return;
        };
        for task in state.waiting() {
            if let Some(waiting) = waiting_task(now, spec, task) {
                self.policy.enqueue(now, waiting, false);
            }
        }
    }

    /// Puts a task back whose start was proved not to have happened; returns
    /// whether it had been started.
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

/// Makes a job of a submission, recorded from now on.
pub(super) fn new_job(now: Now, submit: Submit) -> JobState {
    let forget_at = now.instant + RECORD_WINDOW;
    JobState::new(submit.job, submit.digest, submit.spec, forget_at)
}

fn refusal(reason: RefusalReason, retry_at: Option<SystemTime>) -> Refusal {
    Refusal { reason, retry_at }
}

fn waiting_task(now: Now, spec: &JobSpec, task: TaskRef) -> Option<WaitingTask> {
    let of_task = spec.tasks.get(usize::from(task.index))?;
    Some(WaitingTask {
        task,
        kind: KindId::clone(&of_task.kind),
        declared_run_time: of_task.declared_run_time,
        urgency: spec.urgency,
        since: now.instant,
        deadline: spec.deadline,
    })
}
