//! The border between an agent and its endpoint.

use {
    crate::Later,
    chestnutrun_decisions::guard::{Answer, ListOrder, ListReply, StartOrder, StopOrder},
    std::fmt,
};

/// Orders to the endpoint beside an agent.
///
/// No order is repeated by an implementation: the guard decides what follows
/// an answer that did not come.
pub trait EndpointOrders: fmt::Debug {
    /// Starts a run.
    fn start(&self, order: StartOrder) -> Later<Answer<()>>;

    /// Stops a run.
    fn stop(&self, order: StopOrder) -> Later<Answer<()>>;

    /// Renews the lease and lists what runs and what ended.
    fn list(&self, order: ListOrder) -> Later<Answer<ListReply>>;
}
