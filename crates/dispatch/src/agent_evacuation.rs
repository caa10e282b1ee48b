//! The evacuated zones at an agent.

use {
    crate::{AgentLoop, recorder::evacuation_gauges},
    chestnutrun_decisions::{
        evacuation::{EvacuationAction, EvacuationInput, ZoneGate},
        guard::GuardInput,
    },
    chestnutrun_protocol::Message,
    chestnutrun_types::{MemberList, Now},
};

impl AgentLoop {
    pub(crate) fn handle_evacuation(&mut self, input: EvacuationInput) {
        for action in self.evacuation.handle(Now::read(), input) {
            match action {
                EvacuationAction::Send(link, zones) => {
                    self.send(link, Message::Members(MemberList::with_evacuated(zones)));
                }
                EvacuationAction::Apply(gate) => self.apply_gate(gate),
                EvacuationAction::ReadDirectory => {
                    self.directory.read_routing(self.directory_tx.clone());
                }
                EvacuationAction::Record(event) => self.recorder.record(Now::read(), event),
            }
        }
    }

    fn apply_gate(&mut self, gate: ZoneGate) {
        if self.evacuation.state().is_none() {
            log::warn!(
                "starting tasks although the evacuated zones are not known: neither a peer \
                 nor the directory told them"
            );
        }
        self.handle_input(GuardInput::ZonesChanged(gate));
    }

    /// Returns the metrics on the evacuated zones.
    pub(crate) fn evacuation_gauges(&self) -> [(&'static str, u64); 3] {
        evacuation_gauges(&self.evacuation, Now::read())
    }
}
