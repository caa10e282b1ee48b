//! Ends tasks and jobs, and frees their slots.

use {
    crate::{
        owner::{OwnerMachine, TaskState},
        policy::SlotUse,
    },
    chestnutrun_types::{
        EndpointId, Finished, JobRef, Now, RefusalReason, Reply, StartRefusal, StartRefused,
        TaskOutcome, TaskRef,
    },
    std::time::Duration,
};

/// Most refused starts of one task. The next refusal ends the task as not run.
const MAX_REFUSED_STARTS: u32 = 16;

/// How long an owner sends no start to an agent that refused one.
const REFUSAL_PAUSE: Duration = Duration::from_millis(50);

impl OwnerMachine {
    pub(super) fn on_finished(&mut self, now: Now, endpoint: &EndpointId, finished: Finished) {
        if self.ran_other_body(&finished) {
            self.free_run_of_other_body(now, endpoint, &finished.task);
            return;
        }
        let slot_use = slot_use(&finished.outcome);
        if !self.free_slot(now, endpoint, &finished.task, slot_use) {
            return;
        }
        self.update_health(now, endpoint, &finished);
        self.refresh_slots(now, endpoint);
        let job = finished.task.job();
        if let Some(recovery) = self.recoveries.get_mut(&job) {
            recovery.end_task(&finished);
        }
        self.end_task(now, &finished.task, finished.outcome);
        self.answer_if_ended(&job);
    }

    /// Whether the finished task belongs to another body than the known job of the
    /// same key.
    fn ran_other_body(&self, finished: &Finished) -> bool {
        let job = self.jobs.get(&finished.task.job());
        job.is_some_and(|job| job.digest != finished.digest)
    }

    /// Frees the slot of a run that belonged to another body under the same key.
    ///
    /// Once an agent has run a task under one body, it refuses every start of that
    /// task under another, so the known job's task has not run at this agent.
    fn free_run_of_other_body(&mut self, now: Now, endpoint: &EndpointId, task: &TaskRef) {
        let was_sent = self.is_started_on(task, endpoint);
        self.free_slot(now, endpoint, task, SlotUse::Unknown);
        self.refresh_slots(now, endpoint);
        if was_sent {
            let outcome = TaskOutcome::NotRun(RefusalReason::KeyReused);
            self.end_task(now, task, outcome);
            self.answer_if_ended(&task.job());
        }
    }

    /// Records a task's outcome in the health of its endpoint.
    fn update_health(&mut self, now: Now, endpoint: &EndpointId, finished: &Finished) {
        let contract = &finished.task.contract;
        let job = self.jobs.get(&finished.task.job());
        let spec = job.and_then(|job| job.spec.as_ref());
        let task = spec.and_then(|spec| spec.tasks.get(usize::from(finished.task.index)));
        let Some(state) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        match &finished.outcome {
            TaskOutcome::Completed(_) => {
                state.health.record_success();
                if let Some(task) = task {
                    self.kind_failures.record_success(contract, &task.kind);
                }
            }
            TaskOutcome::FailedWhileRunning(_) => {
                let is_endpoint_failure = task.is_none_or(|task| {
                    self.kind_failures
                        .record_failure(contract, &task.kind, endpoint)
                });
                if is_endpoint_failure {
                    state.health.record_failure(now.instant);
                }
            }
            _ => {}
        }
    }

