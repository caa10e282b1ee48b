//! Interface between the dispatcher and the platform's table.

use {
    crate::TableError,
    chestnutrun_types::{TableSnapshot, TableWrite, WriteResult},
    std::{fmt, future::Future, pin::Pin},
};

/// Future of a call to the table, which runs on the loop of the process.
pub type TableFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// Access to the dispatcher's rows in the platform's table.
pub trait Table: fmt::Debug {
    /// Reads all rows of the dispatcher.
    fn read(&self) -> TableFuture<Result<TableSnapshot, TableError>>;

    /// Writes a row if it has the expected revision. A repetition with the same
    /// `operation` id has no further effect.
    fn write(&self, write: TableWrite, operation: String) -> TableFuture<WriteResult>;
}
