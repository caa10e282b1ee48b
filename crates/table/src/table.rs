//! The border between the dispatcher and the platform's table.

use {
    crate::TableError,
    chestnutrun_types::{TableSnapshot, TableWrite, WriteResult},
    std::{fmt, future::Future, pin::Pin},
};

/// An answer that comes later, on the same loop.
pub type Answer<T> = Pin<Box<dyn Future<Output = T>>>;

/// The platform's table.
pub trait Table: fmt::Debug {
    /// Reads every row of the dispatcher.
    fn read(&self) -> Answer<Result<TableSnapshot, TableError>>;

    /// Writes a row on a condition; `operation` makes a repetition harmless.
    fn write(&self, write: TableWrite, operation: String) -> Answer<WriteResult>;
}
