//! Holds best-effort jobs and places their tasks.

use {
    crate::{
        placement::{
            CallerId, DispatchAction, DispatchInput, JobOutcome, RefusedFor, Submission,
            endpoint_view::EndpointView,
            held_job::HeldJob,
            held_task::TaskState,
            objective::{Objective, millis},
            places::{Places, can_ever_fit},
            run_time_ratios::RunTimeRatios,
        },
        timing::AGENT_SILENT_RUNS_END_AFTER,
    },
    chestnutrun_types::{
        AgentId, AgentUpdate, AssignedTask, Assignment, AssignmentId, DecisionNote, EndKind,
        EndpointInfo, Incarnation, JobId, Now, Resync, Revocation, Room, ServiceId, StepTask,
        TaskEnd, ZoneId,
    },
    indexmap::IndexMap,
    std::time::{Duration, Instant},
};

/// Shortest time after which a refused caller should come back.
const LEAST_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest time for which assigned tasks may wait at an agent: two ends of
/// tasks of some 170 ms on ten slots; another endpoint may have room.
const LONGEST_WAIT_AT_AGENT: Duration = Duration::from_millis(30);

/// Shortest such time: a round trip between availability zones, five times.
const LEAST_WAIT_AT_AGENT: Duration = Duration::from_millis(10);

/// Time by which a job of the next lower priority comes later than its start
/// demands: a priority outweighs half of the slack of the shortest jobs.
const URGENCY_STEP: Duration = Duration::from_millis(50);

