//! Evacuated availability zones: which state is valid, who is told of it, and where tasks
//! may start.

mod evacuation_machine;
mod messages;
mod zone_gate;

pub use {
    evacuation_machine::EvacuationMachine,
    messages::{EvacuationAction, EvacuationConf, EvacuationInput, PeerLink},
    zone_gate::ZoneGate,
};
