//! Requests of entries to an owner.

use chestnutrun_types::{BodyDigest, EntryId, JobRef, Submit};

/// A request of an entry.
#[derive(Clone, Debug)]
pub enum Request {
    /// Run a job.
    Submit(Submit),
    /// Return the answer of a job.
    Query(JobRef),
    /// Cancel the tasks of a job that have not started.
    Cancel(JobRef),
}

impl Request {
    /// Returns the job that the request concerns.
    #[must_use]
    pub fn job(&self) -> &JobRef {
        match self {
            Self::Submit(submit) => &submit.job,
            Self::Query(job) | Self::Cancel(job) => job,
        }
    }

    /// Returns the digest of a submission's body; none for other requests.
    #[must_use]
    pub fn digest(&self) -> Option<BodyDigest> {
        match self {
            Self::Submit(submit) => Some(submit.digest),
            Self::Query(_) | Self::Cancel(_) => None,
        }
    }
}

/// A request that waits until it can be decided.
#[derive(Clone, Debug)]
pub struct HeldRequest {
    /// The entry that sent the request.
    pub from: EntryId,
    /// The request itself.
    pub request: Request,
}
