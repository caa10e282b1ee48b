//! The decisions of the dispatcher, as state machines without I/O.
//!
//! Each machine takes a clock reading and an input and returns actions. A
//! machine reads no clock, opens no socket and encodes no message; random
//! numbers come only from a generator that the caller passes in.

pub mod agent;
mod crashes;
mod demand;
pub mod front;
pub mod guard;
pub mod membership;
pub mod overlay;
pub mod owner;
pub mod placement;
pub mod policy;
pub mod timing;
