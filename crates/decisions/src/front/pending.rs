//! Pending requests of callers, by job and body.

use {
    crate::front::{Request, WaiterId},
    chestnutrun_types::{BodyDigest, Epoch, JobRef, Submit},
    indexmap::IndexMap,
};

/// Identifies the pending requests that share one reply.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct PendingKey {
    /// The job.
    pub job: JobRef,
    /// Digest of the submission; none for queries and cancellations.
    pub digest: Option<BodyDigest>,
}

impl PendingKey {
    /// Returns the key under which a request waits.
    #[must_use]
    pub fn of(request: &Request) -> Self {
        match request {
            Request::Submit(submit) => Self {
                job: submit.job.clone(),
                digest: Some(submit.digest),
            },
            Request::Query(job) | Request::Status(job) | Request::Cancel(job) => Self {
                job: job.clone(),
                digest: None,
            },
        }
    }
}

/// Kind of reply for which a caller waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplyKind {
    /// The answer of a job that the caller submitted.
    Answer,
    /// The receipt: whether the job is accepted.
    Receipt,
    /// The answer of a job that the caller names without its submission.
    QueriedAnswer,
    /// The answer after a cancellation.
    Cancellation,
}

impl ReplyKind {
    /// Returns the kind of reply that a request asks for.
    #[must_use]
    pub fn of(request: &Request) -> Self {
        match request {
            Request::Submit(submit) if submit.wants_receipt => Self::Receipt,
            Request::Submit(_) => Self::Answer,
            Request::Status(_) => Self::Receipt,
            Request::Query(_) => Self::QueriedAnswer,
            Request::Cancel(_) => Self::Cancellation,
        }
    }
}

/// Pending requests of one key, and the callers that wait for their reply.
#[derive(Debug, Default)]
pub struct Pending {
    /// The submission, kept until the owner's final reply; none for other requests.
    pub submit: Option<Submit>,
    /// The waiting callers, with the kind of reply that each waits for.
    pub waiters: IndexMap<WaiterId, ReplyKind>,
    /// Epoch of the ownership to which the request was last sent; none if it was
    /// never sent.
    pub sent_epoch: Option<Epoch>,
}

impl Pending {
    /// Returns the requests that must be sent to a new owner.
    #[must_use]
    pub fn requests(&self, job: &JobRef) -> Vec<Request> {
        if let Some(submit) = &self.submit {
            return vec![Request::Submit(submit.clone())];
        }
        let mut requests = vec![Request::Query(job.clone())];
        if self
            .waiters
            .values()
            .any(|kind| *kind == ReplyKind::Cancellation)
        {
            requests.push(Request::Cancel(job.clone()));
        }
        requests
    }

    /// Removes and returns the callers that wait for a receipt.
    pub fn take_receipts(&mut self) -> Vec<WaiterId> {
        let wants_receipt = |kind: &ReplyKind| *kind == ReplyKind::Receipt;
        self.take(wants_receipt)
    }

    /// Removes and returns every waiting caller.
    pub fn take_all(&mut self) -> Vec<WaiterId> {
        self.take(|_| true)
    }

    fn take(&mut self, is_taken: impl Fn(&ReplyKind) -> bool) -> Vec<WaiterId> {
        let (taken, rest) = std::mem::take(&mut self.waiters)
            .into_iter()
            .partition(|(_, kind)| is_taken(kind));
        self.waiters = rest;
        IndexMap::into_keys(taken).collect()
    }
}
