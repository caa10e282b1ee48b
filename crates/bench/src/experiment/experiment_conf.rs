//! The settings of an experiment.

use {
    crate::experiment::PolicyKind,
    chestnutrun_types::Overflow,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// An experiment, as read from its YAML file.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ExperimentConf {
    /// Name of the experiment; the output files begin with it.
    pub name: String,
    /// Size of the site.
    pub site: SiteConf,
    /// Time during which jobs arrive.
    #[serde(with = "humantime_serde")]
    pub length: Duration,
    /// Time at the start of the run that is left out of the results.
    #[serde(with = "humantime_serde")]
    pub warm_up: Duration,
    /// Seeds of the arrivals, with one run for each.
    pub seeds: Vec<u64>,
    /// Policies to compare.
    pub policies: Vec<PolicyKind>,
    /// The contracts and their demand.
    pub contracts: Vec<ContractConf>,
    /// Faults that are injected.
    #[serde(default)]
    pub faults: Vec<FaultConf>,
    /// Variants of the arrivals to compare the full run with.
    #[serde(default)]
    pub against: Vec<Variant>,
}

/// Size of the site of an experiment.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SiteConf {
    /// Number of entries; a run of the decision code alone always has one.
    pub entries: u16,
    /// Number of endpoints.
    pub endpoints: u16,
    /// Number of slots of each endpoint.
    pub slots: u32,
}

impl SiteConf {
    /// Returns the total slots of all endpoints.
    #[must_use]
    pub fn all_slots(&self) -> u32 {
        self.slots * u32::from(self.endpoints)
    }
}

/// A contract and its demand.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ContractConf {
    /// Name of the contract.
    pub name: String,
    /// Most tasks that the contract may run at once without borrowing.
    pub in_flight_limit: u32,
    /// Most tasks of the contract that may wait.
    #[serde(default = "long_queue")]
    pub queue_limit: u32,
    /// Urgency relative to other contracts.
    #[serde(default)]
    pub urgency: u8,
    /// Weight of the share relative to other contracts.
    #[serde(default = "one")]
    pub weight: u32,
    /// What happens to tasks beyond the in-flight limit.
    pub overflow: Overflow,
    /// Demand of the contract without bursts, as a fraction of all slots.
    pub load: f64,
    /// Number of tasks in each job.
    #[serde(default = "one_task")]
    pub tasks_per_job: u16,
    /// Time between submission and deadline.
    #[serde(default = "four_minutes", with = "humantime_serde")]
    pub deadline_in: Duration,
    /// Largest factor between declared and true run time, in either direction.
    #[serde(default = "exact")]
    pub declared_wrong_by: f64,
    /// Kinds of tasks that the contract submits.
    pub mix: Vec<MixConf>,
    /// Periods of higher demand.
    #[serde(default)]
    pub bursts: Vec<BurstConf>,
    /// Times at which the contract cancels its jobs.
    #[serde(default)]
    pub cancels: Vec<CancelConf>,
}

/// A class of tasks in the mix of a contract.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MixConf {
    /// Name of the class in the report.
    pub name: String,
    /// Task kind to submit.
    pub kind: String,
    /// Share of the contract's tasks, relative to the other classes.
    #[serde(rename = "part")]
    pub share: f64,
    /// Shortest run time.
    #[serde(with = "humantime_serde")]
    pub shortest: Duration,
    /// Longest run time.
    #[serde(with = "humantime_serde")]
    pub longest: Duration,
}

impl MixConf {
    /// Returns the mean of the run times, which are distributed uniformly.
    #[must_use]
    pub fn mean(&self) -> Duration {
        (self.shortest + self.longest) / 2
    }
}

/// A period of higher demand.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BurstConf {
    /// Time of its start since the start of the run.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// Time over which demand rises to the full factor.
    #[serde(with = "humantime_serde")]
    pub rise: Duration,
    /// Duration of the burst, including the rise.
    #[serde(with = "humantime_serde")]
    pub length: Duration,
    /// Demand at the top, as a multiple of the contract's load.
    pub factor: f64,
}

/// A cancellation of all jobs of a contract that have arrived so far.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CancelConf {
    /// Time of the cancellation since the start of the run.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
}

/// A fault that is injected into a run.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FaultConf {
    /// Time of its start since the start of the run.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// Time of its end since the start of the run; without it, the fault lasts to
    /// the end.
    #[serde(default, with = "humantime_serde")]
    pub until: Option<Duration>,
    /// Kind of the fault.
    pub what: FaultKind,
    /// Number of the first affected endpoint.
    #[serde(default)]
    pub first: u16,
    /// Number of affected endpoints.
    pub endpoints: u16,
}

/// Kind of an injected fault.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The endpoints fail every task shortly after its start.
    FailsAll,
    /// The endpoints and their agents are lost.
    Lost,
}

/// Selects the arrivals that a run uses.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Variant {
    /// All arrivals.
    Full,
    /// Only the tasks of the class with this name.
    Alone(String),
    /// All arrivals except those that a burst adds.
    WithoutBursts,
}

fn long_queue() -> u32 {
    1_000_000
}

fn one() -> u32 {
    1
}

fn one_task() -> u16 {
    1
}

fn four_minutes() -> Duration {
    Duration::from_mins(4)
}

fn exact() -> f64 {
    1.0
}
