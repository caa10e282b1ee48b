//! The border between operators' requests and the platform's table.

use {
    crate::{Answer, Change, ChangeResult, HistoryEntry, TableError},
    chestnutrun_types::ContractId,
    std::fmt,
};

/// The part of the platform's table that operators change.
pub trait ConfigurationStore: fmt::Debug {
    /// Writes a change and, for a contract, its history.
    fn change(&self, change: Change) -> Answer<ChangeResult>;

    /// Reads a contract's history, the latest change last.
    fn history(&self, contract: ContractId) -> Answer<Result<Vec<HistoryEntry>, TableError>>;
}
