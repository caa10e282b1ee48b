//! Computes when a job should end.

use {
    crate::placement::run_times::RunTimes,
    chestnutrun_types::{BestEffortJob, Route, StepIndex},
    std::time::{Duration, Instant},
};

/// Longest time that a route can allow a job: far longer than callers wait.
const MAX_ALLOWED: Duration = Duration::from_hours(24);

/// How long a job runs, and until when its route promises the answer.
#[derive(Clone, Debug)]
pub(crate) struct Objective {
    /// Expected run time of the longest chain of steps, at endpoints of mean speed.
    chain: Duration,
    /// Expected run time from each step to the end of the job, at endpoints of mean speed.
    rest: Vec<Duration>,
    /// Expected run time of each step's tasks, at endpoints of mean speed.
    own: Vec<Duration>,
    run_times: RunTimes,
    /// Slowness of the service's fastest endpoint.
    fastest: f32,
    /// Moment until which the route promises an answer.
    pub(crate) target_until: Instant,
}

impl Objective {
    /// Computes the objective of a job that arrived now.
    pub(crate) fn new(
        now: Instant,
        route: &Route,
        job: &BestEffortJob,
        run_times: RunTimes,
    ) -> Self {
        let rest = rest_from_each_step(job, |estimate| run_times.expected(estimate));
        let own = job
            .steps
            .iter()
            .map(|step| run_times.expected(step.estimate));
        let chain = rest.iter().max().copied().unwrap_or_default();
        Self {
            chain,
            rest,
            own: own.collect(),
            run_times,
            fastest: 1.0,
            target_until: now + allowed_time(chain, route),
        }
    }

    /// Sets the slowness of the service's fastest endpoint.
    pub(crate) fn set_fastest(&mut self, fastest: f32) {
        self.fastest = fastest;
    }

    /// Returns how long a job is expected to run from the start of a step to its end, if
    /// the step runs at an endpoint of this slowness and the later ones at the fastest.
    fn rest_at(&self, step: StepIndex, slowness: f32) -> Duration {
        let own = self.own.get(usize::from(step)).copied().unwrap_or_default();
        let later = self.mean_rest(Some(step)).saturating_sub(own);
        scaled(own, slowness) + scaled(later, self.fastest)
    }

    /// Returns how long a task with this estimate is expected to run.
    pub(crate) fn expected_run_time(&self, estimate: Duration) -> Duration {
        self.run_times.expected(estimate)
    }

    /// Returns how long a job is likely to run from the start of a step to its end; the
    /// longest chain if there is no such step.
    pub(crate) fn likely_rest(&self, step: Option<StepIndex>) -> Duration {
        self.run_times.likely(self.rest(step))
    }

    /// Returns the time within which a job almost certainly ends from the start of a step;
    /// the longest chain's if there is no such step.
    pub(crate) fn longest_rest(&self, step: Option<StepIndex>) -> Duration {
        self.run_times.at_most(self.rest(step))
    }

    /// Returns the time that a job almost certainly takes from the start of a step to its
    /// end; the longest chain's if there is no such step.
    pub(crate) fn shortest_rest(&self, step: Option<StepIndex>) -> Duration {
        self.run_times.at_least(self.rest(step))
    }

    fn rest(&self, step: Option<StepIndex>) -> Duration {
        scaled(self.mean_rest(step), self.fastest)
    }

    fn mean_rest(&self, step: Option<StepIndex>) -> Duration {
        let rest = step.and_then(|step| self.rest.get(usize::from(step)));
        rest.copied().unwrap_or(self.chain)
    }
}

/// Until when the tasks of a job that start now should end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndLimits<'a> {
    pub(crate) objective: &'a Objective,
    /// Moment after which no caller waits.
    pub(crate) deadline: Instant,
    /// Whether something of the job may have run.
    pub(crate) may_have_run: bool,
}

impl EndLimits<'_> {
    /// Returns whether a task may start now at an endpoint of this slowness, as far as the
    /// endpoint is slower than the fastest one, which is considered for all jobs at ticks.
    ///
    /// A job of which nothing has run starts only where it almost certainly ends while its
    /// caller waits. Once the caller cannot be told that nothing has run, its other tasks
    /// start where they may still end in time.
    pub(crate) fn may_start(&self, now: Instant, step: StepIndex, slowness: f32) -> bool {
        let objective = self.objective;
        if slowness <= objective.fastest {
            return true;
        }
        let rest = objective.rest_at(step, slowness);
        let needed = if self.may_have_run {
            objective.run_times.at_least(rest)
        } else {
            objective.run_times.at_most(rest)
        };
        now + needed <= self.deadline
    }

    /// Returns whether a task that starts now at an endpoint of this slowness is expected to
    /// end within the target.
    pub(crate) fn meets_target(&self, now: Instant, step: StepIndex, slowness: f32) -> bool {
        now + self.objective.rest_at(step, slowness) <= self.objective.target_until
    }
}

/// Returns a run time at an endpoint of this slowness.
fn scaled(run_time: Duration, slowness: f32) -> Duration {
    let seconds = run_time.as_secs_f64() * f64::from(slowness);
    Duration::try_from_secs_f64(seconds).map_or(MAX_ALLOWED, |scaled| scaled.min(MAX_ALLOWED))
}

/// Returns how long a job may take within its route's target. A route of another process may
/// have any numbers.
fn allowed_time(chain: Duration, route: &Route) -> Duration {
    let seconds = chain.as_secs_f64() * route.stretch.max(1.0);
    let stretched = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_ALLOWED);
    stretched.min(MAX_ALLOWED) + route.target_latency.min(MAX_ALLOWED)
}

/// Returns the expected run time from each step to the end of the job.
fn rest_from_each_step(
    job: &BestEffortJob,
    expected_run_time: impl Fn(Duration) -> Duration,
) -> Vec<Duration> {
    let mut rest: Vec<Duration> = Vec::with_capacity(job.steps.len());
    for step in &job.steps {
        rest.push(expected_run_time(step.estimate));
    }
    // A step waits only for earlier ones, so the rest of a later step is complete.
    for (index, step) in job.steps.iter().enumerate().rev() {
        for before in step.after.iter().map(|before| usize::from(*before)) {
            let through = expected_run_time(job.steps[before].estimate) + rest[index];
            rest[before] = rest[before].max(through);
        }
    }
    rest
}
