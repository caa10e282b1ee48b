//! Operators' requests to the loop, and its replies.

use {crate::problem::Problem, chestnutrun_types::ContractId, serde_json::Value};

/// Request of an operator for a page.
#[derive(Clone, Debug)]
pub(crate) enum OperatorRequest {
    /// Readiness: the configuration was read and the entry is not stopping.
    Ready,
    /// All metrics, in Prometheus format.
    Metrics,
    /// Current state of the entry.
    Status,
    /// Recent events.
    Timeline,
    /// All contracts.
    Contracts,
    /// One contract.
    Contract(ContractId),
    /// All endpoints that the entry knows.
    Endpoints,
}

/// Reply of the loop to an operator's request.
#[derive(Clone, Debug)]
pub(crate) enum OperatorReply {
    /// HTTP status code and plain text.
    Text(u16, String),
    /// JSON body.
    Json(Value),
    /// Problem document.
    Problem(Problem),
}
