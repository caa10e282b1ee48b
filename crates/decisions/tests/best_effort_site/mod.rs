//! Entries, agents and endpoints of best-effort jobs on a handed-in clock.

mod endpoint;
mod events;
mod judge;
mod orders;
mod site;
mod troubles;

pub use site::Site;

/// Time of a run, in milliseconds.
pub type Millis = u64;
