//! A site under a chosen load: entries, agents and endpoints without faults, on a
//! handed-in clock.

mod endpoint;
mod ideal;
mod load;
mod site;

pub use {
    load::{Kind, Load, Served},
    site::Site,
};

/// A time or a length of time, in microseconds.
pub type Micros = u64;

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000 * MS;
