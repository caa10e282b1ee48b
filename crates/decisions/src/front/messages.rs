//! Inputs and actions of the front machine.

use chestnutrun_types::{EntryId, JobRef, JobReply, Reply, ShardId, ShardOwner, Submit};

/// Identifies a caller's waiting request at this entry.
pub type WaiterId = u64;

/// Request to the owner of a shard.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// Run a job.
    Submit(Submit),
    /// Return the answer of a job.
    Query(JobRef),
    /// Return the answer of a job; while the job is open, return a receipt at once.
    Status(JobRef),
    /// Cancel the tasks of a job that have not started.
    Cancel(JobRef),
}

/// Input of the front machine.
#[derive(Clone, Debug)]
pub enum FrontInput {
    /// A caller sent a request and waits for the reply.
    Request(WaiterId, Request),
    /// A caller disconnected, or its longest wait is over.
    Abandon(WaiterId),
    /// The owner of a shard replied.
    Reply(JobReply),
    /// A shard has a new owner.
    OwnerChanged(ShardOwner),
    /// The owner of a shard accepts requests now. Requests that the owner received
    /// before it knew of its ownership may have been dropped.
    OwnerReady(ShardId),
    /// A link to another entry opened.
    LinkUp(EntryId),
    /// The link to another entry closed.
    LinkDown(EntryId),
}

/// Action that the front machine returns for execution.
#[derive(Clone, Debug, PartialEq)]
pub enum FrontAction {
    /// Send a request to the owning entry, which may be this one.
    Send(EntryId, Request),
    /// Answer a caller.
    Answer(WaiterId, Reply),
}
