//! Agents that come, go and tell their records.

use {
    crate::{
        owner::{AgentOrder, AgentReach, EndpointState, OwnerMachine},
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
        if known.is_some_and(|state| !state.is_run(hello.incarnation)) {
            self.lose_run(now, &endpoint);
        }
        let draining = self.configuration.is_draining(&endpoint);
        let state = self
            .endpoints
            .entry(endpoint.clone())
            .or_insert_with(|| EndpointState::new(hello.clone(), draining));
        state.hello = hello;
        state.reach = AgentReach::Linked;
        state.lost_at = None;
        let fence = Fence {
            shard: self.conf.shard,
            epoch: self.conf.epoch,
            owner: self.conf.me.clone(),
        };
        self.order(&endpoint, AgentOrder::Fence(fence));
        self.refresh_slots(now, &endpoint);
    }

    pub(super) fn acknowledged(&mut self, now: Now, at: Option<Instant>, agents: KnownAgents) {
        self.takeover.learn(agents);
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
        if !state.is_run(run) {
            return;
        }
        state.reach = AgentReach::Away;
        state.lost_at = Some(now.instant + AGENT_LOST_AFTER);
        self.refresh_slots(now, endpoint);
    }

    pub(super) fn fenced(&mut self, now: Now, endpoint: &EndpointId, reply: FenceReply) {
        if reply.epoch != self.conf.epoch {
            return;
        }
        let Some(state) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        state.reach = state.reach.max(AgentReach::Fenced);
        let run = (endpoint.clone(), state.hello.incarnation);
        self.takeover.read(&run, reply.jobs);
        self.reconcile(now, endpoint, &reply.running);
        self.resume_recoveries(&run);
        self.refresh_slots(now, endpoint);
        if self.takeover.advance(now.instant) {
            self.release_held(now);
        }
    }

    /// Takes an agent's word on its lease: without one it would refuse starts.
    pub(super) fn leased(&mut self, now: Now, endpoint: &EndpointId, leased: Option<Epoch>) {
        let reach = if leased == Some(self.conf.epoch) {
            AgentReach::Leased
        } else {
            AgentReach::Fenced
        };
        if let Some(state) = self.endpoints.get_mut(endpoint)
            && state.reach >= AgentReach::Fenced
        {
            state.reach = reach;
        }
        self.refresh_slots(now, endpoint);
    }

    pub(super) fn looked_up(&mut self, now: Now, endpoint: &EndpointId, reply: LookupReply) {
        let Some(state) = self.endpoints.get(endpoint) else {
            return;
        };
        let run = (endpoint.clone(), state.hello.incarnation);
        for record in &reply.records {
            self.take_record(now, endpoint, record);
        }
        for start in &reply.forgone {
            let task = reply.job.task(start.index);
            if self.attempt(&task) == start.attempt
                && self.free_slot(now, endpoint, &task, SlotUse::Unknown)
            {
                self.undo_recovered(&task);
                self.start_again(now, &task);
            }
        }
        self.refresh_slots(now, endpoint);
        self.recovery_read(now, &run, reply);
    }

    pub(super) fn lose_agents(&mut self, now: Now) {
        let lost: Vec<EndpointId> = self
            .endpoints
            .iter()
            .filter(|(_, state)| state.lost_at.is_some_and(|at| at <= now.instant))
            .map(|(endpoint, _)| endpoint.clone())
            .collect();
        for endpoint in lost {
            self.lose_run(now, &endpoint);
        }
    }

    /// Compares what the owner sent with what the agent runs.
    fn reconcile(&mut self, now: Now, endpoint: &EndpointId, running: &[TaskRecord]) {
        let Some(state) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        let unsettled: Vec<TaskRef> = state
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
        self.settle(endpoint, &unsettled);
    }

    /// Asks what became of starts that the agent does not run.
    fn settle(&mut self, endpoint: &EndpointId, unsettled: &[TaskRef]) {
        let mut by_job: IndexMap<JobRef, Vec<SentStart>> = IndexMap::new();
        for task in unsettled {
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
                forgo,
            };
            self.order(endpoint, AgentOrder::Lookup(lookup));
        }
    }

    /// Returns the number of a task's present start under this ownership.
    pub(super) fn attempt(&self, task: &TaskRef) -> Attempt {
        let job = self.jobs.get(&task.job());
        job.and_then(|job| job.attempt(task.index))
            .unwrap_or_default()
    }

    fn take_record(&mut self, now: Now, endpoint: &EndpointId, record: &TaskRecord) {
        if let RecordState::Ended(outcome) = &record.state {
            let finished = Finished {
                task: record.task.clone(),
                digest: record.digest,
                outcome: outcome.clone(),
            };
            self.finished(now, endpoint, finished);
        }
    }

    /// Gives up on what was started under a run of an agent that is gone.
    fn lose_run(&mut self, now: Now, endpoint: &EndpointId) {
        let Some(state) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        state.reach = AgentReach::Away;
        state.lost_at = None;
        let run = (endpoint.clone(), state.hello.incarnation);
        let tasks: Vec<TaskRef> = state.started.iter().cloned().collect();
        for task in tasks {
            let was_sent = self.is_started_on(&task, endpoint);
            self.free_slot(now, endpoint, &task, SlotUse::Unknown);
            if let Some(recovery) = self.recoveries.get_mut(&task.job()) {
                recovery.lose_task(&task);
            }
            if was_sent {
                self.end_task(now, &task, TaskOutcome::OutcomeUnknown);
                self.answer_if_ended(&task.job());
            }
        }
        self.refresh_slots(now, endpoint);
        self.lose_recoveries(now, &run);
    }
}
