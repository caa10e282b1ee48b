//! Tasks as callers submit them.

use {
    crate::{ContractId, IdempotencyKey, JobRef, KindId, TaskIndex},
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
};

/// One task of a submission.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TaskSpec {
    /// Kind of work; run times are learned for each kind.
    pub kind: KindId,
    /// Run time as the caller estimates it; often wrong.
    pub declared_run_time: Duration,
    /// Input for the endpoint, passed on unchanged.
    pub input: String,
    /// Whether the task may run a second time without harm.
    pub idempotent: bool,
}

/// Identifies one task by its job and its position there.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskRef {
    /// Contract under which the job was submitted.
    pub contract: ContractId,
    /// Idempotency key of the job.
    pub key: IdempotencyKey,
    /// Position of the task in the job, from 0.
    pub index: TaskIndex,
}

impl TaskRef {
    /// Returns the job that the task belongs to.
    #[must_use]
    pub fn job(&self) -> JobRef {
        JobRef {
            contract: self.contract.clone(),
            key: self.key.clone(),
        }
    }
}

impl fmt::Display for TaskRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}#{}", self.contract, self.key, self.index)
    }
}
