//! Refusals of submissions of which nothing has run.

use {
    serde::{Deserialize, Serialize},
    std::time::SystemTime,
};

/// Why a job or task was refused before it started.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The contract does not exist.
    UnknownContract,
    /// The contract is at its limit and does not queue.
    OverLimit,
    /// The contract's queue is full.
    QueueFull,
    /// The deadline leaves no time to run.
    DeadlineTooNear,
    /// The key was used before with another body.
    KeyReused,
    /// No entry owns the job's shard at the moment.
    NoOwner,
    /// The new owner of the shard still waits until an earlier ownership has
    /// ended.
    TakingOver,
    /// No endpoint can ever run this job.
    NeverRunnable,
    /// The process is stopping.
    Stopping,
    /// Endpoints refused the task more often than the retry budget allows.
    RetriesExhausted,
}

/// States that a submission was refused and nothing of it ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Why the submission was refused.
    pub reason: RefusalReason,
    /// Earliest moment at which the caller should retry; none where unknown.
    pub retry_at: Option<SystemTime>,
}
