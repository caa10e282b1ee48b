//! Ratio of observed to expected run times over recent jobs.

use {
    chestnutrun_types::JobId,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Jobs in the window. Estimates are off by a half or so, which leaves a standard error of
/// a few percent.
const MAX_JOBS: usize = 128;

/// How long a run counts: an endpoint that gets no work because it was slow is tried again
/// after that.
const RUN_KEPT: Duration = Duration::from_secs(30);

/// Newest jobs that are compared with the earlier ones to see a change of speed.
const NEWEST_JOBS: usize = 12;

/// Factor between the newest and the earlier jobs above which the earlier ones are dropped:
/// four standard errors of the median of so few jobs.
const CHANGE_FACTOR: f32 = 1.6;

/// Ratio of the median's standard error to that of the mean, for normal deviations.
const MEDIAN_ERROR_FACTOR: f32 = 1.25;

/// Ratio of the standard deviation to the median absolute one, for normal deviations.
const DEVIATION_FACTOR: f32 = 1.48;

/// Ratios that one run may show.
const RATIO_RANGE: (f32, f32) = (0.01, 100.0);

/// Runs of one job. They share an estimate, so they count once.
#[derive(Clone, Debug)]
struct JobRuns {
    job: JobId,
    ended_at: Instant,
    /// Mean of the natural logarithms of the runs' ratios.
    log_ratio: f32,
    runs: u16,
}

/// Median ratio of a window.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WindowSummary {
    pub(crate) jobs: u16,
    pub(crate) ratio: f32,
    /// Standard error of the natural logarithm of `ratio`.
    pub(crate) error: f32,
}

/// Ratio of observed to expected run times over recent jobs.
///
/// Stragglers, a few percent of the tasks, move a median hardly at all.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunWindow {
    jobs: VecDeque<JobRuns>,
}

impl RunWindow {
    /// Adds a completed run; returns whether the endpoint's speed changed so much that
    /// earlier runs were dropped.
    pub(crate) fn record(&mut self, now: Instant, job: &JobId, ratio: f32) -> bool {
        if !ratio.is_finite() {
            return false;
        }
        let log_ratio = ratio.clamp(RATIO_RANGE.0, RATIO_RANGE.1).ln();
        let newest = self.jobs.iter_mut().rev().take(NEWEST_JOBS);
        if let Some(known) = newest.into_iter().find(|known| known.job == *job) {
            known.runs = known.runs.saturating_add(1);
            known.log_ratio += (log_ratio - known.log_ratio) / f32::from(known.runs);
            known.ended_at = now;
            return false;
        }
        self.forget_old(now);
        self.jobs.push_back(JobRuns {
            job: job.clone(),
            ended_at: now,
            log_ratio,
            runs: 1,
        });
        if self.jobs.len() > MAX_JOBS {
            self.jobs.pop_front();
        }
        self.drop_before_change()
    }

    /// Drops the runs that are too old to count; returns whether there were any.
    pub(crate) fn forget_old(&mut self, now: Instant) -> bool {
        let known = self.jobs.len();
        let is_old = |first: &JobRuns| first.ended_at + RUN_KEPT < now;
        while self.jobs.front().is_some_and(is_old) {
            self.jobs.pop_front();
        }
        self.jobs.len() < known
    }

    /// Returns the median ratio; none without a run.
    pub(crate) fn summary(&self) -> Option<WindowSummary> {
        let mut logs: Vec<f32> = self.jobs.iter().map(|job| job.log_ratio).collect();
        let center = median(&mut logs)?;
        for log in &mut logs {
            *log = (*log - center).abs();
        }
        let deviation = median(&mut logs)? * DEVIATION_FACTOR;
        let jobs = u16::try_from(logs.len()).unwrap_or(u16::MAX);
        Some(WindowSummary {
            jobs,
            ratio: center.exp(),
            error: MEDIAN_ERROR_FACTOR * deviation / f32::from(jobs).sqrt(),
        })
    }

    fn drop_before_change(&mut self) -> bool {
        let earlier = self.jobs.len().saturating_sub(NEWEST_JOBS);
        if earlier < NEWEST_JOBS {
            return false;
        }
        let logs = self.jobs.iter().map(|job| job.log_ratio);
        let mut before: Vec<f32> = logs.clone().take(earlier).collect();
        let mut newest: Vec<f32> = logs.skip(earlier).collect();
        let (Some(before), Some(newest)) = (median(&mut before), median(&mut newest)) else {
            return false;
        };
        let has_changed = (newest - before).abs() > CHANGE_FACTOR.ln();
        if has_changed {
            self.jobs.drain(..earlier);
        }
        has_changed
    }
}

/// Returns the median of finite values, which it reorders.
fn median(values: &mut [f32]) -> Option<f32> {
    let middle = values.len() / 2;
    if values.is_empty() {
        return None;
    }
    let (_, median, _) = values.select_nth_unstable_by(middle, f32::total_cmp);
    Some(*median)
}
