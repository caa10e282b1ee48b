//! Stand-ins for the systems around the dispatcher: the table and endpoints.

pub mod endpoint;
mod start_log;
pub mod table;
mod table_state;

pub use {
    endpoint::{EndpointFault, RunInput},
    start_log::{StartLog, StartRecord},
    table::TableFault,
    table_state::TableState,
};
