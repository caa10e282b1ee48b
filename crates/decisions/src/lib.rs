//! Every decision of the dispatcher, as state machines.
//!
//! Each machine takes a clock reading and an input and returns actions. It
//! reads no clock, opens no socket, encodes no message and draws no random
//! number that it was not handed.

pub mod agent;
pub mod front;
pub mod guard;
pub mod membership;
pub mod owner;
pub mod placement;
pub mod policy;
pub mod timing;
