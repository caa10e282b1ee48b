//! Run times that are learned by contract and kind of task.

use {
    chestnutrun_types::{ContractId, KindId},
    indexmap::IndexMap,
    std::time::Duration,
};

/// How many of the newest run times of a kind an estimate uses.
const SAMPLES: usize = 15;

/// Most kinds whose run times are kept.
const MAX_KINDS: usize = 10_000;

/// Longest declared run time that an estimate uses: far longer than tasks run. Policies
/// add estimates up, and a caller may declare any length.
const MAX_DECLARED_RUN_TIME: Duration = Duration::from_hours(1);

/// A kind of task, within its contract.
type KindKey = (ContractId, KindId);

/// Estimates a run time as the median of the newest run times of its kind: a few
/// stragglers do not move a median.
#[derive(Debug, Default)]
pub struct RunTimes {
    kinds: IndexMap<KindKey, Samples>,
}

#[derive(Debug, Default)]
struct Samples {
    run_times: Vec<Duration>,
    oldest: usize,
    median: Duration,
}

impl RunTimes {
    /// Returns the estimate for a kind, or the declared run time if no task of the
    /// kind has run.
    #[must_use]
    pub fn estimate(
        &self,
        contract: &ContractId,
        kind: &KindId,
        declared_run_time: Duration,
    ) -> Duration {
        // Cloning two `Arc`s is cheaper than a borrowed key type.
        let key = (contract.clone(), kind.clone());
        let samples = self.kinds.get(&key);
        samples.map_or(declared_run_time.min(MAX_DECLARED_RUN_TIME), |samples| {
            samples.median
        })
    }

    /// Adds a run time; returns the estimates before (none at first) and after.
    pub fn learn(
        &mut self,
        contract: &ContractId,
        kind: &KindId,
        run_time: Duration,
    ) -> (Option<Duration>, Duration) {
        let key = (contract.clone(), kind.clone());
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(&key) {
            self.kinds.swap_remove_index(0);
        }
        let samples = self.kinds.entry(key).or_default();
        let before = (!samples.run_times.is_empty()).then_some(samples.median);
        samples.add(run_time);
        (before, samples.median)
    }
}

impl Samples {
    fn add(&mut self, run_time: Duration) {
        if self.run_times.len() < SAMPLES {
            self.run_times.push(run_time);
        } else {
            self.run_times[self.oldest] = run_time;
            self.oldest = (self.oldest + 1) % SAMPLES;
        }
        let mut sorted = [Duration::ZERO; SAMPLES];
        let sorted = &mut sorted[..self.run_times.len()];
        sorted.copy_from_slice(&self.run_times);
        sorted.sort_unstable();
        self.median = sorted[sorted.len() / 2];
    }
}
