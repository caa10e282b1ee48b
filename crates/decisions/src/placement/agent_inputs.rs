//! Handles the inputs of the dispatcher that come from agents.

use {
    crate::{
        placement::{
            DispatchAction, Dispatcher, JobOutcome, endpoint_view::EndpointView,
            held_task::TaskState,
        },
        timing::{LOST_AGENT_RUNS_END_AFTER, millis},
    },
    chestnutrun_types::{
        AgentId, AgentUpdate, AssignmentId, DecisionEvent, EndKind, EndpointInfo, Incarnation,
        Resync, Revocation, TaskEnd, TaskPosition,
    },
    std::time::Instant,
};

/// Fewest failed runs of a task that make its job fail, even if the route allows
/// fewer. A single failure may be the fault of the endpoint.
const MIN_FAILURES: u32 = 2;

impl Dispatcher {
    pub(super) fn agent_up(
        &mut self,
        now: Instant,
        agent: &AgentId,
        incarnation: Incarnation,
        resync: Resync,
    ) {
        let known = self.views.get(agent);
        let is_same = known.is_some_and(|view| view.incarnation == incarnation);
        let has_endpoint = resync.info.is_some();
        self.count_crashes(now, resync.crashes);
        if !is_same {
            self.agent_down(now, agent);
        }
        self.record(DecisionEvent::AgentLinked {
            agent: agent.clone(),
            incarnation,
            endpoint: resync.info.as_ref().map(|info| info.endpoint.clone()),
            live: resync.live.len(),
        });
        let view = EndpointView::new(incarnation, resync.info);
        self.views.insert(agent.clone(), view);
        self.changes.agents.insert(agent.clone());
        if is_same {
            self.resync(now, agent, &resync.live, resync.ends);
        } else if has_endpoint {
            self.requeue_in_doubt(agent);
        }
    }

    /// Compares the tasks that an agent holds with those assigned to it.
    ///
    /// Tasks that the agent lacks wait again; assignments that the dispatcher
    /// no longer knows are revoked.
    pub(super) fn resync(
        &mut self,
        now: Instant,
        agent: &AgentId,
        live: &[(AssignmentId, TaskPosition)],
        ends: Vec<TaskEnd>,
    ) {
        for end in ends {
            self.task_ended(now, agent, end);
        }
        let mut surplus = Vec::new();
        for (assignment, _) in live {
            if !self.by_assignment.contains_key(assignment) && !surplus.contains(assignment) {
                surplus.push(*assignment);
            }
        }
        for (caller, job) in &mut self.jobs {
            for task in &mut job.tasks {
                let Some((holder, id)) = task.holder().map(|(a, id)| (a.clone(), id)) else {
                    continue;
                };
                if holder != *agent {
                    continue;
                }
                if live.contains(&(id, task.at)) {
                    task.state = TaskState::Assigned(holder, id);
                } else {
                    task.state = TaskState::Waiting;
                    self.changes.jobs.insert(*caller);
                }
            }
        }
        if !surplus.is_empty() {
            let revocation = Revocation {
                assignments: surplus,
                demand: None,
            };
            self.actions
                .push(DispatchAction::Revoke(agent.clone(), revocation));
        }
    }

    pub(super) fn agent_down(&mut self, now: Instant, agent: &AgentId) {
        let Some(view) = self.views.get_mut(agent) else {
            return;
        };
        let was_linked = view.unlinked_at.is_none();
        view.unlink(now);
        self.site.remove(agent);
        self.teller.remove(agent);
        let until = now + LOST_AGENT_RUNS_END_AFTER;
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
            self.record(DecisionEvent::AgentLost {
                agent: agent.clone(),
                in_doubt,
            });
        }
    }

    /// Forgets the agents that were lost so long ago that nothing of them runs.
    pub(super) fn forget_lost_agents(&mut self, now: Instant) {
        let known = &mut self.known_endpoints;
        self.views.retain(|_, view| {
            let is_kept = view
                .unlinked_at
                .is_none_or(|at| now <= at + LOST_AGENT_RUNS_END_AFTER);
            if !is_kept && let Some(info) = view.info.take() {
                known.add_lost(now, info);
            }
            is_kept
        });
    }

    pub(super) fn endpoint_changed(&mut self, agent: &AgentId, info: Option<EndpointInfo>) {
        let Some(view) = self.views.get_mut(agent) else {
            return;
        };
        let is_new = info.is_some() && view.info.is_none();
        let known = info.as_ref();
        let event = DecisionEvent::EndpointChanged {
            agent: agent.clone(),
            endpoint: known.map(|info| info.endpoint.clone()),
            incarnation: known.map_or(0, |info| info.incarnation),
            service: known.map(|info| info.service.clone()),
            cpu_millis: known.map_or(0, |info| info.total.cpu_millis),
        };
        view.info = info;
        self.changes.agents.insert(agent.clone());
        self.record(event);
        if is_new {
            // The agent reports an endpoint only once earlier runs there ended.
            self.requeue_in_doubt(agent);
        }
    }

    /// Makes an agent's `InDoubt` tasks wait again, since none of them still
    /// runs.
    pub(super) fn requeue_in_doubt(&mut self, agent: &AgentId) {
        for (caller, job) in &mut self.jobs {
            for task in &mut job.tasks {
                if let TaskState::InDoubt(holder, ..) = &task.state
                    && holder == agent
                {
                    task.state = TaskState::Waiting;
                    self.changes.jobs.insert(*caller);
                }
            }
        }
    }

    pub(super) fn agent_updated(&mut self, now: Instant, agent: &AgentId, mut update: AgentUpdate) {
        self.count_crashes(now, std::mem::take(&mut update.crashes));
        let ends = std::mem::take(&mut update.ends);
        if let Some(view) = self.views.get_mut(agent) {
            view.update(now, &update);
            self.site.update(now, agent, &update);
            self.changes.agents.insert(agent.clone());
        }
        for end in ends {
            self.task_ended(now, agent, end);
        }
    }

    pub(super) fn task_ended(&mut self, now: Instant, agent: &AgentId, end: TaskEnd) {
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
        let (route, allowed) = (job.route.id.clone(), job.route.attempts.max(MIN_FAILURES));
        let Some(task) = job
            .task_mut(end.at)
            .filter(|t| t.is_assigned_as(agent, end.assignment))
        else {
            return;
        };
        task.state = TaskState::Waiting;
        self.changes.jobs.insert(caller);
        let mut is_done_now = false;
        match end.kind {
            EndKind::Done => {
                task.state = TaskState::Done;
                is_done_now = true;
            }
            EndKind::Failed => {
                task.avoid.extend(endpoint);
                task.failures += u32::from(is_sound);
            }
            EndKind::Stalled => task.avoid.extend(endpoint),
            EndKind::NotStarted | EndKind::Stopped => {}
        }
        let is_failed = task.failures >= allowed;
        if is_done_now {
            let estimate = job.step(end.at.step).estimate;
            self.run_times.record(&route, estimate, end.ran);
        }
        job.has_run |= end.kind != EndKind::NotStarted;
        let is_done = job.is_done();
        if end.kind != EndKind::Done {
            job.returned += 1;
            let event = DecisionEvent::TaskReturned {
                job: job.job.id.clone(),
                task: end.at,
                agent: agent.clone(),
                run: end.run,
                how: end.kind,
                ran_ms: millis(end.ran),
            };
            self.record(event);
        }
        if is_failed {
            self.end_job(now, caller, JobOutcome::Failed);
        } else if is_done {
            self.end_job(now, caller, JobOutcome::Completed);
        }
    }
}
