//! The measurements of a run.

use {
    crate::experiment::ExperimentConf, hdrhistogram::Histogram, indexmap::IndexMap,
    serde::Serialize, std::time::Duration,
};

/// Significant decimal digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Time after a burst until response times must be normal again.
const RECOVERY: Duration = Duration::from_secs(1);

/// Length of [`Window::After`], which begins when the recovery time has passed.
const AFTER: Duration = Duration::from_secs(5);

/// Part of a run, by the arrival time of the job.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Window {
    /// The whole run after the warm-up.
    All,
    /// During a burst.
    Burst,
    /// The 5 s that begin one second after a burst.
    After,
}

/// Response times of one group of tasks.
#[derive(Clone, Debug)]
pub struct ResponseTimes {
    /// Response times, in microseconds.
    pub response: Histogram<u64>,
    /// Response time divided by run time, in thousandths.
    pub ratio: Histogram<u64>,
    /// Response time minus run time, in microseconds.
    pub overhead: Histogram<u64>,
}

impl ResponseTimes {
    fn new() -> Self {
        let new = || Histogram::new(SIGNIFICANT_DIGITS).expect("the digits are in range");
        Self {
            response: new(),
            ratio: new(),
            overhead: new(),
        }
    }

    fn record(&mut self, response: Duration, run_time: Duration) {
        let ratio = response.as_secs_f64() / run_time.as_secs_f64().max(1e-6);
        let overhead = response.saturating_sub(run_time);
        record(&mut self.response, response);
        record(&mut self.ratio, Duration::from_secs_f64(ratio / 1_000.0));
        record(&mut self.overhead, overhead);
    }
}

/// Key of a group of tasks: contract, name of the class in the mix, window.
pub type GroupKey = (String, String, Window);

/// The measurements of one run, or of several runs merged.
#[derive(Clone, Debug, Default)]
pub struct Measures {
    /// Response times by group.
    pub groups: IndexMap<GroupKey, ResponseTimes>,
    /// Tasks that did not complete, by outcome.
    pub failures: IndexMap<String, u64>,
    /// Busy slot-seconds between the end of the warm-up and the end of the arrivals.
    pub busy: f64,
    /// Available slot-seconds in the same period.
    pub slots: f64,
    /// Busy slot-seconds while at least one task waited.
    pub busy_waiting: f64,
    /// Available slot-seconds while at least one task waited.
    pub slots_waiting: f64,
    /// Most tasks that waited at once.
    pub most_waiting: u64,
    /// Busy slot-seconds in each second of the run, by contract.
    pub used: Vec<Vec<f64>>,
    /// Messages between processes; zero for a run of the decision code alone.
    pub messages: u64,
    /// Tasks that were submitted.
    pub tasks: u64,
    /// Tasks that failed at an endpoint that fails everything.
    pub failed_by_broken: u64,
}

impl Measures {
    /// Records a completed task in every window that contains `at`.
    pub fn record_completion(
        &mut self,
        conf: &ExperimentConf,
        contract: usize,
        mix_index: usize,
        at: Duration,
        response: Duration,
        run_time: Duration,
    ) {
        let contract = &conf.contracts[contract];
        for window in windows(conf, at) {
            let key = (
                contract.name.clone(),
                contract.mix[mix_index].name.clone(),
                window,
            );
            self.groups
                .entry(key)
                .or_insert_with(ResponseTimes::new)
                .record(response, run_time);
        }
    }

    /// Counts a task that did not complete, under its outcome.
    pub fn record_failure(&mut self, outcome: impl Into<String>) {
        *self.failures.entry(outcome.into()).or_default() += 1;
    }

    /// Adds the measurements of another run; `used` stays that of the first run.
    pub fn merge(&mut self, other: &Self) {
        for (key, responses) in &other.groups {
            let merged = self
                .groups
                .entry(key.clone())
                .or_insert_with(ResponseTimes::new);
            merged.response += &responses.response;
            merged.ratio += &responses.ratio;
            merged.overhead += &responses.overhead;
        }
        for (outcome, count) in &other.failures {
            *self.failures.entry(outcome.clone()).or_default() += count;
        }
        self.busy += other.busy;
        self.slots += other.slots;
        self.busy_waiting += other.busy_waiting;
        self.slots_waiting += other.slots_waiting;
        self.most_waiting = self.most_waiting.max(other.most_waiting);
        self.messages += other.messages;
        self.tasks += other.tasks;
        self.failed_by_broken += other.failed_by_broken;
        if self.used.is_empty() {
            self.used.clone_from(&other.used);
        }
    }

    /// Returns the fraction of available slot-seconds that was busy.
    #[must_use]
    pub fn busy_fraction(&self) -> f64 {
        self.busy / self.slots.max(f64::EPSILON)
    }

    /// Returns the busy fraction of the slot-seconds while at least one task waited.
    #[must_use]
    pub fn busy_waiting_fraction(&self) -> f64 {
        self.busy_waiting / self.slots_waiting.max(f64::EPSILON)
    }
}

/// Returns the windows that contain the time `at`.
fn windows(conf: &ExperimentConf, at: Duration) -> Vec<Window> {
    let mut windows = Vec::new();
    if at < conf.warm_up {
        return windows;
    }
    windows.push(Window::All);
    let bursts = || conf.contracts.iter().flat_map(|contract| &contract.bursts);
    if bursts().any(|burst| (burst.at..burst.at + burst.length).contains(&at)) {
        windows.push(Window::Burst);
    }
    let is_after = bursts().any(|burst| {
        let recovered_at = burst.at + burst.length + RECOVERY;
        (recovered_at..recovered_at + AFTER).contains(&at)
    });
    if is_after {
        windows.push(Window::After);
    }
    windows
}

fn record(histogram: &mut Histogram<u64>, duration: Duration) {
    let recorded = histogram.record(as_micros(duration));
    recorded.expect("the histogram grows as needed");
}

fn as_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
