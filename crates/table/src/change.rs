//! Changes that operators make to the configuration.

use {
    chestnutrun_types::{Contract, DrainState, Revision, TableWrite},
    serde::{Deserialize, Serialize},
    std::time::SystemTime,
};

/// A change that an operator makes to the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The row to write and the revision that it must have.
    pub write: TableWrite,
    /// Id of the operation; a repetition with the same id has no further effect.
    pub operation: String,
    /// Name of the operator who requested the change.
    pub operator: String,
    /// When the change was requested.
    pub at: SystemTime,
}

/// The current row, returned if its revision is not the one that the change
/// expected.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CurrentRow {
    /// Revision of the row; 0 if the row does not exist.
    pub revision: Revision,
    /// The current contract; none if it does not exist or the change was of a
    /// drain state.
    pub contract: Option<Contract>,
    /// The current drain state; none if the endpoint has no row or the change was
    /// of a contract.
    pub drain: Option<DrainState>,
}

/// Result of a change.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeResult {
    /// The change was written, at this revision.
    Accepted(Revision),
    /// Nothing was written, since the row had another revision.
    Conflict(CurrentRow),
    /// The table did not answer, so the change may have taken effect or not.
    Unknown,
}

/// One change in a contract's history.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HistoryEntry {
    /// When the change was requested.
    #[serde(with = "humantime_serde")]
    pub at: SystemTime,
    /// Name of the operator who requested the change.
    pub operator: String,
    /// Id of the operation, as the operator sent it.
    pub operation: String,
    /// Revision of the contract before the change; 0 if the change created the
    /// contract.
    pub replaced: Revision,
    /// The contract after the change.
    pub contract: Contract,
}
