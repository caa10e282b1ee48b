//! Access to the platform's transactional table: the dispatcher's rows there, and
//! an HTTP client.

mod change;
mod configuration_store;
mod decoded_rows;
mod errors;
mod http_configuration;
mod http_table;
mod odd_rows;
mod rows;
mod table;
mod wire;

pub use {
    change::{Change, ChangeResult, CurrentRow, HistoryEntry},
    configuration_store::ConfigurationStore,
    errors::TableError,
    http_table::HttpTable,
    table::{Table, TableFuture},
    wire::{Condition, ConflictReply, RowReply, RowsReply, Transaction, TransactionReply, Write},
};
