//! Keeps tasks from starting while the endpoint's availability zone is evacuated. Tasks that
//! run go on to their end.

use {
    crate::{evacuation::ZoneGate, guard::GuardMachine},
    std::time::Instant,
};

impl GuardMachine {
    /// Returns why no task may start in the endpoint's zone; none if tasks may start, or
    /// without an endpoint.
    pub(super) fn obstacle(&self) -> Option<&'static str> {
        let endpoint = self.endpoint.as_ref()?;
        self.gate.obstacle(&endpoint.info.zone)
    }

    pub(super) fn change_gate(&mut self, gate: ZoneGate) {
        let before = self.obstacle();
        self.gate = gate;
        let after = self.obstacle();
        if before == after {
            return;
        }
        if let Some(info) = self.endpoint.as_ref().map(|endpoint| endpoint.info.clone()) {
            self.record_endpoint_event(&info, after.unwrap_or("zone-in-use"));
        }
        self.mark_stale();
    }

    /// Returns the waiting tasks to their entries at once if none of them may start in the
    /// endpoint's zone. One may wait again after the endpoint refused its start.
    pub(super) fn return_evacuated(&mut self, now: Instant) {
        let Some(reason) = self.obstacle() else {
            return;
        };
        for key in self.runs.waiting() {
            self.record_refused_start(&key, reason);
            self.finish_waiting(now, &key);
        }
    }
}
