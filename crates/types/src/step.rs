//! Steps of a best-effort job.

use {
    crate::{Label, Resources, StepIndex},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// One step of a job: a number of tasks that need the same resources.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub tasks: u16,
    /// Resources that each task needs.
    pub need: Resources,
    /// Run time of a task as the caller estimates it; often wrong.
    pub estimate: Duration,
    /// Steps that must be complete before this one starts.
    pub after: Vec<StepIndex>,
    /// Label that an endpoint must have to run a task of the step, if any.
    pub requires: Option<Label>,
    /// Label of the rack on which the tasks run fastest, if known.
    pub rack: Option<Label>,
    /// Most tasks of the step on one endpoint at a time; none without a limit.
    pub most_per_endpoint: Option<u16>,
}
