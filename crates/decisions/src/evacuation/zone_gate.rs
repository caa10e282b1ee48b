//! Tells in which availability zones tasks may start.

use {chestnutrun_types::ZoneId, indexmap::IndexSet, std::rc::Rc};

/// In which availability zones tasks may start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ZoneGate {
    /// The evacuated zones are not known yet, so that nothing starts.
    Unknown,
    /// Tasks start everywhere but in these zones.
    Except(Rc<IndexSet<ZoneId>>),
}

impl Default for ZoneGate {
    fn default() -> Self {
        Self::Except(Rc::default())
    }
}

impl ZoneGate {
    /// Returns why no task may start in a zone, as the log and the metrics name it; none
    /// if tasks may start.
    #[must_use]
    pub fn obstacle(&self, zone: &ZoneId) -> Option<&'static str> {
        match self {
            Self::Unknown => Some("zones-unknown"),
            Self::Except(zones) if zones.contains(zone) => Some("zone-evacuated"),
            Self::Except(_) => None,
        }
    }
}
