//! Interface through which operators' requests change the platform's table.

use {
    crate::{Change, ChangeResult, HistoryEntry, TableError, TableFuture},
    chestnutrun_types::ContractId,
    std::fmt,
};

/// Access to the rows of the platform's table that operators change.
pub trait ConfigurationStore: fmt::Debug {
    /// Writes a change; a change of a contract is also added to the contract's
    /// history.
    fn change(&self, change: Change) -> TableFuture<ChangeResult>;

    /// Reads a contract's history, oldest change first.
    fn history(&self, contract: ContractId) -> TableFuture<Result<Vec<HistoryEntry>, TableError>>;
}
