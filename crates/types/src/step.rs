//! Steps of a best-effort job.

use {
    crate::{Label, Room, StepIndex},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// One step of a job: tasks of the same size.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub tasks: u16,
    /// What each task needs.
    pub need: Room,
    /// Run time of a task that the caller expects; often wrong.
    pub estimate: Duration,
    /// Steps that must be complete before this one.
    pub after: Vec<StepIndex>,
    /// Label that the endpoint must have.
    pub requires: Option<Label>,
    /// Label of the rack where tasks run fastest.
    pub rack: Option<Label>,
    /// Most tasks of the step on one endpoint at a time.
    pub most_per_endpoint: Option<u16>,
}
