//! Assigns waiting tasks to agents, the most urgent jobs first.

use {
    crate::{
        placement::{
            CallerId, DispatchAction, Dispatcher,
            candidates::{Candidates, Choice},
            changes::Changes,
            held_job::HeldJob,
            held_task::TaskState,
            turn::{Turn, TurnKey},
        },
        timing::{MAX_WAIT_AT_AGENT, millis},
    },
    chestnutrun_types::{
        AgentId, AssignedTask, Assignment, DecisionEvent, Resources, TaskPosition,
    },
    std::time::{Duration, Instant},
};

/// Counterpart of [`MAX_WAIT_AT_AGENT`] for tasks that must not run beside others and
/// wait until these have ended.
const MAX_WAIT_FOR_EMPTY_ENDPOINT: Duration = Duration::from_millis(150);

/// Shortest time for which assigned tasks may wait at an agent: five round trips
/// between availability zones.
const MIN_WAIT_AT_AGENT: Duration = Duration::from_millis(10);

impl Dispatcher {
    /// Assigns waiting tasks, the most urgent jobs first.
    ///
    /// Some tasks of a job may be assigned before its other tasks. A job that found no
    /// room before, and has not changed since, finds some only at an endpoint that has
    /// reported since.
    pub(super) fn place(&mut self, now: Instant) {
        let changes = std::mem::take(&mut self.changes);
        if changes.is_empty() {
            return;
        }
        let mut waiting: Vec<TurnKey> = Vec::new();
        for caller in self.unplaced.union(&changes.jobs) {
            if let Some(job) = self.jobs.get(caller).filter(|job| job.has_ready_task()) {
                waiting.push(Turn::new(job).key(now, *caller));
            }
        }
        self.unplaced = waiting.iter().map(|key| key.4).collect();
        if waiting.is_empty() {
            return;
        }
        waiting.sort_unstable();
        let waiting: Vec<CallerId> = waiting.into_iter().map(|key| key.4).collect();
        for (caller, choice) in self.choose(now, &waiting, &changes) {
            let priority = self.jobs.get(&caller).map_or(0, HeldJob::priority);
            for (agent, tasks) in choice {
                self.assign(now, caller, &agent, &tasks, priority);
            }
        }
    }

    /// Returns the endpoints for the tasks of the waiting jobs.
    fn choose(
        &self,
        now: Instant,
        waiting: &[CallerId],
        changes: &Changes,
    ) -> Vec<(CallerId, Choice)> {
        let has_changed = |caller: &CallerId| changes.jobs.contains(caller);
        let only_changed = !waiting.iter().any(has_changed);
        let agents = &changes.agents;
        let (views, speeds) = (&self.views, &self.speeds);
        let mut candidates = Candidates::new(views, &self.zone, speeds, agents, only_changed);
        let mut choices = Vec::new();
        for caller in waiting {
            if candidates.is_full() {
                break;
            }
            if let Some(job) = self.jobs.get(caller) {
                let is_alone = self.crashes.most_under(&job.job.id) > 0;
                let choice = candidates.choose(now, job, !has_changed(caller), is_alone);
                choices.push((*caller, choice));
            }
        }
        choices
    }

    pub(super) fn assign(
        &mut self,
        now: Instant,
        caller: CallerId,
        agent: &AgentId,
        tasks: &[TaskPosition],
        priority: u32,
    ) {
        let id = self.next_assignment;
        let Some(job) = self.jobs.get_mut(&caller) else {
            return;
        };
        let is_alone = self.crashes.most_under(&job.job.id) > 0;
        self.next_assignment += 1;
        self.by_assignment.insert(id, caller);
        let run_times = self.run_times.get(&job.route.id);
        let mut room = Resources::default();
        let mut assigned = Vec::with_capacity(tasks.len());
        for at in tasks {
            let step = job.step(at.step);
            let (need, estimate) = (step.need, step.estimate);
            room = room.plus(need);
            assigned.push(AssignedTask {
                at: *at,
                need,
                expected: run_times.expected(estimate),
            });
            if let Some(task) = job.task_mut(*at) {
                task.state = TaskState::Assigned(agent.clone(), id);
            }
        }
        let longest_wait = if is_alone {
            MAX_WAIT_FOR_EMPTY_ENDPOINT
        } else {
            MAX_WAIT_AT_AGENT
        };
        let latest_start = Turn::new(job).latest_start(now);
        let slack = latest_start.saturating_duration_since(now);
        let assignment = Assignment {
            id,
            job: job.job.id.clone(),
            route: Some(job.route.id.clone()),
            payload: job.job.payload.clone(),
            after_run: job.highest_run,
            start_within: slack.clamp(MIN_WAIT_AT_AGENT, longest_wait),
            priority,
            alone: is_alone,
            tasks: assigned,
        };
        job.placed_at.get_or_insert(now);
        let after_ms = millis(now.saturating_duration_since(job.arrived_at));
        let job_id = job.job.id.clone();
        if let Some(view) = self.views.get_mut(agent) {
            let event = DecisionEvent::TasksPlaced {
                job: job_id,
                agent: agent.clone(),
                assignment: id,
                tasks: tasks.len(),
                after_ms,
                free_cpu_millis: view.free().cpu_millis,
                report_age_ms: millis(view.age(now)),
            };
            if is_alone && let Some(info) = &view.info {
                room = info.total;
            }
            view.claim(id, room, u16::try_from(tasks.len()).unwrap_or(u16::MAX));
            self.record(event);
        }
        self.actions
            .push(DispatchAction::Assign(agent.clone(), assignment));
    }
}
