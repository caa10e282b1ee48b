//! A job that an entry holds until it ends.

use {
    crate::{
        placement::{
            CallerId, JobOutcome, Submission,
            held_task::{HeldTask, TaskState},
            objective::Objective,
        },
        timing::millis,
    },
    chestnutrun_types::{
        AgentId, AssignmentId, BestEffortJob, DecisionEvent, Route, RunNumber, StepIndex, StepSpec,
        TaskPosition,
    },
    indexmap::IndexMap,
    std::{
        ops::Range,
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Numbers of tasks by agent and step.
pub(crate) type TaskCounts = IndexMap<(AgentId, StepIndex), usize>;

/// A job that an entry holds until it ends.
#[derive(Debug)]
pub(crate) struct HeldJob {
    pub(crate) route: Arc<Route>,
    pub(crate) job: Rc<BestEffortJob>,
    pub(crate) arrived_at: Instant,
    /// Callers that wait for the answer, each with the moment until which it waits.
    pub(crate) callers: IndexMap<CallerId, Instant>,
    /// When the first task was assigned; none before that.
    pub(crate) placed_at: Option<Instant>,
    /// How many runs or assignments of tasks ended without completion.
    pub(crate) returned: u32,
    pub(crate) objective: Objective,
    /// The tasks, ordered by step.
    pub(crate) tasks: Vec<HeldTask>,
    steps: Vec<HeldStep>,
    /// Whether some task may have run, even if it waits again.
    pub(crate) has_run: bool,
    /// Whether an endpoint crashed while a task of the job was there.
    pub(crate) is_suspect: bool,
    /// Highest number of a start that agents reported; 0 for none.
    pub(crate) highest_run: RunNumber,
}

impl HeldJob {
    pub(crate) fn new(now: Instant, submission: Submission, objective: Objective) -> Self {
        let mut tasks = Vec::new();
        let mut steps = Vec::with_capacity(submission.job.steps.len());
        for (step, spec) in (0..).zip(&submission.job.steps) {
            steps.push(HeldStep::new(tasks.len(), spec));
            let of_step = (0..spec.tasks).map(|index| HeldTask::new(TaskPosition { step, index }));
            tasks.extend(of_step);
        }
        Self {
            route: submission.route,
            job: submission.job,
            arrived_at: now,
            callers: IndexMap::from([(submission.caller, submission.deadline)]),
            placed_at: None,
            returned: 0,
            objective,
            tasks,
            steps,
            has_run: false,
            is_suspect: false,
            highest_run: 0,
        }
    }

    /// Returns whether a submission is another attempt to submit this job.
    pub(crate) fn is_same(&self, submission: &Submission) -> bool {
        self.route.id == submission.route.id && self.job == submission.job
    }

    /// Returns the moment after which no caller waits.
    pub(crate) fn deadline(&self) -> Instant {
        let last = self.callers.values().max();
        last.copied().unwrap_or(self.arrived_at)
    }

    /// Removes and returns a caller whose deadline passed.
    pub(crate) fn take_expired_caller(&mut self, now: Instant) -> Option<CallerId> {
        let mut callers = self.callers.iter();
        let (caller, _) = callers.find(|(_, deadline)| **deadline <= now)?;
        let caller = *caller;
        self.callers.shift_remove(&caller);
        Some(caller)
    }

    pub(crate) fn step(&self, step: StepIndex) -> &StepSpec {
        &self.job.steps[usize::from(step)]
    }

    pub(crate) fn task_mut(&mut self, at: TaskPosition) -> Option<&mut HeldTask> {
        self.tasks.iter_mut().find(|task| task.at == at)
    }

    /// Returns the log record for the answer to the caller.
    pub(crate) fn answer_event(&self, now: Instant, outcome: JobOutcome) -> DecisionEvent {
        let since = |at: Instant| millis(at.saturating_duration_since(self.arrived_at));
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

    /// Returns whether every task completed.
    pub(crate) fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.state == TaskState::Done)
    }

    /// Returns the latest start of the tasks that wait for an answer that is likely to be
    /// within the target; of all tasks if none is ready.
    pub(crate) fn start_by(&self) -> Instant {
        let rest = self.longest_ready(|step| self.objective.likely_rest(step));
        let target = self.objective.target_until;
        target.checked_sub(rest).unwrap_or(target)
    }

    /// Returns the latest start of the tasks that wait for an answer that is almost
    /// certain before no caller waits any longer; of all tasks if none is ready.
    pub(crate) fn last_start(&self) -> Instant {
        let rest = self.longest_ready(|step| self.objective.longest_rest(step));
        let deadline = self.deadline();
        deadline.checked_sub(rest).unwrap_or(deadline)
    }

    /// Returns whether a waiting task almost certainly ends after the last caller's
    /// deadline even if it starts now.
    pub(crate) fn is_hopeless(&self, now: Instant) -> bool {
        let rest = self.longest_ready(|step| self.objective.shortest_rest(step));
        self.has_ready_task() && self.deadline() < now + rest
    }

    fn longest_ready(&self, rest: impl Fn(Option<StepIndex>) -> Duration) -> Duration {
        let of_ready = self.ready_tasks().map(|task| rest(Some(task.at.step)));
        of_ready.max().unwrap_or_else(|| rest(None))
    }

    /// Returns whether there is a waiting task whose earlier steps are complete.
    pub(crate) fn has_ready_task(&self) -> bool {
        self.tasks.iter().any(|task| self.is_ready(task))
    }

    /// Returns the tasks that wait and whose earlier steps are complete.
    pub(crate) fn ready_tasks(&self) -> impl Iterator<Item = &HeldTask> {
        self.tasks.iter().filter(|task| self.is_ready(task))
    }

    /// Returns whether a task may have run or an agent may hold one.
    pub(crate) fn may_have_run(&self) -> bool {
        self.has_run || self.tasks.iter().any(|task| task.holder().is_some())
    }

    /// Returns the priority at endpoints. The rest of a job that has begun is as urgent as
    /// any: its other tasks hold room for nothing until it ends. That of a suspect is not.
    pub(crate) fn priority(&self) -> u32 {
        if self.may_have_run() && !self.is_suspect {
            0
        } else {
            self.route.priority
        }
    }

    /// Returns the expected work of the tasks that wait, in core-seconds.
    pub(crate) fn waiting_work(&self) -> f64 {
        let waiting = self.tasks.iter();
        let waiting = waiting.filter(|task| task.state == TaskState::Waiting);
        let work = waiting.map(|task| {
            let step = self.step(task.at.step);
            let run_time = self.objective.expected_run_time(step.estimate);
            f64::from(step.need.cpu_millis) / 1_000.0 * run_time.as_secs_f64()
        });
        work.sum()
    }

    /// Returns the processor that the tasks at agents hold, in thousandths of a core.
    pub(crate) fn cpu_millis_at_agents(&self) -> u64 {
        let held = self.tasks.iter().filter(|task| task.holder().is_some());
        held.map(|task| u64::from(self.step(task.at.step).need.cpu_millis))
            .sum()
    }

    /// Returns the assignments that agents may hold, each of them once.
    pub(crate) fn holders(&self) -> Vec<(AgentId, AssignmentId)> {
        let mut holders: Vec<(AgentId, AssignmentId)> = Vec::new();
        for (agent, id) in self.tasks.iter().filter_map(HeldTask::holder) {
            if !holders.iter().any(|(_, known)| *known == id) {
                holders.push((agent.clone(), id));
            }
        }
        holders
    }

    /// Returns how many tasks of each step that limits them each agent may hold.
    pub(crate) fn limited_tasks(&self) -> TaskCounts {
        let mut counts = TaskCounts::new();
        for task in &self.tasks {
            if let Some((agent, _)) = task.holder()
                && self.step(task.at.step).most_per_endpoint.is_some()
            {
                *counts.entry((agent.clone(), task.at.step)).or_default() += 1;
            }
        }
        counts
    }

    fn is_ready(&self, task: &HeldTask) -> bool {
        let step = self.steps.get(usize::from(task.at.step));
        let mut after = step.iter().flat_map(|step| &step.after);
        task.state == TaskState::Waiting && after.all(|step| self.is_step_done(*step))
    }

    fn is_step_done(&self, step: StepIndex) -> bool {
        let step = self.steps.get(usize::from(step));
        let tasks = step.and_then(|step| self.tasks.get(step.tasks.clone()));
        let mut of_step = tasks.into_iter().flatten();
        of_step.all(|task| task.state == TaskState::Done)
    }
}

/// Returns the memory that a job takes while an entry holds it, in bytes.
#[must_use]
pub fn held_bytes(job: &BestEffortJob) -> usize {
    let steps = job.steps.iter().map(|step| {
        let labels = [&step.requires, &step.rack];
        let labels = labels.into_iter().flatten().map(|label| label.len());
        let after = 2 * size_of_val(step.after.as_slice());
        let tasks = usize::from(step.tasks) * size_of::<HeldTask>();
        size_of::<StepSpec>() + size_of::<HeldStep>() + after + labels.sum::<usize>() + tasks
    });
    size_of::<HeldJob>() + job.payload.len() + steps.sum::<usize>()
}

/// The tasks of one step, and the steps that it waits for.
#[derive(Debug)]
struct HeldStep {
    /// Positions of the step's tasks in the job's list.
    tasks: Range<usize>,
    /// Steps that must be complete before this one starts, each of them once.
    after: Vec<StepIndex>,
}

impl HeldStep {
    fn new(first_task: usize, spec: &StepSpec) -> Self {
        let mut after = spec.after.clone();
        after.sort_unstable();
        after.dedup();
        Self {
            tasks: first_task..first_task + usize::from(spec.tasks),
            after,
        }
    }
}
