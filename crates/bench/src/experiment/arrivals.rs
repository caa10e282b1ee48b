//! Generates the arrivals of jobs from a seed.

use {
    crate::experiment::{BurstConf, ContractConf, ExperimentConf, MixConf, Variant},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::time::Duration,
};

/// A task of an arriving job.
#[derive(Clone, Debug, PartialEq)]
pub struct ArrivingTask {
    /// Index into the mix of the contract.
    pub mix_index: usize,
    /// Time for which the task occupies a slot.
    pub run_time: Duration,
    /// Run time that the caller declares; may differ from `run_time`.
    pub declared: Duration,
}

/// An arriving job.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Time since the start of the run.
    pub at: Duration,
    /// Index of the contract in the experiment.
    pub contract: usize,
    /// Whether the job arrives only because of a burst.
    pub is_burst: bool,
    /// Tasks of the job, in order.
    pub tasks: Vec<ArrivingTask>,
}

/// Generates all arrivals of a run in the order of their times.
///
/// Each contract has its own random generator, so its arrivals do not depend on
/// the other contracts.
#[must_use]
pub fn generate_arrivals(conf: &ExperimentConf, seed: u64) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (number, contract) in conf.contracts.iter().enumerate() {
        let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(1_000) + number as u64);
        all.extend(contract_arrivals(conf, number, contract, &mut rng));
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

/// Returns the arrivals that belong to `variant`.
#[must_use]
pub fn select_arrivals(conf: &ExperimentConf, all: &[Arrival], variant: &Variant) -> Vec<Arrival> {
    let mut selected = all.to_vec();
    match variant {
        Variant::Full => {}
        Variant::WithoutBursts => selected.retain(|arrival| !arrival.is_burst),
        Variant::Alone(name) => {
            for arrival in &mut selected {
                let mix = &conf.contracts[arrival.contract].mix;
                arrival
                    .tasks
                    .retain(|task| mix[task.mix_index].name == *name);
            }
            selected.retain(|arrival| !arrival.tasks.is_empty());
        }
    }
    selected
}

fn contract_arrivals(
    conf: &ExperimentConf,
    number: usize,
    contract: &ContractConf,
    rng: &mut StdRng,
) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    let base_rate = base_job_rate(conf, contract);
    let peak_factor = contract.bursts.iter().map(|burst| burst.factor);
    let peak_factor = peak_factor.fold(1.0, f64::max);
    let mut at = Duration::ZERO;
    loop {
        // Thinning: draw candidates at the highest rate and keep each with a
        // probability in proportion to the current rate.
        let uniform: f64 = rng.random();
        at += Duration::from_secs_f64(-(1.0 - uniform).ln() / (base_rate * peak_factor));
        if at >= conf.length {
            return arrivals;
        }
        let level: f64 = rng.random::<f64>() * peak_factor;
        let tasks = (0..contract.tasks_per_job)
            .map(|_| draw_task(contract, rng))
            .collect();
        if level < demand_factor(contract, at) {
            arrivals.push(Arrival {
                at,
                contract: number,
                is_burst: level >= 1.0,
                tasks,
            });
        }
    }
}

/// Returns the jobs per second that give the contract's load without bursts.
fn base_job_rate(conf: &ExperimentConf, contract: &ContractConf) -> f64 {
    let total_share: f64 = contract.mix.iter().map(|class| class.share).sum();
    let work: f64 = contract
        .mix
        .iter()
        .map(|class| class.share / total_share * class.mean().as_secs_f64())
        .sum();
    let slots = contract.load * f64::from(conf.site.all_slots());
    slots / (work * f64::from(contract.tasks_per_job))
}

/// Returns the demand at time `at` as a multiple of the base rate.
fn demand_factor(contract: &ContractConf, at: Duration) -> f64 {
    let burst_factor = |burst: &BurstConf| {
        let elapsed = at.checked_sub(burst.at)?;
        let risen = elapsed.as_secs_f64() / burst.rise.as_secs_f64().max(f64::EPSILON);
        let factor = 1.0 + (burst.factor - 1.0) * risen.min(1.0);
        (elapsed < burst.length).then_some(factor)
    };
    contract
        .bursts
        .iter()
        .filter_map(burst_factor)
        .fold(1.0, f64::max)
}

fn draw_task(contract: &ContractConf, rng: &mut StdRng) -> ArrivingTask {
    let total_share: f64 = contract.mix.iter().map(|class| class.share).sum();
    let mut remaining = rng.random::<f64>() * total_share;
    let mut chosen = 0;
    for (number, class) in contract.mix.iter().enumerate() {
        chosen = number;
        remaining -= class.share;
        if remaining < 0.0 {
            break;
        }
    }
    let run_time = draw_run_time(&contract.mix[chosen], rng);
    let max_log_error = contract.declared_wrong_by.max(1.0).ln();
    let factor = ((rng.random::<f64>() * 2.0 - 1.0) * max_log_error).exp();
    ArrivingTask {
        mix_index: chosen,
        run_time,
        declared: run_time.mul_f64(factor),
    }
}

fn draw_run_time(class: &MixConf, rng: &mut StdRng) -> Duration {
    let range = class.longest.saturating_sub(class.shortest);
    class.shortest + range.mul_f64(rng.random())
}
