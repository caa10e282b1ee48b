//! Events that reach an agent's loop.

use {
    chestnutrun_decisions::guard::{Announcement, GuardInput},
    chestnutrun_types::EndpointId,
    tokio::sync::oneshot,
};

/// Events that the platform's handlers and the endpoint's answers send to an
/// agent's loop.
#[derive(Debug)]
pub enum AgentEvent {
    /// The endpoint announced itself.
    Announced(Announcement),
    /// The endpoint reported that it ended.
    Ended(EndpointId),
    /// An order to the endpoint was answered, or its answer did not arrive in time.
    Answered(GuardInput),
    /// Reply with the metrics in text format.
    Metrics(oneshot::Sender<String>),
}
