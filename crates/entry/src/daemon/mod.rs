//! The entry's loop: passes events to its decision machines and executes the actions
//! that they return.

mod callers_side;
mod entry_daemon;
mod links_side;
mod observation;
mod operators_side;
mod shards_side;
mod start;
mod table_side;

pub use {entry_daemon::EntryDaemon, start::run};
