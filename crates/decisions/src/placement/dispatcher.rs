//! Holds best-effort jobs and places their tasks.

use {
    crate::{
        placement::{
            CallerId, DispatchAction, DispatchInput, JobOutcome, RefusedFor, Submission,
            endpoint_view::EndpointView, held_job::HeldJob, held_task::TaskState,
            objective::Objective, places::can_ever_fit, run_time_ratios::RunTimeRatios,
        },
        timing::millis,
    },
    chestnutrun_types::{
        AgentId, AssignmentId, DecisionEvent, JobId, Now, Revocation, ServiceId, ZoneId,
    },
    indexmap::IndexMap,
    std::time::{Duration, Instant},
};

/// Shortest time after which a refused caller should come back.
const LEAST_RETRY_AFTER: Duration = Duration::from_secs(1);

/// How long an entry without endpoints lets jobs wait for one: agents are back
/// about a second after a loss of power.
const WITHOUT_ENDPOINTS: Duration = Duration::from_secs(3);

/// Holds best-effort jobs and places their tasks on endpoints.
#[derive(Debug)]
pub struct Dispatcher {
    pub(super) zone: ZoneId,
    pub(super) views: IndexMap<AgentId, EndpointView>,
    pub(super) jobs: IndexMap<CallerId, HeldJob>,
    pub(super) by_assignment: IndexMap<AssignmentId, CallerId>,
    pub(super) next_assignment: AssignmentId,
    /// When an endpoint was there last; the start counts as one.
    pub(super) with_endpoints_at: Option<Instant>,
    pub(super) ratios: RunTimeRatios,
    pub(super) actions: Vec<DispatchAction>,
}

