//! State machine of one shard's owner.

use {
    crate::{
        owner::{
            AgentOrder, EndpointState, HeldRequest, JobState, KindFailures, OwnerAction,
            OwnerInput, Recovery, ReplyGate, Takeover,
        },
        policy::{Policy, SlotUse, Slots},
    },
    chestnutrun_types::{
        Configuration, EndpointId, EntryId, Epoch, JobRef, Now, ShardId, Start, TaskRef,
    },
    indexmap::IndexMap,
    std::{collections::VecDeque, rc::Rc, time::Instant},
};

/// Identity of one ownership of a shard.
#[derive(Clone, Debug)]
pub struct OwnerConf {
    /// The owned shard.
    pub shard: ShardId,
    /// Epoch of the ownership.
    pub epoch: Epoch,
    /// The entry that owns the shard.
    pub me: EntryId,
}

/// Admits jobs, sends their tasks to agents and collects the outcomes.
#[derive(Debug)]
pub struct OwnerMachine {
    pub(super) conf: OwnerConf,
    pub(super) configuration: Rc<Configuration>,
    pub(super) policy: Box<dyn Policy>,
    pub(super) takeover: Takeover,
    pub(super) jobs: IndexMap<JobRef, JobState>,
    /// When to check whether a job's record can be dropped.
    pub(super) forget_queue: VecDeque<(Instant, JobRef)>,
    pub(super) endpoints: IndexMap<EndpointId, EndpointState>,
    pub(super) slots: Slots,
    pub(super) kind_failures: KindFailures,
    pub(super) recoveries: IndexMap<JobRef, Recovery>,
    /// Requests that arrived before the takeover was complete.
    pub(super) held: Vec<HeldRequest>,
    pub(super) gate: ReplyGate,
    pub(super) leaving: bool,
    pub(super) actions: Vec<OwnerAction>,
    /// Actions that do not pass the reply gate.
    pub(super) ungated_actions: Vec<OwnerAction>,
}

impl OwnerMachine {
    /// Creates the machine of a new ownership.
    #[must_use]
    pub fn new(
        conf: OwnerConf,
        configuration: Rc<Configuration>,
        mut policy: Box<dyn Policy>,
        takeover: Takeover,
    ) -> Self {
        policy.configure(&configuration);
        Self {
            conf,
            configuration,
            policy,
            takeover,
            jobs: IndexMap::new(),
            forget_queue: VecDeque::new(),
            endpoints: IndexMap::new(),
            slots: Slots::default(),
            kind_failures: KindFailures::default(),
            recoveries: IndexMap::new(),
            held: Vec::new(),
            gate: ReplyGate::default(),
            leaving: false,
            actions: Vec::new(),
            ungated_actions: Vec::new(),
        }
    }

    /// Processes one input and returns the resulting actions.
    pub fn handle(&mut self, now: Now, input: OwnerInput) -> Vec<OwnerAction> {
        match input {
            OwnerInput::Request(from, request) => self.on_request(now, from, request),
            OwnerInput::OwnershipConfirmed(at) => self.release_replies(at),
            OwnerInput::OwnershipAcknowledged(at, agents) => self.on_acknowledged(now, at, agents),
            OwnerInput::AgentUp(hello) => self.agent_up(now, hello),
            OwnerInput::AgentDown(endpoint, run) => self.agent_down(now, &endpoint, run),
            OwnerInput::FenceReply(endpoint, reply) => self.on_fence_reply(now, &endpoint, reply),
            OwnerInput::AgentLease(endpoint, leased) => self.on_lease(now, &endpoint, leased),
            OwnerInput::StartRefused(endpoint, refused) => {
                self.on_start_refused(now, &endpoint, &refused);
            }
            OwnerInput::Finished(endpoint, finished) => self.on_finished(now, &endpoint, finished),
            OwnerInput::LookupReply(endpoint, reply) => self.on_lookup_reply(now, &endpoint, reply),
            OwnerInput::Configured(configuration) => self.set_configuration(now, configuration),
            OwnerInput::Leave => self.leaving = true,
            OwnerInput::Tick => self.tick(now),
        }
        self.dispatch(now);
        let actions = std::mem::take(&mut self.actions);
        let mut released = std::mem::take(&mut self.ungated_actions);
        released.extend(self.gate.hold_unconfirmed(now.instant, actions));
        released
    }

