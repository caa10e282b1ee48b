//! How long a job waits for room.

use {
    crate::{
        demand::{AcceptedWork, OwnWork, Supply},
        timing::millis,
    },
    chestnutrun_types::{DecisionEvent, DemandClass, JobId},
    std::time::{Duration, Instant},
};

/// How far ahead more urgent work counts that has not arrived yet: the rate of the last half
/// second says little of later ones.
const HORIZON_SECONDS: f64 = 1.0;

/// Part of the estimated wait that a job must be unable to wait before it is refused after
/// its arrival: the view may be wrong by this much, and the job may get room meanwhile.
pub(crate) const CERTAIN_PART: f64 = 0.8;

/// Part of its time that a job may be expected to wait when it is accepted: work that goes
/// before it may arrive later, and its caller would learn of the refusal only then.
pub(crate) const SURE_PART: f64 = 0.7;

/// Longest wait that is told apart from an endless one.
const LONGEST_WAIT: Duration = Duration::from_hours(1);

/// How long a job waits for room, by the view of the site.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Forecast {
    /// Work that gets room first, in core-seconds.
    pub(crate) work: f64,
    /// Rate at which the endpoints work, in cores.
    cores: f64,
    /// Part of the rate that more urgent work takes that arrives meanwhile.
    more_urgent: f64,
    /// Age of the view.
    age: Duration,
}

impl Forecast {
    /// Estimates the wait of a job of a class.
    pub(crate) fn new(
        now: Instant,
        class: DemandClass,
        own: OwnWork,
        accepted: &AcceptedWork,
        supply: &Supply,
    ) -> Self {
        let before = supply.others.range(..class);
        let before: f64 = before.map(|(_, load)| load.waiting_seconds).sum();
        // Free room is reported to all entries, so that those whose work waits get equal
        // parts of it: one with a longer queue than others waits longer.
        let entries = supply.others.get(&class).map_or(0.0, |load| load.entries);
        Self {
            work: before * supply.cores + own.before + own.ahead * (1.0 + entries),
            cores: supply.cores,
            more_urgent: supply.accepted_before(now, class, accepted).min(1.0),
            age: supply.age,
        }
    }

    /// Returns the time until the job gets room.
    pub(crate) fn wait(&self) -> Duration {
        let seconds = self.work / self.cores;
        let meanwhile = self.more_urgent * HORIZON_SECONDS;
        let left = 1.0 - self.more_urgent;
        let wait = if seconds <= left * HORIZON_SECONDS {
            seconds / left.max(f64::MIN_POSITIVE)
        } else {
            seconds + meanwhile
        };
        Duration::try_from_secs_f64(wait).map_or(LONGEST_WAIT, |wait| wait.min(LONGEST_WAIT))
    }

    /// Returns the log record of a refusal that follows from the estimate.
    pub(crate) fn refusal_event(
        &self,
        now: Instant,
        job: JobId,
        last_start: Instant,
    ) -> DecisionEvent {
        DecisionEvent::JobRefusedByForecast {
            job,
            wait_ms: millis(self.wait()),
            left_ms: millis(last_start.saturating_duration_since(now)),
            work_core_ms: whole(self.work * 1_000.0),
            rate_cpu_millis: whole(self.cores * 1_000.0),
            view_age_ms: millis(self.age),
        }
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // saturates at the range
fn whole(value: f64) -> u64 {
    value as u64
}
