//! A job that an entry holds until it ends.

use {
    crate::{
        placement::{
            JobOutcome, Submission,
            held_task::{HeldTask, TaskState},
            objective::Objective,
        },
        timing::millis,
    },
    chestnutrun_types::{
        AgentId, AssignmentId, BestEffortJob, DecisionEvent, Route, RunNumber, StepIndex, StepSpec,
        TaskPosition,
    },
    std::{rc::Rc, sync::Arc, time::Instant},
};

/// A late job whose tasks that wait are at most one in this many goes with those
/// in time: its answer is worth a fifth of one in time.
const LATE_PART: usize = 5;

/// A job that an entry holds until it ends.
#[derive(Debug)]
pub(crate) struct HeldJob {
    pub(crate) route: Arc<Route>,
    pub(crate) job: Rc<BestEffortJob>,
    pub(crate) came_at: Instant,
    pub(crate) deadline: Instant,
    /// When its first task was placed.
    pub(crate) placed_at: Option<Instant>,
    /// Tasks that came back undone.
    pub(crate) returned: u32,
    pub(crate) objective: Objective,
    pub(crate) tasks: Vec<HeldTask>,
    /// Whether a task may have run.
    pub(crate) has_run: bool,
    /// Highest number of a start that an agent told of.
    pub(crate) highest_run: RunNumber,
}

impl HeldJob {
    pub(crate) fn new(now: Instant, submission: Submission, objective: Objective) -> Self {
        let mut tasks = Vec::new();
        for (step, spec) in (0..).zip(&submission.job.steps) {
            let of_step = (0..spec.tasks).map(|index| HeldTask::new(TaskPosition { step, index }));
            tasks.extend(of_step);
        }
        Self {
            route: submission.route,
            job: submission.job,
            came_at: now,
            deadline: submission.deadline,
            placed_at: None,
            returned: 0,
            objective,
            tasks,
            has_run: false,
            highest_run: 0,
        }
    }

    pub(crate) fn step(&self, step: StepIndex) -> &StepSpec {
        &self.job.steps[usize::from(step)]
    }

    pub(crate) fn task_mut(&mut self, at: TaskPosition) -> Option<&mut HeldTask> {
        self.tasks.iter_mut().find(|task| task.at == at)
    }

    /// Returns what is written down when the caller has its answer.
    pub(crate) fn answered(&self, now: Instant, outcome: JobOutcome) -> DecisionEvent {
        let since = |at: Instant| millis(at.saturating_duration_since(self.came_at));
        let done = self
            .tasks
            .iter()
            .filter(|task| task.state == TaskState::Done);
        DecisionEvent::JobAnswered {
            job: self.job.id.clone(),
            route: self.route.id.clone(),
            outcome: outcome.name().into(),
            took_ms: since(now),
            placed_after_ms: self.placed_at.map(since),
            done: done.count(),
            at_agents: self.tasks.iter().filter_map(HeldTask::holder).count(),
            returned: self.returned,
        }
    }

    /// Whether every task ran to its end.
    pub(crate) fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.state == TaskState::Done)
    }

    /// Whether the job is late, still worth something, and has so few tasks that
    /// wait that a run of them brings as much as one of a job in time.
    pub(crate) fn is_nearly_done(&self, now: Instant) -> bool {
        let waiting = self.tasks.iter();
        let waiting = waiting.filter(|task| task.state == TaskState::Waiting);
        let is_worth_it = now + self.objective.chain <= self.objective.last;
        is_worth_it && waiting.count() * LATE_PART <= self.tasks.len()
    }

    /// Whether a task waits and every step before its own is complete.
    pub(crate) fn has_ready(&self) -> bool {
        self.tasks.iter().any(|task| self.is_ready(task))
    }

    /// Returns the tasks that wait and whose earlier steps are complete.
    pub(crate) fn ready(&self) -> Vec<HeldTask> {
        let ready = self.tasks.iter().filter(|task| self.is_ready(task));
        ready.cloned().collect()
    }

    /// Whether a task may have run, or an agent may have one.
    pub(crate) fn may_have_run(&self) -> bool {
        self.has_run || self.tasks.iter().any(|task| task.holder().is_some())
    }

    /// Returns what agents may have of the job, one entry an assignment.
    pub(crate) fn holders(&self) -> Vec<(AgentId, AssignmentId)> {
        let mut holders: Vec<(AgentId, AssignmentId)> = Vec::new();
        for (agent, id) in self.tasks.iter().filter_map(HeldTask::holder) {
            if !holders.iter().any(|(_, known)| *known == id) {
                holders.push((agent.clone(), id));
            }
        }
        holders
    }

    fn is_ready(&self, task: &HeldTask) -> bool {
        task.state == TaskState::Waiting
            && self
                .step(task.at.step)
                .after
                .iter()
                .all(|step| self.is_step_done(*step))
    }

    fn is_step_done(&self, step: StepIndex) -> bool {
        let mut of_step = self.tasks.iter().filter(|task| task.at.step == step);
        of_step.all(|task| task.state == TaskState::Done)
    }
}
