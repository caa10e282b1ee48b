//! The dispatcher of best-effort jobs within an entry.

use {
    crate::{
        crashes::CrashCounts,
        demand::{AcceptedWork, DemandTeller, SiteView},
        placement::{
            CallerId, DispatchAction, DispatchInput, JobOutcome, RefusalReason,
            backlog::{Backlog, retry_after},
            cancelled_jobs::CancelledJobs,
            candidates::can_ever_fit,
            changes::Changes,
            endpoint_view::EndpointView,
            held_job::HeldJob,
            held_task::TaskState,
            known_endpoints::KnownEndpoints,
            run_times::RunTimesByRoute,
        },
    },
    chestnutrun_types::{
        AgentId, AssignmentId, CancelledJob, DecisionEvent, Now, Revocation, ServiceId, ZoneId,
    },
    indexmap::{IndexMap, IndexSet},
    std::time::Instant,
};

/// Holds best-effort jobs until they end and assigns their tasks to agents.
#[derive(Debug)]
pub struct Dispatcher {
    pub(super) zone: ZoneId,
    pub(super) views: IndexMap<AgentId, EndpointView>,
    /// Held jobs by the caller that submitted each of them first.
    pub(super) jobs: IndexMap<CallerId, HeldJob>,
    /// Callers that submitted a held job again, with the caller that did so first.
    pub(super) repeated: IndexMap<CallerId, CallerId>,
    /// Jobs with tasks for which the last placement found no room.
    pub(super) unplaced: IndexSet<CallerId>,
    pub(super) changes: Changes,
    pub(super) cancelled: CancelledJobs,
    pub(super) by_assignment: IndexMap<AssignmentId, CallerId>,
    pub(super) next_assignment: AssignmentId,
    pub(super) known_endpoints: KnownEndpoints,
    pub(super) run_times: RunTimesByRoute,
    /// Waiting work at the last tick.
    pub(super) backlogs: IndexMap<ServiceId, Backlog>,
    /// Work accepted lately.
    pub(super) accepted: IndexMap<ServiceId, AcceptedWork>,
    pub(super) site: SiteView,
    pub(super) teller: DemandTeller,
    /// The job that the present input submits.
    pub(super) submitted: Option<CallerId>,
    pub(super) crashes: CrashCounts,
    pub(super) actions: Vec<DispatchAction>,
}

