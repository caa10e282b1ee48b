//! Events of the entry's loop.

use {
    crate::operators::{OperatorReply, OperatorRequest},
    chestnutrun_decisions::front::{Request, WaiterId},
    chestnutrun_table::TableError,
    chestnutrun_types::{Reply, Revision, TableRow, TableSnapshot, TableWrite, WriteResult},
    tokio::sync::oneshot,
};

/// Reply of the loop to a caller's request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum CallerReply {
    /// The contract does not exist, or the token is not its token.
    Unauthorized,
    /// This entry has read no configuration yet.
    NotReady,
    /// The process is stopping and rejects submissions.
    Stopping,
    /// The owner of the shard replied.
    Owner(Reply),
}

/// Request of a caller, whose handler waits for the reply.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    /// Id of the waiting caller.
    pub(crate) waiter: WaiterId,
    /// Token from the request's header; empty if it has none.
    pub(crate) token: String,
    /// Request to the owner of the job's shard.
    pub(crate) request: Request,
    /// Channel for the reply.
    pub(crate) reply: oneshot::Sender<CallerReply>,
}

/// Event for the entry's loop; events of links have a queue of their own.
#[derive(Debug)]
pub(crate) enum Event {
    /// A caller sent a request.
    Caller(CallerRequest),
    /// A caller no longer waits: it has its reply, disconnected or reached its longest
    /// wait.
    Abandon(WaiterId),
    /// An operator sent a request.
    Operator(OperatorRequest, oneshot::Sender<OperatorReply>),
    /// A read of the table ended.
    TableRead(Result<Box<TableSnapshot>, TableError>),
    /// An operator's change of a row was written at this revision of the table.
    RowChanged(TableRow, Revision),
    /// A write of the table ended.
    TableWritten(TableWrite, WriteResult),
}
