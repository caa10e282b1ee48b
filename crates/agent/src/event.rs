//! Events of the agent's loop.

use {chestnutrun_decisions::agent::RunOutcome, chestnutrun_types::TaskRef, tokio::sync::oneshot};

/// Event for the agent's loop; events of links have a queue of their own.
#[derive(Debug)]
pub(crate) enum Event {
    /// The run of a task at the endpoint ended.
    RunEnded(TaskRef, RunOutcome),
    /// An operator requests a page; the reply is an HTTP status code and a body.
    Page(Page, oneshot::Sender<(u16, String)>),
}

/// Page that operators can request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Page {
    /// Liveness: the loop answers.
    Live,
    /// Readiness: an entry is linked and the agent is not stopping.
    Ready,
    /// All metrics, in Prometheus format.
    Metrics,
    /// Current state, in JSON.
    Status,
    /// Recent events, in JSON.
    Timeline,
}
