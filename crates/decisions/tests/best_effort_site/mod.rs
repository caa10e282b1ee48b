//! A simulated site for best-effort jobs: entries, agents and endpoints on one
//! simulated clock.

mod endpoint;
mod events;
mod faults;
mod judge;
mod orders;
mod site;

pub use site::Site;

/// Simulated time or duration, in milliseconds.
pub type Millis = u64;
