//! Best-effort jobs that callers cancelled, as entries tell one another.

use {
    crate::JobId,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// A best-effort job that a caller cancelled a short time ago.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CancelledJob {
    /// The job.
    pub job: JobId,
    /// For how long the sender still remembers it, so that no entry keeps it longer.
    pub remembered_for: Duration,
}
