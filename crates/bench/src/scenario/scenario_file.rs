//! The file format of a scenario.

use {
    crate::scenario::{ScenarioError, Step},
    chestnutrun_types::Overflow,
    serde::Deserialize,
};

/// A site, the steps that act on it and the checks at the end.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// One sentence that says what the scenario shows.
    pub about: String,
    /// Size of the site.
    #[serde(default)]
    pub site: SiteSize,
    /// Contracts that are created before the first step.
    #[serde(default)]
    pub contracts: Vec<ContractPlan>,
    /// Steps, in the order in which they are carried out.
    pub steps: Vec<Step>,
    /// Checks at the end, in addition to those that hold for every scenario.
    #[serde(default)]
    pub closing: ClosingChecks,
}

/// Size of a scenario's site.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SiteSize {
    /// Number of entries.
    pub entries: u16,
    /// Number of endpoints, each with an agent.
    pub endpoints: u16,
    /// Number of slots of each endpoint.
    pub slots: u32,
    /// Whether links pass through relays that can cut or silence them.
    pub relayed: bool,
}

impl Default for SiteSize {
    fn default() -> Self {
        Self {
            entries: 3,
            endpoints: 2,
            slots: 8,
            relayed: false,
        }
    }
}

/// A contract of a scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ContractPlan {
    /// Id of the contract.
    pub id: String,
    /// Largest number of tasks that run at once.
    pub in_flight_limit: u32,
    /// Largest number of tasks that wait.
    pub queue_limit: u32,
    /// What happens to tasks beyond the contract's share.
    pub overflow: Overflow,
}

impl Default for ContractPlan {
    fn default() -> Self {
        Self {
            id: "letters".to_owned(),
            in_flight_limit: 88,
            queue_limit: 20_000,
            overflow: Overflow::Queue,
        }
    }
}

/// Checks at the end, in addition to those that hold for every scenario.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClosingChecks {
    /// Exact number of different tasks that started, at all endpoints together.
    pub starts: Option<usize>,
    /// Whether every submission must have completed.
    pub zero_failed: bool,
}

impl Scenario {
    /// Parses the text of a scenario file, which is YAML.
    ///
    /// # Errors
    /// Returns an error if the text is not a valid scenario.
    pub fn parse(text: &str) -> Result<Self, ScenarioError> {
        serde_saphyr::from_str(text).map_err(|e| ScenarioError::File(e.to_string()))
    }
}
