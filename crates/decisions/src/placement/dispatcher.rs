//! The dispatcher of best-effort jobs within an entry.

use {
    crate::{
        crashes::CrashCounts,
        placement::{
            CallerId, DispatchAction, DispatchInput, JobOutcome, RefusalReason, Submission,
            cancelled_jobs::CancelledJobs, candidates::can_ever_fit, changes::Changes,
            endpoint_view::EndpointView, held_job::HeldJob, held_task::TaskState,
            objective::Objective, overload::retry_after, run_time_ratios::RunTimeRatios,
        },
        timing::millis,
    },
    chestnutrun_types::{
        AgentId, AssignmentId, DecisionEvent, JobId, Now, Revocation, ServiceId, ZoneId,
    },
    indexmap::{IndexMap, IndexSet},
    std::time::{Duration, Instant},
};

/// How long an entry without endpoints lets jobs wait for one: agents reconnect
/// about a second after a power failure.
const NO_ENDPOINT_GRACE: Duration = Duration::from_secs(3);

/// Holds best-effort jobs until they end and assigns their tasks to agents.
#[derive(Debug)]
pub struct Dispatcher {
    pub(super) zone: ZoneId,
    pub(super) views: IndexMap<AgentId, EndpointView>,
    /// Held jobs by the caller that submitted each of them first.
    pub(super) jobs: IndexMap<CallerId, HeldJob>,
    /// Callers that submitted a held job again, with the caller that did so first.
    repeated: IndexMap<CallerId, CallerId>,
    /// Jobs with tasks for which the last placement found no room.
    pub(super) unplaced: IndexSet<CallerId>,
    pub(super) changes: Changes,
    cancelled: CancelledJobs,
    pub(super) by_assignment: IndexMap<AssignmentId, CallerId>,
    pub(super) next_assignment: AssignmentId,
    /// Last tick at which an endpoint could be used; the first tick counts too.
    pub(super) had_endpoints_at: Option<Instant>,
    pub(super) ratios: RunTimeRatios,
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
            had_endpoints_at: None,
            ratios: RunTimeRatios::default(),
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
            DispatchInput::AgentUp(agent, run, resync) => self.agent_up(at, &agent, run, resync),
            DispatchInput::AgentDown(agent) => self.agent_down(at, &agent),
            DispatchInput::EndpointChanged(agent, info) => self.endpoint_changed(&agent, info),
            DispatchInput::Update(agent, update) => self.agent_updated(at, &agent, update),
            DispatchInput::AnswerAllBy(by) => self.answer_all_by(by),
            DispatchInput::Tick => self.tick(at),
        }
        self.give_up_crashing_jobs(at);
        self.place(at);
        std::mem::take(&mut self.actions)
    }

    /// Returns how many jobs are held.
    #[must_use]
    pub fn jobs(&self) -> usize {
        self.jobs.len()
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

    pub(super) fn submit(&mut self, now: Instant, submission: Submission) {
        if self.cancelled.contains(now, &submission.job.id) {
            let id = submission.job.id.clone();
            // An earlier submission may have run here or at another entry.
            let answer = DispatchAction::Answer(submission.caller, id, JobOutcome::Cancelled);
            self.actions.push(answer);
            return;
        }
        if let Some(first) = self.find_job(&submission.job.id) {
            self.submit_again(now, first, &submission);
            return;
        }
        let route = submission.route.clone();
        let ratios = &self.ratios;
        let expected_run_time = |estimate| ratios.expected_run_time(&route.id, estimate);
        let job = &submission.job;
        let objective = Objective::new(now, submission.deadline, &route, job, expected_run_time);
        let id = job.id.clone();
        let caller = submission.caller;
        let held = HeldJob::new(now, submission, objective);
        self.record(DecisionEvent::JobTaken {
            job: id,
            route: route.id.clone(),
            tasks: held.tasks.len(),
            chain_ms: millis(held.objective.longest_chain),
            slack_ms: millis(held.start_by().saturating_duration_since(now)),
            caller_waits_ms: millis(held.deadline().saturating_duration_since(now)),
            held: self.jobs.len() + 1,
        });
        self.jobs.insert(caller, held);
        self.changes.jobs.insert(caller);
    }

    /// Handles a submission under the id of a held job.
    ///
    /// A repeated submission waits for the held job: a second run of it would
    /// overlap with the first.
    fn submit_again(&mut self, now: Instant, first: CallerId, submission: &Submission) {
        let Some(held) = self.jobs.get_mut(&first) else {
            return;
        };
        let is_same = held.is_same(submission);
        if is_same {
            held.callers.insert(submission.caller, submission.deadline);
            self.repeated.insert(submission.caller, first);
        }
        let event = DecisionEvent::JobSubmittedAgain {
            job: submission.job.id.clone(),
            is_same,
            held_ms: millis(now.saturating_duration_since(held.arrived_at)),
            callers: held.callers.len(),
        };
        self.record(event);
        if !is_same {
            let id = submission.job.id.clone();
            let answer = DispatchAction::Answer(submission.caller, id, JobOutcome::IdInUse);
            self.actions.push(answer);
        }
    }

    fn find_job(&self, id: &JobId) -> Option<CallerId> {
        let held = self.jobs.iter().find(|(_, held)| held.job.id == *id);
        held.map(|(first, _)| *first)
    }

    pub(super) fn answer_all_by(&mut self, by: Instant) {
        for job in self.jobs.values_mut() {
            for deadline in job.callers.values_mut() {
                *deadline = by.min(*deadline);
            }
            job.objective.worthless_after = job.objective.worthless_after.min(by);
        }
    }

    pub(super) fn caller_disconnected(&mut self, now: Instant, caller: CallerId) {
        let first = self.repeated.swap_remove(&caller).unwrap_or(caller);
        let Some(job) = self.jobs.get_mut(&first) else {
            return;
        };
        let was_waiting = job.callers.shift_remove(&caller).is_some();
        if !was_waiting || !job.callers.is_empty() {
            return;
        }
        let event = DecisionEvent::CallerDisconnected {
            job: job.job.id.clone(),
            took_ms: millis(now.saturating_duration_since(job.arrived_at)),
        };
        self.record(event);
        self.drop_job(first);
    }

    pub(super) fn cancel(&mut self, now: Instant, id: &JobId) {
        self.cancelled.insert(now, id.clone());
        let Some(first) = self.find_job(id) else {
            return;
        };
        let may_have_run = self.jobs.get(&first).is_some_and(HeldJob::may_have_run);
        let outcome = if may_have_run {
            JobOutcome::Cancelled
        } else {
            JobOutcome::CancelledUnstarted
        };
        self.end_job(now, first, outcome);
    }

    pub(super) fn tick(&mut self, now: Instant) {
        if self.had_endpoints_at.is_none() || self.has_endpoints() {
            self.had_endpoints_at = Some(now);
        }
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
        self.shed_late_jobs(now);
        self.refuse_unservable(now);
    }

    /// Answers the callers whose deadline passed, and ends the jobs for which no caller
    /// waits any longer.
    fn expire(&mut self, now: Instant) {
        let mut expired = Vec::new();
        for (first, job) in &mut self.jobs {
            if job.deadline() <= now {
                expired.push(*first);
                continue;
            }
            while let Some(caller) = job.take_expired_caller(now) {
                self.repeated.swap_remove(&caller);
                let event = job.answer_event(now, JobOutcome::Expired);
                let id = job.job.id.clone();
                self.actions.push(DispatchAction::Record(event));
                self.actions
                    .push(DispatchAction::Answer(caller, id, JobOutcome::Expired));
            }
        }
        for first in expired {
            self.end_without_result(now, first, RefusalReason::Overload);
        }
    }

    /// Refuses jobs without a start that are too late or that no endpoint can
    /// serve.
    pub(super) fn refuse_unservable(&mut self, now: Instant) {
        let mut refused = Vec::new();
        for (caller, job) in &self.jobs {
            if job.may_have_run() {
                continue;
            }
            if job.objective.last_useful_start() < now {
                refused.push((*caller, RefusalReason::Overload));
            } else if job.objective.early_refusal_until <= now {
                refused.extend(
                    self.refusal_reason(now, job)
                        .map(|reason| (*caller, reason)),
                );
            }
        }
        for (caller, reason) in refused {
            self.end_without_result(now, caller, reason);
        }
    }

    /// Returns why no endpoint can serve a job; none if an endpoint can serve the
    /// job, or one may still appear.
    pub(super) fn refusal_reason(&self, now: Instant, job: &HeldJob) -> Option<RefusalReason> {
        let is_grace_over = self
            .had_endpoints_at
            .is_some_and(|at| at + NO_ENDPOINT_GRACE < now);
        if !self.has_endpoints() {
            return is_grace_over.then_some(RefusalReason::NoEndpoint);
        }
        (!can_ever_fit(&self.views, job)).then_some(RefusalReason::NeverFits)
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
            JobOutcome::Refused(reason, retry_after(reason, &job.job.id))
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
            let revocation = Revocation { assignments };
            self.actions.push(DispatchAction::Revoke(agent, revocation));
        }
        self.by_assignment.retain(|_, holder| *holder != caller);
    }
}
