//! The evacuated zones at an entry.

use {
    crate::{EntryLoop, recorder::evacuation_gauges},
    chestnutrun_decisions::{
        evacuation::{EvacuationAction, EvacuationInput},
        placement::DispatchInput,
    },
    chestnutrun_protocol::Message,
    chestnutrun_types::{MemberList, Now},
};

impl EntryLoop {
    pub(crate) fn handle_evacuation(&mut self, input: EvacuationInput) {
        for action in self.evacuation.handle(Now::read(), input) {
            match action {
                EvacuationAction::Send(link, zones) => {
                    let message = Message::Members(MemberList::with_evacuated(zones));
                    // A closed link reports `LinkEvent::Down`, which removes it.
                    self.peers.send(link, message);
                }
                EvacuationAction::Apply(gate) => {
                    self.handle_input(DispatchInput::ZonesChanged(gate));
                }
                // The directory's feed brings the zones to an entry, or an agent does that
                // reads the directory for it.
                EvacuationAction::ReadDirectory => {}
                EvacuationAction::Record(event) => self.recorder.record(Now::read(), event),
            }
        }
    }

    /// Returns the metrics on the evacuated zones.
    pub(crate) fn evacuation_gauges(&self) -> [(&'static str, u64); 3] {
        evacuation_gauges(&self.evacuation, Now::read())
    }
}
