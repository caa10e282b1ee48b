//! Rebuilds jobs of earlier ownerships from the records of agents.

use {
    crate::owner::{
        AgentOrder, AgentRun, AgentStage, OwnerMachine, Recovery, Request, admission::new_job,
        requests::unavailable,
    },
    chestnutrun_types::{
        EndpointId, EntryId, Incarnation, JobAnswer, JobRef, Lookup, LookupReply, Now, RecordState,
        Reply, Submit, TaskOutcome, TaskRecord, TaskRef,
    },
};

impl OwnerMachine {
    pub(super) fn begin_recovery(&mut self, from: EntryId, job: JobRef, mut recovery: Recovery) {
        recovery.waiting_entries.insert(from);
        recovery.incomplete = !self.takeover.has_all_records();
        let runs: Vec<AgentRun> = recovery.unread_runs.iter().cloned().collect();
        for run in runs {
            if !self.may_report(&run) {
                recovery.give_up_run(&run);
            } else if self.is_fenced(&run) {
                self.look_up_job(&run.0, &job);
            }
        }
        self.recoveries.insert(job, recovery);
    }

    /// Repeats the lookups that wait for this run, whose agent linked again.
    pub(super) fn resume_recoveries(&mut self, run: &AgentRun) {
        let jobs: Vec<JobRef> = self
            .recoveries
            .iter()
            .filter(|(_, recovery)| recovery.waits_for(&run.0, run.1))
            .map(|(job, _)| job.clone())
            .collect();
        for job in jobs {
            self.look_up_job(&run.0, &job);
        }
    }

    pub(super) fn add_recovered_records(&mut self, now: Now, run: &AgentRun, reply: LookupReply) {
        let Some(recovery) = self.recoveries.get_mut(&reply.job) else {
            return;
        };
        recovery.add_records(run, reply.records);
        self.end_recovery_if_finished(now, &reply.job);
    }

    pub(super) fn give_up_run_in_recoveries(&mut self, now: Now, run: &AgentRun) {
        for recovery in self.recoveries.values_mut() {
            recovery.give_up_run(run);
        }
        self.end_finished_recoveries(now);
    }

    /// Whether the run is linked, or may link again.
    fn may_report(&self, (endpoint, run): &AgentRun) -> bool {
        let state = self.endpoints.get(endpoint);
        state.is_some_and(|s| {
            s.is_same_run(*run) && (s.stage > AgentStage::Disconnected || s.lost_at.is_some())
        })
    }

    fn is_fenced(&self, (endpoint, run): &AgentRun) -> bool {
        let state = self.endpoints.get(endpoint);
        state.is_some_and(|s| s.is_same_run(*run) && s.stage >= AgentStage::Fenced)
    }

    fn look_up_job(&mut self, endpoint: &EndpointId, job: &JobRef) {
        let lookup = Lookup {
            job: job.clone(),
            epoch: self.conf.epoch,
            to_void: Vec::new(),
        };
        self.order(endpoint, AgentOrder::Lookup(lookup));
    }

    pub(super) fn end_finished_recoveries(&mut self, now: Now) {
        let finished: Vec<JobRef> = self
            .recoveries
            .iter()
            .filter(|(_, recovery)| recovery.is_finished())
            .map(|(job, _)| job.clone())
            .collect();
        for job in finished {
            self.end_recovery_if_finished(now, &job);
        }
    }

    fn end_recovery_if_finished(&mut self, now: Now, job: &JobRef) {
        let finished = self.recoveries.get(job).is_some_and(Recovery::is_finished);
        if !finished {
            return;
        }
        let Some(recovery) = self.recoveries.swap_remove(job) else {
            return;
        };
        let held = recovery.held.clone();
        match recovery.submit.clone() {
            Some(submit) => self.rebuild_job(now, submit, recovery),
            None => self.answer_from_records(job, &recovery),
        }
        for held in held {
            self.on_request(now, held.from, held.request);
        }
    }

    fn rebuild_job(&mut self, now: Now, submit: Submit, recovery: Recovery) {
        let has_other_body = recovery
            .records
            .iter()
            .any(|(_, record)| record.digest != submit.digest);
        if has_other_body {
            for entry in &recovery.waiting_entries {
                self.reply(entry, self.submission_reply(&submit, Reply::KeyReused));
            }
            return;
        }
        if recovery.records.is_empty() && !recovery.incomplete {
            // The hash in the agents' job lists belongs to another job's key.
            self.takeover.forget_runs(submit.job.key_hash());
            for entry in recovery.waiting_entries {
                self.on_request(now, entry, Request::Submit(submit.clone()));
            }
            return;
        }
        let job = submit.job.clone();
        let mut state = new_job(now, submit);
        state.waiting_entries = recovery.waiting_entries;
        self.insert_job(state);
        for (endpoint, record) in recovery.records {
            self.restore_task(now, &endpoint, record);
        }
        if recovery.incomplete {
            self.end_waiting_as_unknown(now, &job);
        }
        self.enqueue_waiting(now, &job);
        self.answer_if_ended(&job);
    }

    fn restore_task(&mut self, now: Now, endpoint: &EndpointId, record: TaskRecord) {
        let task = record.task;
        let outcome = match record.state {
            RecordState::Ended(outcome) => outcome,
            RecordState::Running => match self.run_with_task(endpoint, &task) {
                Some(run) => {
                    if let Some(job) = self.jobs.get_mut(&task.job()) {
                        job.start(task.index, endpoint.clone(), run);
                    }
                    return;
                }
                None => TaskOutcome::OutcomeUnknown,
            },
        };
        self.end_task(now, &task, outcome);
    }

    fn run_with_task(&self, endpoint: &EndpointId, task: &TaskRef) -> Option<Incarnation> {
        let state = self.endpoints.get(endpoint)?;
        let holds = state.started.contains(task);
        holds.then_some(state.hello.incarnation)
    }

    pub(super) fn end_waiting_as_unknown(&mut self, now: Now, job: &JobRef) {
        let tasks: Vec<TaskRef> = match self.jobs.get(job) {
            Some(state) => state.waiting_tasks().collect(),
            None => return,
        };
        for task in tasks {
            self.end_task(now, &task, TaskOutcome::OutcomeUnknown);
        }
    }

    /// Replies to a query without a submission. The reply is the answer only if
    /// the outcome of every task is recorded.
    fn answer_from_records(&mut self, job: &JobRef, recovery: &Recovery) {
        let whole = whole_answer(&recovery.records);
        let first = recovery.records.first().filter(|_| whole.is_some());
        let digest = first.map(|(_, record)| record.digest);
        let reply = whole.map_or_else(|| unavailable(None), Reply::Answered);
        let reply = self.job_reply(job.clone(), digest, reply);
        for entry in &recovery.waiting_entries {
            self.reply(entry, reply.clone());
        }
    }
}

fn whole_answer(records: &[(EndpointId, TaskRecord)]) -> Option<JobAnswer> {
    let total = records.first()?.1.total;
    let outcome_of = |index| {
        records
            .iter()
            .filter(|(_, record)| record.task.index == index)
            .find_map(|(_, record)| match &record.state {
                RecordState::Ended(outcome) => Some(outcome.clone()),
                RecordState::Running => None,
            })
    };
    let outcomes: Option<Vec<TaskOutcome>> = (0..total).map(outcome_of).collect();
    outcomes.map(JobAnswer::new)
}
