//! What the entry's loop waits for, besides links.

use {
    crate::operators::{OperatorReply, OperatorRequest},
    chestnutrun_decisions::front::{Request, WaiterId},
    chestnutrun_table::TableError,
    chestnutrun_types::{Reply, Revision, TableRow, TableSnapshot, TableWrite, WriteResult},
    tokio::sync::oneshot,
};

/// What a caller gets from the loop.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum CallerReply {
    /// The contract does not exist, or the token is not its token.
    Unauthorized,
    /// No configuration was read yet.
    NotReady,
    /// The process is stopping and takes no submission.
    Stopping,
    /// The owner of the shard replied.
    Owner(Reply),
}

/// A caller's request.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    /// Number of the waiting caller.
    pub(crate) waiter: WaiterId,
    /// The token that came with it.
    pub(crate) token: String,
    /// What is asked for.
    pub(crate) request: Request,
    /// Where the reply goes.
    pub(crate) reply: oneshot::Sender<CallerReply>,
}

/// What the entry's loop waits for.
#[derive(Debug)]
pub(crate) enum Event {
    /// A caller asks for something.
    Caller(CallerRequest),
    /// A caller went away or waited long enough.
    Abandon(WaiterId),
    /// An operator asks for something.
    Operator(OperatorRequest, oneshot::Sender<OperatorReply>),
    /// A read of the table ended.
    TableRead(Result<Box<TableSnapshot>, TableError>),
    /// An operator's change was written at a revision of the table.
    Changed(TableRow, Revision),
    /// A write of the table ended.
    TableWritten(TableWrite, WriteResult),
}