    /// Returns the ownership that this machine serves.
    #[must_use]
    pub fn conf(&self) -> &OwnerConf {
        &self.conf
    }

    /// Whether the takeover is complete, so that tasks may start.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.takeover.is_serving()
    }

    /// Whether a job waits, runs or is being recovered, or a request or reply is held.
    #[must_use]
    pub fn has_open_jobs(&self) -> bool {
        !self.recoveries.is_empty()
            || !self.held.is_empty()
            || !self.gate.is_empty()
            || self.jobs.values().any(|job| job.answer.is_none())
    }

    /// Returns the policy that chooses the next task, for inspection.
    #[must_use]
    pub fn policy(&self) -> &dyn Policy {
        &*self.policy
    }

    /// Returns the number of recorded jobs.
    #[must_use]
    pub fn recorded_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns each endpoint with its state.
    pub fn endpoints(&self) -> impl Iterator<Item = (&EndpointId, &EndpointState)> {
        self.endpoints.iter()
    }

    pub(super) fn order(&mut self, endpoint: &EndpointId, order: AgentOrder) {
        self.actions
            .push(OwnerAction::Order(endpoint.clone(), order));
    }

    pub(super) fn refresh_slots(&mut self, now: Now, endpoint: &EndpointId) {
        if let Some(state) = self.endpoints.get(endpoint) {
            self.slots.set(endpoint, state.slots(now.instant));
        }
    }

    fn set_configuration(&mut self, now: Now, configuration: Rc<Configuration>) {
        if configuration.revision < self.configuration.revision {
            return;
        }
        self.policy.configure(&configuration);
        self.configuration = configuration;
        for (endpoint, state) in &mut self.endpoints {
            state.draining = self.configuration.is_draining(endpoint);
            self.slots.set(endpoint, state.slots(now.instant));
        }
    }

    fn dispatch(&mut self, now: Now) {
        if !self.takeover.is_serving() {
            return;
        }
        while let Some((waiting, endpoint)) = self.policy.next(now, &self.slots) {
            if waiting.deadline <= now.wall {
                self.policy.release(now, &waiting.task, SlotUse::Unknown);
                self.end_past_deadline(now, &waiting.task);
                continue;
            }
            let Some(start) = self.prepare_start(&waiting.task, &endpoint) else {
                self.policy.release(now, &waiting.task, SlotUse::Unknown);
                continue;
            };
            self.order(&endpoint, AgentOrder::Start(start));
            self.refresh_slots(now, &endpoint);
        }
    }

    fn prepare_start(&mut self, task: &TaskRef, endpoint: &EndpointId) -> Option<Start> {
        let job = self.jobs.get_mut(&task.job())?;
        let spec = job.spec.as_ref()?;
        let state = self.endpoints.get_mut(endpoint)?;
        let start = Start {
            task: task.clone(),
            shard: self.conf.shard,
            epoch: self.conf.epoch,
            attempt: job.attempt(task.index)?,
            digest: job.digest,
            total: spec.tasks.len().try_into().ok()?,
            spec: spec.tasks.get(usize::from(task.index))?.clone(),
            deadline: spec.deadline,
        };
        job.start(task.index, endpoint.clone(), state.hello.incarnation);
        state.started.insert(task.clone());
        Some(start)
    }

    fn tick(&mut self, now: Now) {
        if self.takeover.advance(now.instant) {
            self.release_held(now);
        }
        self.give_up_lost_agents(now);
        self.end_finished_recoveries(now);
        for waiting in self.policy.expire(now) {
            self.end_past_deadline(now, &waiting.task);
        }
        for (endpoint, state) in &self.endpoints {
            self.slots.set(endpoint, state.slots(now.instant));
        }
        self.forget_jobs(now);
    }

    fn forget_jobs(&mut self, now: Now) {
        while let Some((at, _)) = self.forget_queue.front() {
            if *at > now.instant {
                return;
            }
            let Some((_, job)) = self.forget_queue.pop_front() else {
                return;
            };
            self.forget_job(now, job);
        }
    }

    fn forget_job(&mut self, now: Now, job: JobRef) {
        let Some(state) = self.jobs.get(&job) else {
            return;
        };
        if state.answer.is_none() || state.forget_at > now.instant {
            let next_check = state
                .forget_at
                .max(now.instant + crate::timing::RECORD_WINDOW);
            self.forget_queue.push_back((next_check, job));
        } else {
            self.jobs.swap_remove(&job);
        }
    }
}
