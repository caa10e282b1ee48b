//! Plans the load of a market's opening: which job arrives when.

use {
    crate::{
        demo::{KindProfile, SiteProfile},
        standins::RunInput,
    },
    rand::{Rng, RngExt, SeedableRng, rngs::StdRng},
    serde_json::{Value, json},
    std::time::Duration,
};

/// End of the phase at half load, since the start of the opening.
const HALF_LOAD_UNTIL: Duration = Duration::from_secs(8);

/// End of the peak that follows, since the start of the opening.
const PEAK_UNTIL: Duration = Duration::from_secs(14);

/// End of the last phase and of all arrivals, since the start of the opening.
const ARRIVALS_UNTIL: Duration = Duration::from_secs(20);

/// Load before, at and after the peak, in percent of all slots.
const HALF_LOAD_PERCENT: u32 = 50;
const PEAK_PERCENT: u32 = 110;
const AFTER_PEAK_PERCENT: u32 = 40;

/// Share of the jobs that are resubmitted, in percent.
const RESUBMITTED_PERCENT: u32 = 10;

/// Longest time between the first submission and a resubmission.
const RESUBMITTED_WITHIN: Duration = Duration::from_secs(3);

/// A planned second submission of the same job.
#[derive(Clone, Copy, Debug)]
pub struct Resubmission {
    /// Time after the first submission.
    pub after: Duration,
    /// Number of the entry that receives it.
    pub entry: u16,
}

/// A planned job of the opening.
#[derive(Clone, Debug)]
pub struct PlannedJob {
    /// Arrival time since the start of the opening.
    pub at: Duration,
    /// Whether the job arrives during the phase at half load.
    pub at_half_load: bool,
    /// Kind of its tasks.
    pub kind: KindProfile,
    /// Key of the job, chosen by the caller.
    pub key: String,
    /// Number of the entry that receives it.
    pub entry: u16,
    /// Run time of each task.
    pub run_times: Vec<Duration>,
    /// Second submission; none for most jobs.
    pub resubmission: Option<Resubmission>,
}

/// The planned load of a market's opening.
#[derive(Clone, Debug)]
pub struct Opening {
    /// Planned jobs, sorted by arrival time.
    pub jobs: Vec<PlannedJob>,
}

impl Opening {
    /// Plans the opening of a site with `slots` slots in total and `entries` entries.
    #[must_use]
    pub fn plan(profile: &SiteProfile, slots: u32, entries: u16, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut jobs = Vec::new();
        for kind in profile.kinds {
            plan_kind(&mut jobs, kind, slots, entries, &mut rng);
        }
        jobs.sort_by_key(|job| job.at);
        Self { jobs }
    }
}

impl PlannedJob {
    /// Returns the run time of the longest task, which is the response time of the
    /// job alone on the site, without overhead.
    #[must_use]
    pub fn ideal(&self) -> Duration {
        self.run_times.iter().max().copied().unwrap_or_default()
    }

    /// Returns the JSON body of the submission.
    #[must_use]
    pub fn body(&self) -> Value {
        let tasks: Vec<Value> = self
            .run_times
            .iter()
            .map(|run_time| self.task_body(*run_time))
            .collect();
        json!({ "tasks": tasks })
    }

    fn task_body(&self, run_time: Duration) -> Value {
        let run_ms = u64::try_from(run_time.as_millis()).unwrap_or_default();
        let input = RunInput {
            run_ms,
            ..RunInput::default()
        };
        json!({
            "kind": self.kind.kind,
            "declared_run_time": format!("{run_ms}ms"),
            "input": serde_json::to_string(&input).unwrap_or_default(),
            "idempotent": self.kind.idempotent,
        })
    }
}

/// Adds the jobs of one kind to `jobs`.
fn plan_kind(
    jobs: &mut Vec<PlannedJob>,
    kind: &KindProfile,
    slots: u32,
    entries: u16,
    rng: &mut impl Rng,
) {
    let mut at = Duration::ZERO;
    loop {
        let run_times = draw_run_times(kind, rng);
        let work: Duration = run_times.iter().sum();
        let slots_wanted = f64::from(slots * kind.percent_of_work * load_percent(at)) / 10_000.0;
        // Exponential gaps make the arrivals independent of one another.
        let gap = -rng.random::<f64>().max(f64::MIN_POSITIVE).ln();
        at += work.mul_f64(gap / slots_wanted);
        if at >= ARRIVALS_UNTIL {
            return;
        }
        let entry = rng.random_range(0..entries);
        jobs.push(PlannedJob {
            at,
            at_half_load: at < HALF_LOAD_UNTIL,
            kind: *kind,
            key: format!("{}-{}", kind.kind, jobs.len()),
            entry,
            run_times,
            resubmission: draw_resubmission(entry, entries, rng),
        });
    }
}

fn draw_run_times(kind: &KindProfile, rng: &mut impl Rng) -> Vec<Duration> {
    let count = rng.random_range(1..=kind.most_tasks);
    (0..count)
        .map(|_| rng.random_range(kind.shortest..=kind.longest))
        .map(|run_time| Duration::from_millis(u64::try_from(run_time.as_millis()).unwrap_or(1)))
        .collect()
}

fn load_percent(at: Duration) -> u32 {
    if at < HALF_LOAD_UNTIL {
        HALF_LOAD_PERCENT
    } else if at < PEAK_UNTIL {
        PEAK_PERCENT
    } else {
        AFTER_PEAK_PERCENT
    }
}

fn draw_resubmission(first: u16, entries: u16, rng: &mut impl Rng) -> Option<Resubmission> {
    if rng.random_range(0..100) >= RESUBMITTED_PERCENT {
        return None;
    }
    Some(Resubmission {
        after: rng.random_range(Duration::ZERO..RESUBMITTED_WITHIN),
        entry: (first + 1) % entries,
    })
}
