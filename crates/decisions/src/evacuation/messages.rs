//! Settings, inputs and actions of the machine that keeps the evacuated zones.

use {
    crate::evacuation::ZoneGate,
    chestnutrun_types::{DecisionEvent, EvacuatedZones, ZoneChange},
    std::time::Instant,
};

/// Number of an open link, unique within the process.
pub type PeerLink = u64;

/// Settings of an [`EvacuationMachine`](crate::evacuation::EvacuationMachine).
#[derive(Clone, Copy, Debug, Default)]
pub struct EvacuationConf {
    /// Until when no task may start while the evacuated zones are not known; none for an
    /// entry, which starts no tasks.
    pub hold_until: Option<Instant>,
}

/// An input of the machine.
#[derive(Clone, Debug, PartialEq)]
pub enum EvacuationInput {
    /// All evacuated zones were read from the directory.
    Read(EvacuatedZones),
    /// The directory's feed reported changes.
    Changed(Vec<ZoneChange>),
    /// A link opened.
    LinkOpened(PeerLink),
    /// A link closed.
    LinkClosed(PeerLink),
    /// A peer sent the evacuated zones that it knows.
    Received(PeerLink, EvacuatedZones),
    /// Time passed.
    Tick,
}

/// An action that the machine asks its caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum EvacuationAction {
    /// Send the evacuated zones on a link.
    Send(PeerLink, EvacuatedZones),
    /// Apply the gate to placements and starts.
    Apply(ZoneGate),
    /// Read the directory.
    ReadDirectory,
    /// Write a decision to the log.
    Record(DecisionEvent),
}
