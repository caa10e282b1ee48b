//! Errors of scenarios.

use {crate::site::SiteError, chestnutrun_types::ContractError, thiserror::Error};

/// Why a scenario failed.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The scenario file is not valid.
    #[error("invalid scenario: {0}")]
    File(String),
    /// The site did not start or did not answer a request.
    #[error(transparent)]
    Site(#[from] SiteError),
    /// A contract of the scenario is not valid.
    #[error(transparent)]
    Contract(#[from] ContractError),
    /// A process, submission or call that the scenario needs was not found.
    #[error("not found: {0}")]
    Unknown(String),
    /// A condition did not hold in time, or an answer was not received in time.
    #[error("{0}: time limit exceeded")]
    TooLate(String),
    /// A result differs from what the scenario or a check expects.
    #[error("{0}")]
    Unexpected(String),
}
