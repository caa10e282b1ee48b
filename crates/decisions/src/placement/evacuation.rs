//! Keeps tasks away from endpoints in evacuated availability zones.

use {
    crate::{
        evacuation::ZoneGate,
        placement::{Dispatcher, RefusalReason, candidates::can_ever_fit, held_job::HeldJob},
    },
    chestnutrun_types::{AgentId, EndpointInfo},
    std::time::Instant,
};

impl Dispatcher {
    /// Applies a change of the evacuated zones. Tasks that agents have go on, or come back
    /// from there; waiting jobs that only evacuated zones could serve are refused at once.
    pub(super) fn change_gate(&mut self, now: Instant, gate: ZoneGate) {
        self.gate = gate;
        let agents: Vec<AgentId> = self.views.keys().cloned().collect();
        for agent in agents {
            self.update_gate(&agent);
        }
        self.refuse_unservable(now);
    }

    /// Records whether the endpoint of an agent is in an evacuated zone.
    pub(super) fn update_gate(&mut self, agent: &AgentId) {
        let Some(view) = self.views.get_mut(agent) else {
            return;
        };
        let obstacle = view
            .info
            .as_ref()
            .and_then(|info| self.gate.obstacle(&info.zone));
        if view.is_evacuated && obstacle.is_none() {
            self.changes.agents.insert(agent.clone());
        }
        view.is_evacuated = obstacle.is_some();
    }

    /// Returns why no endpoint can ever hold a job; none if one can.
    pub(super) fn misfit(&self, job: &HeldJob) -> Option<RefusalReason> {
        let known = self.views.values().filter_map(|view| view.info.as_ref());
        let known = known.chain(self.known_endpoints.may_return());
        if !can_ever_fit(&known, job) {
            return Some(RefusalReason::NeverFits);
        }
        let is_in_use = |info: &&EndpointInfo| self.gate.obstacle(&info.zone).is_none();
        let in_use = known.filter(is_in_use);
        (!can_ever_fit(&in_use, job)).then_some(RefusalReason::Evacuated)
    }
}