/// How long an entry without endpoints lets jobs wait for one: agents are back
/// about a second after a loss of power.
const WITHOUT_ENDPOINTS: Duration = Duration::from_secs(3);

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
    /// When an endpoint was there last; the start counts as one.
    with_endpoints_at: Option<Instant>,
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
        of_service
            .filter(|job| !job.has_run && job.holders().is_empty())
            .count()
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
            self.end(now, older, JobOutcome::Cancelled);
        }
        let caller = submission.caller;
        let held = HeldJob::new(now, submission, objective);
        self.note(DecisionNote::JobTaken {
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

    fn answer_by(&mut self, by: Instant) {
        for job in self.jobs.values_mut() {
            job.deadline = job.deadline.min(by);
            job.objective.last = job.objective.last.min(by);
        }
    }

    fn caller_gone(&mut self, now: Instant, caller: CallerId) {
        if let Some(job) = self.jobs.get(&caller) {
            let note = DecisionNote::CallerGone {
                job: job.job.id.clone(),
                took_ms: millis(now.saturating_duration_since(job.came_at)),
            };
            self.note(note);
            self.drop_job(caller);
        }
    }

    fn cancel(&mut self, now: Instant, id: &JobId) {
        let held = self.jobs.iter().find(|(_, held)| held.job.id == *id);
        if let Some(caller) = held.map(|(caller, _)| *caller) {
            self.end(now, caller, JobOutcome::Cancelled);
        }
    }

    fn agent_up(
        &mut self,
        now: Instant,
        agent: &AgentId,
        incarnation: Incarnation,
        resync: Resync,
    ) {
        let known = self.views.get(agent);
        let is_same = known.is_some_and(|view| view.incarnation == incarnation);
        let has_endpoint = resync.info.is_some();
        if !is_same {
            self.agent_down(now, agent);
        }
        self.note(DecisionNote::AgentLinked {
            agent: agent.clone(),
            incarnation,
            endpoint: resync.info.as_ref().map(|info| info.endpoint.clone()),
            live: resync.live.len(),
        });
        let view = EndpointView::new(incarnation, resync.info);
        self.views.insert(agent.clone(), view);
        if is_same {
            self.resync(now, agent, &resync.live, resync.ends);
        } else if has_endpoint {
            self.release_doubtful(agent);
        }
    }

    /// Compares what the agent has with what it should have.
    fn resync(
        &mut self,
        now: Instant,
        agent: &AgentId,
        live: &[(AssignmentId, StepTask)],
        ends: Vec<TaskEnd>,
    ) {
        for end in ends {
            self.ended(now, agent, end);
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
        let was_linked = view.is_linked;
        view.unlink();
        let until = now + AGENT_SILENT_RUNS_END_AFTER;
        let mut in_doubt = 0;
        for job in self.jobs.values_mut() {
            for task in &mut job.tasks {
                if let TaskState::Assigned(holder, id) = &task.state
                    && holder == agent
                {
                    task.state = TaskState::InDoubt(holder.clone(), *id, until);
                    job.has_run = true;
                    in_doubt += 1;
                }
            }
        }
        if was_linked {
            self.note(DecisionNote::AgentLost {
                agent: agent.clone(),
                in_doubt,
            });
        }
    }

    fn endpoint(&mut self, agent: &AgentId, info: Option<EndpointInfo>) {
        let Some(view) = self.views.get_mut(agent) else {
            return;
        };
        let is_new = info.is_some() && view.info.is_none();
        let known = info.as_ref();
        let note = DecisionNote::EndpointChanged {
            agent: agent.clone(),
            endpoint: known.map(|info| info.endpoint.clone()),
            incarnation: known.map_or(0, |info| info.incarnation),
            service: known.map(|info| info.service.clone()),
            cpu_millis: known.map_or(0, |info| info.total.cpu_millis),
        };
        view.info = info;
        self.note(note);
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

    fn update(&mut self, now: Instant, agent: &AgentId, mut update: AgentUpdate) {
        let ends = std::mem::take(&mut update.ends);
        if let Some(view) = self.views.get_mut(agent) {
            view.update(now, &update);
        }
        for end in ends {
            self.ended(now, agent, end);
        }
    }

    fn ended(&mut self, now: Instant, agent: &AgentId, end: TaskEnd) {
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
        let is_done = job.is_done();
        if end.kind != EndKind::Done {
            job.returned += 1;
            let note = DecisionNote::TaskReturned {
                job: job.job.id.clone(),
                task: end.at,
                agent: agent.clone(),
                run: end.run,
                how: end.kind,
                ran_ms: millis(end.ran),
            };
            self.note(note);
        }
        if is_failed {
            self.end(now, caller, JobOutcome::Failed);
        } else if is_done {
            self.end(now, caller, JobOutcome::Completed);
        }
    }

    fn tick(&mut self, now: Instant) {
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
    fn refuse_hopeless(&mut self, now: Instant) {
        let mut hopeless = Vec::new();
        for (caller, job) in &self.jobs {
            if job.has_run || !job.holders().is_empty() {
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
    fn never_served(&self, now: Instant, job: &HeldJob) -> Option<RefusedFor> {
        let is_long_without = self
            .with_endpoints_at
            .is_some_and(|at| at + WITHOUT_ENDPOINTS < now);
        if !self.has_endpoints() {
            return is_long_without.then_some(RefusedFor::NoEndpoint);
        }
        (!can_ever_fit(&self.views, job)).then_some(RefusedFor::NeverFits)
    }

    /// Ends a job without a result: refused where nothing can have run.
    fn give_up(&mut self, now: Instant, caller: CallerId, reason: RefusedFor) {
        let Some(job) = self.jobs.get(&caller) else {
            return;
        };
        let outcome = if job.has_run || !job.holders().is_empty() {
            JobOutcome::Expired
        } else {
            JobOutcome::Refused(reason, LEAST_RETRY_AFTER)
        };
        self.end(now, caller, outcome);
    }

    fn end(&mut self, now: Instant, caller: CallerId, outcome: JobOutcome) {
        if let Some(job) = self.jobs.get(&caller) {
            let id = job.job.id.clone();
            let note = job.answered(now, outcome);
            self.note(note);
            self.actions
                .push(DispatchAction::Answer(caller, id, outcome));
        }
        self.drop_job(caller);
    }

    fn note(&mut self, note: DecisionNote) {
        self.actions.push(DispatchAction::Note(note));
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
    ///
    /// What can still be in time comes before what cannot. A part of a job may
    /// start before the rest: the rest follows before anything less urgent.
    fn place(&mut self, now: Instant) {
        let mut waiting: Vec<(bool, Instant, CallerId)> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.has_ready())
            .map(|(caller, job)| {
                let start_by = job.objective.start_by();
                (
                    start_by < now,
                    start_by + URGENCY_STEP * job.route.priority,
                    *caller,
                )
            })
            .collect();
        if waiting.is_empty() {
            return;
        }
        waiting.sort_unstable();
        let mut places = Places::new(&self.views, &self.zone);
        for (_, _, caller) in waiting {
            if places.is_full() {
                return;
            }
            let Some(job) = self.jobs.get(&caller) else {
                continue;
            };
            let chosen = places.choose(job, &job.ready());
            for (agent, tasks) in chosen {
                self.assign(now, caller, &agent, &tasks);
            }
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
        let start_by = job.objective.start_by();
        let slack = if start_by > now {
            start_by - now
        } else {
            LONGEST_WAIT_AT_AGENT
        };
        let assignment = Assignment {
            id,
            job: job.job.id.clone(),
            payload: job.job.payload.clone(),
            after_run: job.highest_run,
            start_within: slack.clamp(LEAST_WAIT_AT_AGENT, LONGEST_WAIT_AT_AGENT),
            tasks: assigned,
        };
        job.placed_at.get_or_insert(now);
        let after_ms = millis(now.saturating_duration_since(job.came_at));
        let job_id = job.job.id.clone();
        if let Some(view) = self.views.get_mut(agent) {
            let note = DecisionNote::TasksPlaced {
                job: job_id,
                agent: agent.clone(),
                assignment: id,
                tasks: tasks.len(),
                after_ms,
                free_cpu_millis: view.free().cpu_millis,
                report_age_ms: millis(view.age(now)),
            };
            view.claim(id, room, u16::try_from(tasks.len()).unwrap_or(u16::MAX));
            self.note(note);
        }
        self.actions
            .push(DispatchAction::Assign(agent.clone(), assignment));
    }
}
