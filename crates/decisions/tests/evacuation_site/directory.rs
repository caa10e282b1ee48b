//! The directory: the operator's requests with their history.

use {
    chestnutrun_decisions::evacuation::EvacuationInput,
    chestnutrun_types::{EvacuatedZones, ZoneChange, ZoneId},
};

/// The operator's requests, and when each zone last changed.
#[derive(Debug, Default)]
pub struct Directory {
    pub state: EvacuatedZones,
    history: Vec<ZoneChange>,
    kept_after: u64,
    changed_at: Vec<(u64, ZoneId)>,
}

impl Directory {
    /// Requests the evacuation of a zone, or takes the request back.
    pub fn toggle(&mut self, at: u64, zone: &ZoneId) {
        // Rows of other tables raise the revision too.
        self.state.revision += 3;
        let is_evacuated = self.state.zones.insert(zone.clone());
        if !is_evacuated {
            self.state.zones.shift_remove(zone);
        }
        self.changed_at.push((at, zone.clone()));
        self.history.push(ZoneChange {
            zone: zone.clone(),
            revision: self.state.revision,
            is_evacuated,
        });
    }

    pub fn drop_history(&mut self) {
        self.state.revision += 1;
        self.kept_after = self.state.revision;
        self.history.clear();
    }

    /// Returns whether a zone was the same from `since` on.
    pub fn is_steady(&self, since: u64, zone: &ZoneId) -> bool {
        let mut changes = self.changed_at.iter();
        !changes.any(|(at, changed)| *at >= since && changed == zone)
    }

    /// Returns what a reader at `position` gets next, and its new position; none if nothing
    /// changed.
    pub fn next(&self, position: Option<u64>) -> (Option<EvacuationInput>, Option<u64>) {
        match position {
            Some(after) if after >= self.kept_after => {
                let changes = self.history.iter().filter(|c| c.revision > after);
                let changes: Vec<ZoneChange> = changes.cloned().collect();
                let position = changes.last().map_or(after, |change| change.revision);
                let input = (!changes.is_empty()).then_some(EvacuationInput::Changed(changes));
                (input, Some(position))
            }
            _ => {
                let read = EvacuationInput::Read(self.state.clone());
                (Some(read), Some(self.state.revision))
            }
        }
    }
}
