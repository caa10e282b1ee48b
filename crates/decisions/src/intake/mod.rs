//! Who gets memory and connections of a process that serves clients it does not control.
//!
//! The load that this answers: many connections at once, each of which holds bytes of a
//! request that does not end, or a response that nobody reads. Knows connections, bytes
//! and stages; nothing of the encoding.

mod handshakes;
mod intake_limits;
mod intake_machine;

pub use {
    handshakes::Handshakes,
    intake_limits::{CONNECTION_BYTES, IntakeLimits, SHORT_BODY_BYTES, TLS_BYTES, most_handshakes},
    intake_machine::{Admission, ConnectionId, Intake, IntakeAction},
};
