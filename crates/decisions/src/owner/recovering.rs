//! Jobs of earlier ownerships, rebuilt from agents' records.

use {
    crate::owner::{
        AgentOrder, AgentReach, AgentRun, OwnerMachine, Recovery, Request, admission::new_job,
        requests::unavailable,
    },
    chestnutrun_types::{
        EndpointId, EntryId, Incarnation, JobAnswer, JobRef, Lookup, LookupReply, Now, RecordState,
        Reply, Submit, TaskOutcome, TaskRecord, TaskRef,
    },
};

impl OwnerMachine {
    pub(super) fn begin_recovery(&mut self, from: EntryId, job: JobRef, mut recovery: Recovery) {
        recovery.askers.insert(from);
        recovery.incomplete = !self.takeover.knows_all();
        let runs: Vec<AgentRun> = recovery.waits_for.iter().cloned().collect();
        for run in runs {
            if !self.may_answer(&run) {
                recovery.lose(&run);
            } else if self.is_fenced(&run) {
                self.look_up(&run.0, &job);
            }
        }
        self.recoveries.insert(job, recovery);
    }

    /// Asks an agent again whose link was replaced.
    pub(super) fn resume_recoveries(&mut self, run: &AgentRun) {
        let jobs: Vec<JobRef> = self
            .recoveries
            .iter()
            .filter(|(_, recovery)| recovery.waits_for(&run.0, run.1))
            .map(|(job, _)| job.clone())
            .collect();
        for job in jobs {
            self.look_up(&run.0, &job);
        }
    }

    pub(super) fn recovery_read(&mut self, now: Now, run: &AgentRun, reply: LookupReply) {
        let Some(recovery) = self.recoveries.get_mut(&reply.job) else {
            return;
        };
        recovery.read(run, reply.records);
        self.end_recovery_if_over(now, &reply.job);
    }

    pub(super) fn lose_recoveries(&mut self, now: Now, run: &AgentRun) {
        for recovery in self.recoveries.values_mut() {
            recovery.lose(run);
        }
        self.end_recoveries(now);
    }

    /// Whether the run is linked, or may come back.
    fn may_answer(&self, (endpoint, run): &AgentRun) -> bool {
        let state = self.endpoints.get(endpoint);
        state.is_some_and(|s| s.is_run(*run) && (s.reach > AgentReach::Away || s.lost_at.is_some()))
    }

    fn is_fenced(&self, (endpoint, run): &AgentRun) -> bool {
        let state = self.endpoints.get(endpoint);
        state.is_some_and(|s| s.is_run(*run) && s.reach >= AgentReach::Fenced)
    }

    fn look_up(&mut self, endpoint: &EndpointId, job: &JobRef) {
        let lookup = Lookup {
            job: job.clone(),
            epoch: self.conf.epoch,
            forgo: Vec::new(),
        };
        self.order(endpoint, AgentOrder::Lookup(lookup));
    }

    pub(super) fn end_recoveries(&mut self, now: Now) {
        let over: Vec<JobRef> = self
            .recoveries
            .iter()
            .filter(|(_, recovery)| recovery.is_over())
            .map(|(job, _)| job.clone())
            .collect();
        for job in over {
            self.end_recovery_if_over(now, &job);
        }
    }

    fn end_recovery_if_over(&mut self, now: Now, job: &JobRef) {
        let over = self.recoveries.get(job).is_some_and(Recovery::is_over);
        if !over {
            return;
        }
        let Some(recovery) = self.recoveries.swap_remove(job) else {
            return;
        };
        let held = recovery.held.clone();
        match recovery.submit.clone() {
            Some(submit) => self.rebuild(now, submit, recovery),
            None => self.answer_from_records(job, &recovery),
        }
        for held in held {
            self.request(now, held.from, held.request);
        }
    }

    fn rebuild(&mut self, now: Now, submit: Submit, recovery: Recovery) {
        let foreign = recovery
            .records
            .iter()
            .any(|(_, record)| record.digest != submit.digest);
        if foreign {
            for asker in &recovery.askers {
                self.reply(asker, self.reply_to(&submit, Reply::KeyReused));
            }
            return;
        }
        if recovery.records.is_empty() && !recovery.incomplete {
            // The hash of another job led here.
            self.takeover.resolve(submit.job.key_hash());
            for asker in recovery.askers {
                self.request(now, asker, Request::Submit(submit.clone()));
            }
            return;
        }
        let job = submit.job.clone();
        let mut state = new_job(now, submit);
        state.askers = recovery.askers;
        self.insert_job(state);
        for (endpoint, record) in recovery.records {
            self.restore(now, &endpoint, record);
        }
        if recovery.incomplete {
            self.give_up_waiting(now, &job);
        }
        self.enqueue_waiting(now, &job);
        self.answer_if_ended(&job);
    }

    fn restore(&mut self, now: Now, endpoint: &EndpointId, record: TaskRecord) {
        let task = record.task;
        let outcome = match record.state {
            RecordState::Ended(outcome) => outcome,
            RecordState::Running => match self.run_holding(endpoint, &task) {
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

    fn run_holding(&self, endpoint: &EndpointId, task: &TaskRef) -> Option<Incarnation> {
        let state = self.endpoints.get(endpoint)?;
        let holds = state.started.contains(task);
        holds.then_some(state.hello.incarnation)
    }

    pub(super) fn give_up_waiting(&mut self, now: Now, job: &JobRef) {
        let tasks: Vec<TaskRef> = match self.jobs.get(job) {
            Some(state) => state.waiting().collect(),
            None => return,
        };
        for task in tasks {
            self.end_task(now, &task, TaskOutcome::OutcomeUnknown);
        }
    }

    /// Answers a question that came without the submission: only where every
    /// task's end is on record.
    fn answer_from_records(&mut self, job: &JobRef, recovery: &Recovery) {
        let whole = whole_answer(&recovery.records);
        let first = recovery.records.first().filter(|_| whole.is_some());
        let digest = first.map(|(_, record)| record.digest);
        let reply = whole.map_or_else(|| unavailable(None), Reply::Answered);
        let reply = self.reply_about(job.clone(), digest, reply);
        for asker in &recovery.askers {
            self.reply(asker, reply.clone());
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
