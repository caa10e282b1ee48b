//! Decisions of an entry for its callers: to which owner a request is sent, and
//! which callers get a reply.

mod front_machine;
mod messages;
mod pending;

pub use {
    front_machine::{FrontConf, FrontMachine},
    messages::{FrontAction, FrontInput, Request, WaiterId},
    pending::{Pending, PendingKey, ReplyKind},
};
