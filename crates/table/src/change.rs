//! Changes of the configuration by operators.

use {
    chestnutrun_types::{Contract, DrainState, Revision, TableWrite},
    serde::{Deserialize, Serialize},
    std::time::SystemTime,
};

/// A change of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The row to write and the revision that it must have.
    pub write: TableWrite,
    /// Id of the operation; one that took effect is not repeated.
    pub operation: String,
    /// Who asked for it.
    pub operator: String,
    /// When it was asked for.
    pub at: SystemTime,
}

/// What the table holds in place of what a change expected.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Present {
    /// Revision of the row; 0 where it does not exist.
    pub revision: Revision,
    /// The contract, where the change was of one that exists.
    pub contract: Option<Contract>,
    /// The state, where the change was of an endpoint with a row.
    pub drain: Option<DrainState>,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeResult {
    /// It is written, at this revision.
    Accepted(Revision),
    /// The row had another revision; nothing was written.
    Conflict(Present),
    /// Nobody knows: no answer came.
    Unknown,
}

/// One change in a contract's history.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HistoryEntry {
    /// When it was asked for.
    #[serde(with = "humantime_serde")]
    pub at: SystemTime,
    /// Who asked for it.
    pub operator: String,
    /// Id of the operation.
    pub operation: String,
    /// Revision that it replaced; 0 where it created the contract.
    pub replaced: Revision,
    /// The contract from then on.
    pub contract: Contract,
}
