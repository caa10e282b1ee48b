//! Interface between an agent and its endpoint.

use {
    crate::LocalBoxFuture,
    chestnutrun_decisions::guard::{Answer, ListOrder, ListReply, StartOrder, StopOrder},
    std::fmt,
};

/// Orders to the endpoint beside an agent.
///
/// An implementation never retries: if no answer arrives, the guard decides what
/// to do next.
pub trait EndpointOrders: fmt::Debug {
    /// Starts a run.
    fn start(&self, order: StartOrder) -> LocalBoxFuture<Answer<()>>;

    /// Stops a run.
    fn stop(&self, order: StopOrder) -> LocalBoxFuture<Answer<()>>;

    /// Renews the lease and lists the running and ended runs.
    fn list(&self, order: ListOrder) -> LocalBoxFuture<Answer<ListReply>>;
}