    pub(super) fn on_start_refused(
        &mut self,
        now: Now,
        endpoint: &EndpointId,
        refused: &StartRefused,
    ) {
        if !self.is_current(refused)
            || !self.free_slot(now, endpoint, &refused.task, SlotUse::Unknown)
        {
            return;
        }
        self.undo_recovered_start(&refused.task);
        if refused.reason == StartRefusal::KeyReused {
            let outcome = TaskOutcome::NotRun(RefusalReason::KeyReused);
            self.refresh_slots(now, endpoint);
            self.end_task(now, &refused.task, outcome);
            self.answer_if_ended(&refused.task.job());
            return;
        }
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            if refused.reason == StartRefusal::Leaving {
                state.hello.leaving = true;
            }
            state.retry_at = Some(now.instant + REFUSAL_PAUSE);
        }
        self.refresh_slots(now, endpoint);
        if refused.reason == StartRefusal::EndpointRefused {
            self.retry_start(now, &refused.task);
        } else {
            self.requeue(now, &refused.task);
        }
    }

    /// Requeues a task that proved not to have started; ends the task instead
    /// after too many refused starts.
    pub(super) fn retry_start(&mut self, now: Now, task: &TaskRef) {
        if !self.requeue(now, task) || self.count_refusal(task) <= MAX_REFUSED_STARTS {
            return;
        }
        self.policy.remove(task);
        let outcome = TaskOutcome::NotRun(RefusalReason::RetriesExhausted);
        self.end_task(now, task, outcome);
        self.answer_if_ended(&task.job());
    }

    /// Whether a refusal concerns the task's current start: the newest start of
    /// this ownership, or a start of an earlier ownership that this ownership
    /// took over.
    fn is_current(&self, refused: &StartRefused) -> bool {
        let attempt = self.attempt(&refused.task);
        if refused.epoch == self.conf.epoch {
            attempt == refused.attempt
        } else {
            refused.epoch < self.conf.epoch && attempt == 0
        }
    }

    fn count_refusal(&mut self, task: &TaskRef) -> u32 {
        let job = self.jobs.get_mut(&task.job());
        job.map_or(0, |job| job.count_refusal(task.index))
    }

    /// Removes a start that did not happen from the job's recovery, if one is
    /// in progress.
    pub(super) fn undo_recovered_start(&mut self, task: &TaskRef) {
        if let Some(recovery) = self.recoveries.get_mut(&task.job()) {
            recovery.remove_start(task);
        }
    }

    pub(super) fn end_past_deadline(&mut self, now: Now, task: &TaskRef) {
        self.end_task(now, task, TaskOutcome::DeadlinePassed);
        self.answer_if_ended(&task.job());
    }

    pub(super) fn end_task(&mut self, _now: Now, task: &TaskRef, outcome: TaskOutcome) {
        if let Some(state) = self.jobs.get_mut(&task.job()) {
            state.end(task.index, outcome);
        }
    }

    /// Sends the answer to the entries that wait for it, once the job ended.
    pub(super) fn answer_if_ended(&mut self, job: &JobRef) {
        let Some(state) = self.jobs.get_mut(job) else {
            return;
        };
        let Some(answer) = state.answer.clone() else {
            return;
        };
        let waiting_entries = std::mem::take(&mut state.waiting_entries);
        let digest = Some(state.digest);
        let reply = self.job_reply(job.clone(), digest, Reply::Answered(answer));
        for entry in waiting_entries {
            self.reply(&entry, reply.clone());
        }
    }

    /// Frees the slot of a task at an endpoint; returns whether the task held
    /// one there.
    pub(super) fn free_slot(
        &mut self,
        now: Now,
        endpoint: &EndpointId,
        task: &TaskRef,
        slot_use: SlotUse,
    ) -> bool {
        let Some(state) = self.endpoints.get_mut(endpoint) else {
            return false;
        };
        if !state.started.swap_remove(task) {
            return false;
        }
        self.policy.release(now, task, slot_use);
        true
    }

    /// Whether the owner recorded the task as started on the endpoint.
    pub(super) fn is_started_on(&self, task: &TaskRef, endpoint: &EndpointId) -> bool {
        let state = self
            .jobs
            .get(&task.job())
            .and_then(|job| job.task(task.index));
        matches!(state, Some(TaskState::Started(on, _)) if on == endpoint)
    }
}

fn slot_use(outcome: &TaskOutcome) -> SlotUse {
    match outcome {
        TaskOutcome::Completed(_) => SlotUse::Completed,
        TaskOutcome::FailedWhileRunning(_) => SlotUse::Failed,
        _ => SlotUse::Unknown,
    }
}
