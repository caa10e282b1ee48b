//! Stand-ins for the systems around the dispatcher, a launcher that starts whole
//! sites on loopback, and tools that measure them.
//!
//! The crate is for tests and measurements; the shipped programs do not link it.

pub mod crowd;
pub mod demo;
pub mod experiment;
pub mod observation;
pub mod scenario;
pub mod site;
pub mod slopes;
pub mod standins;
