//! Holds best-effort jobs and places their tasks.

use {
    crate::{
        placement::{
            CallerId, DispatchAction, DispatchInput, JobOutcome, RefusedFor, Submission,
            endpoint_view::EndpointView,
            held_job::HeldJob,
            held_task::TaskState,
            objective::Objective,
            places::{can_ever_fit, choose},
            run_time_ratios::RunTimeRatios,
        },
        timing::AGENT_SILENT_RUNS_END_AFTER,
    },
    chestnutrun_types::{
        AgentId, AgentUpdate, AssignedTask, Assignment, AssignmentId, EndKind, EndpointInfo,
        Incarnation, JobId, Now, Resync, Revocation, Room, ServiceId, StepTask, TaskEnd, ZoneId,
    },
    indexmap::IndexMap,
    std::time::{Duration, Instant},
};

/// Shortest time after which a refused caller should come back.
const LEAST_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest time for which assigned tasks may wait at an agent: others of the
/// job run meanwhile, and another endpoint may have room.
const LONGEST_WAIT_AT_AGENT: Duration = Duration::from_millis(100);

/// Endpoints on which a task may fail before the job is taken to be at fault,
/// whatever the route allows less.
const LEAST_FAILURES: u32 = 2;

/// Holds best-effort jobs and places their tasks on endpoints.
#[derive(Debug)]
pub struct Dispatcher {
    zone: ZoneId,
    views: IndexMap<AgentId, EndpointView>,
    jobs: IndexMap<CallerId, HeldJob>,
    by_assignment: IndexMap<AssignmentId, CallerId>,
    next_assignment: AssignmentId,
    ratios: RunTimeRatios,
    actions: Vec<DispatchAction>,
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
            ratios: RunTimeRatios::default(),
            actions: Vec::new(),
        }
    }

    /// Takes an input and returns what to do.
    pub fn handle(&mut self, now: Now, input: DispatchInput) -> Vec<DispatchAction> {
        let at = now.instant;
        match input {
            DispatchInput::Submit(submission) => self.submit(at, submission),
            DispatchInput::Gone(caller) => self.drop_job(caller),
            DispatchInput::Cancel(job) => self.cancel(&job),
            DispatchInput::AgentUp(agent, run, resync) => self.agent_up(at, agent, run, resync),
            DispatchInput::AgentDown(agent) => self.agent_down(at, &agent),
            DispatchInput::Endpoint(agent, info) => self.endpoint(&agent, info),
            DispatchInput::Update(agent, update) => self.update(&agent, update),
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
        of_service
            .filter(|job| !job.has_run && job.holders().is_empty())
            .count()
    }

    /// Whether an agent with an endpoint is linked.
    #[must_use]
    pub fn has_endpoints(&self) -> bool {
        self.views.values().any(|view| view.usable().is_some())
    }

    fn submit(&mut self, now: Instant, submission: Submission) {
        let route = submission.route.clone();
        let ratios = &self.ratios;
        let expect = |estimate| ratios.expect(&route.id, estimate);
        let job = &submission.job;
        let objective = Objective::of(now, submission.deadline, &route, job, expect);
        // A job that comes again at the same entry replaces its first attempt.
        let id = job.id.clone();
        let older = self.jobs.iter().find(|(_, held)| held.job.id == id);
        if let Some(older) = older.map(|(caller, _)| *caller) {
            self.end(older, JobOutcome::Cancelled);
        }
        let caller = submission.caller;
        self.jobs
            .insert(caller, HeldJob::new(submission, objective));
    }

    fn answer_by(&mut self, by: Instant) {
        for job in self.jobs.values_mut() {
            job.deadline = job.deadline.min(by);
            job.objective.last = job.objective.last.min(by);
        }
    }

    fn cancel(&mut self, id: &JobId) {
        let held = self.jobs.iter().find(|(_, held)| held.job.id == *id);
        if let Some(caller) = held.map(|(caller, _)| *caller) {
            self.end(caller, JobOutcome::Cancelled);
        }
    }

    fn agent_up(&mut self, now: Instant, agent: AgentId, incarnation: Incarnation, resync: Resync) {
        let known = self.views.get(&agent);
        let is_same = known.is_some_and(|view| view.incarnation == incarnation);
        let has_endpoint = resync.info.is_some();
        if !is_same {
            self.agent_down(now, &agent);
        }
        let view = EndpointView::new(incarnation, resync.info);
        self.views.insert(agent.clone(), view);
        if is_same {
            self.resync(&agent, &resync.live, resync.ends);
        } else if has_endpoint {
            self.release_doubtful(&agent);
        }
    }

    /// Compares what the agent has with what it should have.
    fn resync(&mut self, agent: &AgentId, live: &[(AssignmentId, StepTask)], ends: Vec<TaskEnd>) {
        for end in ends {
            self.ended(agent, end);
        }
        let mut surplus = Vec::new();
        for (assignment, _) in live {
            if !self.by_assignment.contains_key(assignment) && !surplus.contains(assignment) {
                surplus.push(*assignment);
            }
        }
        for job in self.jobs.values_mut() {
            for task in &mut job.tasks {
                let Some((holder, id)) = task.holder().map(|(a, id)| (a.clone(), id)) else {
                    continue;
                };
                if holder != *agent {
                    continue;
                }
                let is_live = live.contains(&(id, task.at));
                task.state = if is_live {
                    TaskState::Assigned(holder, id)
                } else {
                    TaskState::Waiting
                };
            }
        }
        if !surplus.is_empty() {
            let revocation = Revocation {
                assignments: surplus,
            };
            self.actions
                .push(DispatchAction::Revoke(agent.clone(), revocation));
        }
    }

    fn agent_down(&mut self, now: Instant, agent: &AgentId) {
        let Some(view) = self.views.get_mut(agent) else {
            return;
        };
        view.unlink();
        let until = now + AGENT_SILENT_RUNS_END_AFTER;
        for job in self.jobs.values_mut() {
            for task in &mut job.tasks {
                if let TaskState::Assigned(holder, id) = &task.state
                    && holder == agent
                {
                    task.state = TaskState::InDoubt(holder.clone(), *id, until);
                    job.has_run = true;
                }
            }
        }
    }

    fn endpoint(&mut self, agent: &AgentId, info: Option<EndpointInfo>) {
        let Some(view) = self.views.get_mut(agent) else {
            return;
        };
        let is_new = info.is_some() && view.info.is_none();
        view.info = info;
        if is_new {
            // What an earlier run of the agent started is gone.
            self.release_doubtful(agent);
        }
    }

    /// Notes that nothing that an agent had out of reach runs any more.
    fn release_doubtful(&mut self, agent: &AgentId) {
        for job in self.jobs.values_mut() {
            for task in &mut job.tasks {
                if let TaskState::InDoubt(holder, ..) = &task.state
                    && holder == agent
                {
                    task.state = TaskState::Waiting;
                }
            }
        }
    }

    fn update(&mut self, agent: &AgentId, mut update: AgentUpdate) {
        let ends = std::mem::take(&mut update.ends);
        if let Some(view) = self.views.get_mut(agent) {
            view.update(update);
        }
        for end in ends {
            self.ended(agent, end);
        }
    }

    fn ended(&mut self, agent: &AgentId, end: TaskEnd) {
        let Some(caller) = self.by_assignment.get(&end.assignment).copied() else {
            return;
        };
        let view = self.views.get(agent);
        let endpoint = view
            .and_then(|v| v.info.as_ref())
            .map(|info| info.endpoint.clone());
        let is_sound = view.is_some_and(|view| view.most_tasks() > 1);
        let Some(job) = self.jobs.get_mut(&caller) else {
            return;
        };
        job.highest_run = job.highest_run.max(end.run);
        let (route, allowed) = (job.route.id.clone(), job.route.attempts.max(LEAST_FAILURES));
        let estimate = job.step(end.at.step).estimate;
        let Some(task) = job
            .task_mut(end.at)
            .filter(|t| t.is_under(agent, end.assignment))
        else {
            return;
        };
        task.state = TaskState::Waiting;
        match end.kind {
            EndKind::Done => {
                task.state = TaskState::Done;
                self.ratios.learn(&route, estimate, end.ran);
            }
            EndKind::Failed => {
                task.avoid.extend(endpoint);
                task.failures += u32::from(is_sound);
            }
            EndKind::Stalled => task.avoid.extend(endpoint),
            EndKind::NotStarted | EndKind::Stopped => {}
        }
        let is_failed = task.failures >= allowed;
        job.has_run |= end.kind != EndKind::NotStarted;
        if is_failed {
            self.end(caller, JobOutcome::Failed);
        } else if job.is_done() {
            self.end(caller, JobOutcome::Completed);
        }
    }

    fn tick(&mut self, now: Instant) {
        let expired: Vec<CallerId> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.deadline <= now)
            .map(|(caller, _)| *caller)
            .collect();
        for caller in expired {
            self.give_up(caller, RefusedFor::Overload);
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
    fn refuse_hopeless(&mut self, now: Instant) {
        let mut hopeless = Vec::new();
        for (caller, job) in &self.jobs {
            if job.has_run || !job.holders().is_empty() {
                continue;
            }
            if job.objective.last_start() < now {
                hopeless.push((*caller, RefusedFor::Overload));
            } else if job.objective.refuse_by <= now && !can_ever_fit(&self.views, job) {
                let reason = if self.has_endpoints() {
                    RefusedFor::NeverFits
                } else {
                    RefusedFor::NoEndpoint
                };
                hopeless.push((*caller, reason));
            }
        }
        for (caller, reason) in hopeless {
            self.give_up(caller, reason);
        }
    }

    /// Ends a job without a result: refused where nothing can have run.
    fn give_up(&mut self, caller: CallerId, reason: RefusedFor) {
        let Some(job) = self.jobs.get(&caller) else {
            return;
        };
        let outcome = if job.has_run || !job.holders().is_empty() {
            JobOutcome::Expired
        } else {
            JobOutcome::Refused(reason, LEAST_RETRY_AFTER)
        };
        self.end(caller, outcome);
    }

    fn end(&mut self, caller: CallerId, outcome: JobOutcome) {
        if let Some(job) = self.jobs.get(&caller) {
            let id = job.job.id.clone();
            self.actions
                .push(DispatchAction::Answer(caller, id, outcome));
        }
        self.drop_job(caller);
    }

    /// Forgets a job and has what is left of it stopped.
    fn drop_job(&mut self, caller: CallerId) {
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

    /// Places what waits, in the order of urgency.
    fn place(&mut self, now: Instant) {
        let mut waiting: Vec<(bool, Instant, CallerId)> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.has_ready())
            .map(|(caller, job)| {
                let start_by = job.objective.start_by();
                (start_by < now, start_by, *caller)
            })
            .collect();
        waiting.sort_unstable();
        for (_, _, caller) in waiting {
            self.place_job(now, caller);
        }
    }

    /// Places the tasks of a job that can start: all of them together, or none
    /// where none has started before.
    fn place_job(&mut self, now: Instant, caller: CallerId) {
        let Some(job) = self.jobs.get(&caller) else {
            return;
        };
        let ready = job.ready();
        let chosen = choose(&self.views, &self.zone, job, &ready);
        let placed: usize = chosen.values().map(Vec::len).sum();
        let is_whole = placed == ready.len();
        if placed == 0 || (!is_whole && !job.has_run) {
            return;
        }
        for (agent, tasks) in chosen {
            self.assign(now, caller, &agent, &tasks);
        }
    }

    fn assign(&mut self, now: Instant, caller: CallerId, agent: &AgentId, tasks: &[StepTask]) {
        let id = self.next_assignment;
        let Some(job) = self.jobs.get_mut(&caller) else {
            return;
        };
        self.next_assignment += 1;
        self.by_assignment.insert(id, caller);
        let mut room = Room::default();
        let mut assigned = Vec::with_capacity(tasks.len());
        for at in tasks {
            let step = job.step(at.step);
            let (need, estimate) = (step.need, step.estimate);
            room = room.plus(need);
            assigned.push(AssignedTask {
                at: *at,
                need,
                expected: self.ratios.expect(&job.route.id, estimate),
            });
            if let Some(task) = job.task_mut(*at) {
                task.state = TaskState::Assigned(agent.clone(), id);
            }
        }
        let slack = job.objective.last_start().saturating_duration_since(now);
        let assignment = Assignment {
            id,
            job: job.job.id.clone(),
            payload: job.job.payload.clone(),
            after_run: job.highest_run,
            start_within: slack.min(LONGEST_WAIT_AT_AGENT),
            tasks: assigned,
        };
        if let Some(view) = self.views.get_mut(agent) {
            view.claim(id, room, u16::try_from(tasks.len()).unwrap_or(u16::MAX));
        }
        self.actions
            .push(DispatchAction::Assign(agent.clone(), assignment));
    }
}
