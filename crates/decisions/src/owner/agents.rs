//! Links to agents: fencing, leases, and the records that agents report.

use {
    crate::{
        owner::{AgentOrder, AgentStage, EndpointState, OwnerMachine},
        policy::SlotUse,
        timing::AGENT_LOST_AFTER,
    },
    chestnutrun_types::{
        AgentHello, Attempt, EndpointId, Epoch, Fence, FenceReply, Finished, Incarnation, JobRef,
        KnownAgents, Lookup, LookupReply, Now, RecordState, SentStart, TaskOutcome, TaskRecord,
        TaskRef,
    },
    indexmap::IndexMap,
    std::time::Instant,
};

impl OwnerMachine {
    pub(super) fn agent_up(&mut self, now: Now, hello: AgentHello) {
        let endpoint = hello.endpoint.clone();
        let known = self.endpoints.get(&endpoint);
        if known.is_some_and(|state| !state.is_same_run(hello.incarnation)) {
            self.give_up_run(now, &endpoint);
        }
        let draining = self.configuration.is_draining(&endpoint);
        let state = self
            .endpoints
            .entry(endpoint.clone())
            .or_insert_with(|| EndpointState::new(hello.clone(), draining));
        state.hello = hello;
        state.stage = AgentStage::Linked;
        state.lost_at = None;
        let fence = Fence {
            shard: self.conf.shard,
            epoch: self.conf.epoch,
            owner: self.conf.me.clone(),
        };
        self.order(&endpoint, AgentOrder::Fence(fence));
        self.refresh_slots(now, &endpoint);
    }

    pub(super) fn on_acknowledged(&mut self, now: Now, at: Option<Instant>, agents: KnownAgents) {
        self.takeover.add_agents(agents);
        if let Some(at) = at {
            self.takeover.acknowledge(at);
        }
        if self.takeover.advance(now.instant) {
            self.release_held(now);
        }
    }

    pub(super) fn agent_down(&mut self, now: Now, endpoint: &EndpointId, run: Incarnation) {
        let Some(state) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        if !state.is_same_run(run) {
            return;
        }
        state.stage = AgentStage::Disconnected;
        state.lost_at = Some(now.instant + AGENT_LOST_AFTER);
        self.refresh_slots(now, endpoint);
    }

    pub(super) fn on_fence_reply(&mut self, now: Now, endpoint: &EndpointId, reply: FenceReply) {
        if reply.epoch != self.conf.epoch {
            return;
        }
        let Some(state) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        state.stage = state.stage.max(AgentStage::Fenced);
        let run = (endpoint.clone(), state.hello.incarnation);
        self.takeover.add_job_list(&run, reply.jobs);
        self.reconcile(now, endpoint, &reply.running);
        self.resume_recoveries(&run);
        self.refresh_slots(now, endpoint);
        if self.takeover.advance(now.instant) {
            self.release_held(now);
        }
    }

    /// Records whether an agent holds a lease of this ownership. Without this
    /// lease, the agent refuses every start.
    pub(super) fn on_lease(&mut self, now: Now, endpoint: &EndpointId, leased: Option<Epoch>) {
        let stage = if leased == Some(self.conf.epoch) {
            AgentStage::Leased
        } else {
            AgentStage::Fenced
        };
        if let Some(state) = self.endpoints.get_mut(endpoint)
            && state.stage >= AgentStage::Fenced
        {
            state.stage = stage;
        }
        self.refresh_slots(now, endpoint);
    }

    pub(super) fn on_lookup_reply(&mut self, now: Now, endpoint: &EndpointId, reply: LookupReply) {
        let Some(state) = self.endpoints.get(endpoint) else {
            return;
        };
        let run = (endpoint.clone(), state.hello.incarnation);
        for record in &reply.records {
            self.apply_record(now, endpoint, record);
        }
        for start in &reply.voided {
            let task = reply.job.task(start.index);
            if self.attempt(&task) == start.attempt
                && self.free_slot(now, endpoint, &task, SlotUse::Unknown)
            {
                self.undo_recovered_start(&task);
                self.retry_start(now, &task);
            }
        }
        self.refresh_slots(now, endpoint);
        self.add_recovered_records(now, &run, reply);
    }

    /// Gives up runs of agents that stayed disconnected for too long.
    pub(super) fn give_up_lost_agents(&mut self, now: Now) {
        let lost: Vec<EndpointId> = self
            .endpoints
            .iter()
            .filter(|(_, state)| state.lost_at.is_some_and(|at| at <= now.instant))
            .map(|(endpoint, _)| endpoint.clone())
            .collect();
        for endpoint in lost {
            self.give_up_run(now, &endpoint);
        }
    }

    /// Compares the starts that the owner sent with the tasks that the agent runs.
    ///
    /// Adopts running tasks that the owner did not know, and looks up the starts
    /// whose tasks are not running.
    fn reconcile(&mut self, now: Now, endpoint: &EndpointId, running: &[TaskRecord]) {
        let Some(state) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        let not_running: Vec<TaskRef> = state
            .started
            .iter()
            .filter(|task| !running.iter().any(|record| record.task == **task))
            .cloned()
            .collect();
        for record in running {
            if state.started.insert(record.task.clone()) {
                self.policy.adopt(now, &record.task);
            }
        }
        self.look_up_starts(endpoint, &not_running);
    }

    /// Asks an agent for the outcome of starts whose tasks it does not run.
    /// Starts of which the agent has no record are voided.
    fn look_up_starts(&mut self, endpoint: &EndpointId, not_running: &[TaskRef]) {
        let mut by_job: IndexMap<JobRef, Vec<SentStart>> = IndexMap::new();
        for task in not_running {
            let start = SentStart {
                index: task.index,
                attempt: self.attempt(task),
            };
            by_job.entry(task.job()).or_default().push(start);
        }
        for (job, forgo) in by_job {
            let lookup = Lookup {
                job,
                epoch: self.conf.epoch,
                to_void: forgo,
            };
            self.order(endpoint, AgentOrder::Lookup(lookup));
        }
    }

    /// Returns the attempt number of a task's current start under this
    /// ownership; 0 if the task is not known.
    pub(super) fn attempt(&self, task: &TaskRef) -> Attempt {
        let job = self.jobs.get(&task.job());
        job.and_then(|job| job.attempt(task.index))
            .unwrap_or_default()
    }

    fn apply_record(&mut self, now: Now, endpoint: &EndpointId, record: &TaskRecord) {
        if let RecordState::Ended(outcome) = &record.state {
            let finished = Finished {
                task: record.task.clone(),
                digest: record.digest,
                outcome: outcome.clone(),
            };
            self.on_finished(now, endpoint, finished);
        }
    }

    /// Frees the slots that a lost run of an agent held. The tasks of that run
    /// end with an unknown outcome.
    fn give_up_run(&mut self, now: Now, endpoint: &EndpointId) {
        let Some(state) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        state.stage = AgentStage::Disconnected;
        state.lost_at = None;
        let run = (endpoint.clone(), state.hello.incarnation);
        let tasks: Vec<TaskRef> = state.started.iter().cloned().collect();
        for task in tasks {
            let was_sent = self.is_started_on(&task, endpoint);
            self.free_slot(now, endpoint, &task, SlotUse::Unknown);
            if let Some(recovery) = self.recoveries.get_mut(&task.job()) {
                recovery.end_as_unknown(&task);
            }
            if was_sent {
                self.end_task(now, &task, TaskOutcome::OutcomeUnknown);
                self.answer_if_ended(&task.job());
            }
        }
        self.refresh_slots(now, endpoint);
        self.give_up_run_in_recoveries(now, &run);
    }
}
