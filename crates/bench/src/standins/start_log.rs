//! The log of starts that an endpoint keeps.
//!
//! Checks compare what entries report with this log, as it shows what really ran.

use {
    chestnutrun_types::TaskRef,
    serde::{Deserialize, Serialize},
    std::time::SystemTime,
};

/// The start of one task at an endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartRecord {
    /// The task that started.
    pub task: TaskRef,
    /// Time of the start.
    pub at: SystemTime,
}

/// Every start of one endpoint, the oldest first.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartLog {
    /// The starts, in their order.
    pub starts: Vec<StartRecord>,
    /// Largest number of tasks that ran at the same time.
    pub most_at_once: u32,
}