impl Dispatcher {
    /// Creates the dispatcher of an entry in an availability zone.
    #[must_use]
    pub fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            views: IndexMap::new(),
            jobs: IndexMap::new(),
            repeated: IndexMap::new(),
            unplaced: IndexSet::new(),
            changes: Changes::default(),
            cancelled: CancelledJobs::default(),
            by_assignment: IndexMap::new(),
            next_assignment: 1,
            known_endpoints: KnownEndpoints::default(),
            run_times: RunTimesByRoute::default(),
            backlogs: IndexMap::new(),
            accepted: IndexMap::new(),
            site: SiteView::default(),
            teller: DemandTeller::default(),
            submitted: None,
            crashes: CrashCounts::default(),
            actions: Vec::new(),
        }
    }

    /// Handles an input, places waiting tasks and returns the actions.
    pub fn handle(&mut self, now: Now, input: DispatchInput) -> Vec<DispatchAction> {
        let at = now.instant;
        match input {
            DispatchInput::Submit(submission) => self.submit(at, submission),
            DispatchInput::CallerDisconnected(caller) => self.caller_disconnected(at, caller),
            DispatchInput::Cancel(job) => self.cancel(at, &job),
            DispatchInput::CancelledElsewhere(jobs) => self.cancel_remote(at, &jobs),
            DispatchInput::AgentUp(agent, run, resync) => self.agent_up(at, &agent, run, resync),
            DispatchInput::AgentDown(agent) => self.agent_down(at, &agent),
            DispatchInput::EndpointChanged(agent, info) => self.endpoint_changed(&agent, info),
            DispatchInput::Update(agent, update) => self.agent_updated(at, &agent, update),
            DispatchInput::AnswerAllBy(by) => self.answer_all_by(by),
            DispatchInput::Tick => self.tick(at),
        }
        self.give_up_crashing_jobs(at);
        self.place(at);
        self.queue_submitted();
        std::mem::take(&mut self.actions)
    }

    /// Returns how many jobs are held.
    #[must_use]
    pub fn jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the jobs that were cancelled a short time ago.
    #[must_use]
    pub fn cancelled_jobs(&self, now: Instant) -> Vec<CancelledJob> {
        self.cancelled.all(now).collect()
    }

    /// Returns how many jobs of a service have no task that was assigned or ran.
    #[must_use]
    pub fn waiting(&self, service: &ServiceId) -> usize {
        let of_service = self
            .jobs
            .values()
            .filter(|job| job.route.service == *service);
        of_service.filter(|job| !job.may_have_run()).count()
    }

    /// Returns how many endpoints can be used.
    #[must_use]
    pub fn endpoints(&self) -> usize {
        self.views
            .values()
            .filter(|view| view.usable().is_some())
            .count()
    }

    /// Returns whether at least one endpoint can be used.
    #[must_use]
    pub fn has_endpoints(&self) -> bool {
        self.views.values().any(|view| view.usable().is_some())
    }

    pub(super) fn answer_all_by(&mut self, by: Instant) {
        for job in self.jobs.values_mut() {
            for deadline in job.callers.values_mut() {
                *deadline = by.min(*deadline);
            }
        }
    }

    pub(super) fn tick(&mut self, now: Instant) {
        self.known_endpoints.update(now, self.has_endpoints());
        self.expire(now);
        for (caller, job) in &mut self.jobs {
            for task in &mut job.tasks {
                if let TaskState::InDoubt(_, _, until) = task.state
                    && until <= now
                {
                    task.state = TaskState::Waiting;
                    self.changes.jobs.insert(*caller);
                }
            }
        }
        self.forget_lost_agents(now);
        self.crashes.forget_old(now);
        self.end_hopeless(now);
        self.refuse_unservable(now);
        self.tell_demand(now);
    }

    /// Ends the begun jobs whose waiting tasks can no longer end before the deadline, so
    /// that their callers know at once and others get the room.
    fn end_hopeless(&mut self, now: Instant) {
        let hopeless = self
            .jobs
            .iter()
            .filter(|(_, job)| job.may_have_run() && job.is_hopeless(now));
        let hopeless: Vec<CallerId> = hopeless.map(|(caller, _)| *caller).collect();
        for caller in hopeless {
            self.end_job(now, caller, JobOutcome::Expired);
        }
    }

    /// Returns why no endpoint can serve a job; none if an endpoint can serve the
    /// job, or one may still appear.
    pub(super) fn refusal_reason(&self, now: Instant, job: &HeldJob) -> Option<RefusalReason> {
        if !self.known_endpoints.is_complete(now) {
            return None;
        }
        if !self.has_endpoints() {
            return Some(RefusalReason::NoEndpoint);
        }
        let known = self.views.values().filter_map(|view| view.info.as_ref());
        let endpoints = known.chain(self.known_endpoints.may_return());
        (!can_ever_fit(&endpoints, job)).then_some(RefusalReason::NeverFits)
    }

    /// Ends a job without a result: as refused if nothing can have run, else as
    /// expired.
    pub(super) fn end_without_result(
        &mut self,
        now: Instant,
        caller: CallerId,
        reason: RefusalReason,
    ) {
        let Some(job) = self.jobs.get(&caller) else {
            return;
        };
        let outcome = if job.may_have_run() {
            JobOutcome::Expired
        } else {
            let retry_after = retry_after(self.drain_time(now, job), &job.job.id);
            JobOutcome::Refused(reason, retry_after)
        };
        self.end_job(now, caller, outcome);
    }

    pub(super) fn end_job(&mut self, now: Instant, caller: CallerId, outcome: JobOutcome) {
        if let Some(job) = self.jobs.get(&caller) {
            let event = job.answer_event(now, outcome);
            let id = &job.job.id;
            let callers = job.callers.keys();
            let answers = callers.map(|c| DispatchAction::Answer(*c, id.clone(), outcome));
            self.actions.push(DispatchAction::Record(event));
            self.actions.extend(answers);
        }
        self.drop_job(caller);
    }

    pub(super) fn record(&mut self, event: DecisionEvent) {
        self.actions.push(DispatchAction::Record(event));
    }

    /// Forgets a job and revokes the assignments that agents may still hold.
    pub(super) fn drop_job(&mut self, caller: CallerId) {
        let Some(job) = self.jobs.shift_remove(&caller) else {
            return;
        };
        for waiting in job.callers.keys() {
            self.repeated.swap_remove(waiting);
        }
        let mut by_agent: IndexMap<AgentId, Vec<AssignmentId>> = IndexMap::new();
        for (agent, id) in job.holders() {
            by_agent.entry(agent).or_default().push(id);
        }
        for (agent, assignments) in by_agent {
            let revocation = Revocation {
                assignments,
                demand: None,
            };
            self.actions.push(DispatchAction::Revoke(agent, revocation));
        }
        self.by_assignment.retain(|_, holder| *holder != caller);
    }
}
