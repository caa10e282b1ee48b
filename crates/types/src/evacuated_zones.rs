//! Availability zones whose endpoints get no new tasks, as operators ask for it.

use {
    crate::{Revision, ZoneId},
    indexmap::IndexSet,
    serde::{Deserialize, Serialize},
};

/// All evacuated zones at one revision of the directory.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvacuatedZones {
    /// Revision of the directory; of two states, the one with the higher revision is valid.
    pub revision: Revision,
    /// The zones; operators may name one in which nothing runs.
    pub zones: IndexSet<ZoneId>,
}

/// One change of the evacuated zones.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ZoneChange {
    /// The zone.
    pub zone: ZoneId,
    /// Revision of the directory at which the change was made.
    pub revision: Revision,
    /// Whether the evacuation was requested (true) or taken back (false).
    pub is_evacuated: bool,
}