impl Dispatcher {
    /// Creates a dispatcher of an entry in an availability zone.
    #[must_use]
    pub fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            views: IndexMap::new(),
            jobs: IndexMap::new(),
            by_assignment: IndexMap::new(),
            next_assignment: 1,
            with_endpoints_at: None,
            ratios: RunTimeRatios::default(),
            actions: Vec::new(),
        }
    }

    /// Takes an input and returns what to do.
    pub fn handle(&mut self, now: Now, input: DispatchInput) -> Vec<DispatchAction> {
        let at = now.instant;
        match input {
            DispatchInput::Submit(submission) => self.submit(at, submission),
            DispatchInput::Gone(caller) => self.caller_gone(at, caller),
            DispatchInput::Cancel(job) => self.cancel(at, &job),
            DispatchInput::AgentUp(agent, run, resync) => self.agent_up(at, &agent, run, resync),
            DispatchInput::AgentDown(agent) => self.agent_down(at, &agent),
            DispatchInput::Endpoint(agent, info) => self.endpoint(&agent, info),
            DispatchInput::Update(agent, update) => self.update(at, &agent, update),
            DispatchInput::AnswerBy(by) => self.answer_by(by),
            DispatchInput::Tick => self.tick(at),
        }
        self.place(at);
        std::mem::take(&mut self.actions)
    }

    /// Returns how many jobs are held.
    #[must_use]
    pub fn jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns how many jobs of a service have no task that started.
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

    /// Whether an agent with an endpoint is linked.
    #[must_use]
    pub fn has_endpoints(&self) -> bool {
        self.views.values().any(|view| view.usable().is_some())
    }

    pub(super) fn submit(&mut self, now: Instant, submission: Submission) {
        let route = submission.route.clone();
        let ratios = &self.ratios;
        let expect = |estimate| ratios.expect(&route.id, estimate);
        let job = &submission.job;
        let objective = Objective::of(now, submission.deadline, &route, job, expect);
        // A job that comes again at the same entry replaces its first attempt.
        let id = job.id.clone();
        self.cancel(now, &id);

        let caller = submission.caller;
        let held = HeldJob::new(now, submission, objective);
        self.note(DecisionEvent::JobTaken {
            job: id,
            route: route.id.clone(),
            tasks: held.tasks.len(),
            chain_ms: millis(held.objective.chain),
            slack_ms: millis(held.objective.start_by().saturating_duration_since(now)),
            caller_waits_ms: millis(held.deadline.saturating_duration_since(now)),
            held: self.jobs.len() + 1,
        });
        self.jobs.insert(caller, held);
    }

    pub(super) fn answer_by(&mut self, by: Instant) {
        for job in self.jobs.values_mut() {
            job.deadline = job.deadline.min(by);
            job.objective.last = job.objective.last.min(by);
        }
    }

    pub(super) fn caller_gone(&mut self, now: Instant, caller: CallerId) {
        if let Some(job) = self.jobs.get(&caller) {
            let note = DecisionEvent::CallerDisconnected {
                job: job.job.id.clone(),
                took_ms: millis(now.saturating_duration_since(job.came_at)),
            };
            self.note(note);
            self.drop_job(caller);
        }
    }

    pub(super) fn cancel(&mut self, now: Instant, id: &JobId) {
        let held = self.jobs.iter().find(|(_, held)| held.job.id == *id);
        if let Some(caller) = held.map(|(caller, _)| *caller) {
            self.end(now, caller, JobOutcome::Cancelled);
        }
    }

    pub(super) fn tick(&mut self, now: Instant) {
        if self.with_endpoints_at.is_none() || self.has_endpoints() {
            self.with_endpoints_at = Some(now);
        }
        let expired: Vec<CallerId> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.deadline <= now)
            .map(|(caller, _)| *caller)
            .collect();
        for caller in expired {
            self.give_up(now, caller, RefusedFor::Overload);
        }
        for job in self.jobs.values_mut() {
            for task in &mut job.tasks {
                if let TaskState::InDoubt(_, _, until) = task.state
                    && until <= now
                {
                    task.state = TaskState::Waiting;
                }
            }
        }
        self.refuse_hopeless(now);
    }

    /// Refuses what can no longer be served, and what never could.
    pub(super) fn refuse_hopeless(&mut self, now: Instant) {
        let mut hopeless = Vec::new();
        for (caller, job) in &self.jobs {
            if job.may_have_run() {
                continue;
            }
            if job.objective.last_start() < now {
                hopeless.push((*caller, RefusedFor::Overload));
            } else if job.objective.refuse_by <= now {
                hopeless.extend(self.never_served(now, job).map(|reason| (*caller, reason)));
            }
        }
        for (caller, reason) in hopeless {
            self.give_up(now, caller, reason);
        }
    }

    /// Returns why a job that has not started cannot start, where it cannot.
    pub(super) fn never_served(&self, now: Instant, job: &HeldJob) -> Option<RefusedFor> {
        let is_long_without = self
            .with_endpoints_at
            .is_some_and(|at| at + WITHOUT_ENDPOINTS < now);
        if !self.has_endpoints() {
            return is_long_without.then_some(RefusedFor::NoEndpoint);
        }
        (!can_ever_fit(&self.views, job)).then_some(RefusedFor::NeverFits)
    }

    /// Ends a job without a result: refused where nothing can have run.
    pub(super) fn give_up(&mut self, now: Instant, caller: CallerId, reason: RefusedFor) {
        let Some(job) = self.jobs.get(&caller) else {
            return;
        };
        let outcome = if job.may_have_run() {
            JobOutcome::Expired
        } else {
            JobOutcome::Refused(reason, LEAST_RETRY_AFTER)
        };
        self.end(now, caller, outcome);
    }

    pub(super) fn end(&mut self, now: Instant, caller: CallerId, outcome: JobOutcome) {
        if let Some(job) = self.jobs.get(&caller) {
            let id = job.job.id.clone();
            let note = job.answered(now, outcome);
            self.note(note);
            self.actions
                .push(DispatchAction::Answer(caller, id, outcome));
        }
        self.drop_job(caller);
    }

    pub(super) fn note(&mut self, note: DecisionEvent) {
        self.actions.push(DispatchAction::Note(note));
    }

    /// Forgets a job and has what is left of it stopped.
    pub(super) fn drop_job(&mut self, caller: CallerId) {
        let Some(job) = self.jobs.shift_remove(&caller) else {
            return;
        };
        let mut by_agent: IndexMap<AgentId, Vec<AssignmentId>> = IndexMap::new();
        for (agent, id) in job.holders() {
            by_agent.entry(agent).or_default().push(id);
        }
        for (agent, assignments) in by_agent {
            let revocation = Revocation { assignments };
            self.actions.push(DispatchAction::Revoke(agent, revocation));
        }
        self.by_assignment.retain(|_, of| *of != caller);
    }
}
