//! Demand for the room of endpoints, as entries and agents tell it.

use serde::{Deserialize, Serialize};

/// Urgency of waiting work, the priority at endpoints; the smallest goes first.
pub type DemandClass = u32;

/// Work of one class that waits for room, and the rate at which such work is accepted.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClassDemand {
    /// Priority of the routes; 0 is the most urgent one.
    pub priority: u32,
    /// Expected work of the tasks that wait, in thousandths of a core-second.
    pub waiting_core_ms: u64,
    /// Rate at which work is accepted, in thousandths of a core.
    pub accepted_cpu_millis: u64,
    /// How many entries have waiting work.
    #[serde(default)]
    pub entries: u16,
}

impl ClassDemand {
    /// Returns the class of the work.
    #[must_use]
    pub fn class(&self) -> DemandClass {
        self.priority
    }

    /// Returns the sum of two demands of the same class.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            waiting_core_ms: self.waiting_core_ms.saturating_add(other.waiting_core_ms),
            accepted_cpu_millis: self
                .accepted_cpu_millis
                .saturating_add(other.accepted_cpu_millis),
            entries: self.entries.saturating_add(other.entries),
            ..self
        }
    }
}
