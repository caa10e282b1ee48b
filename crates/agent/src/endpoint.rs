//! Interface between the agent and its endpoint.

use {
    chestnutrun_decisions::agent::RunOutcome,
    chestnutrun_types::Start,
    std::{fmt, future::Future, pin::Pin},
};

/// Pending outcome of a run; resolves on the thread of the agent's loop.
pub type RunFuture = Pin<Box<dyn Future<Output = RunOutcome>>>;

/// Endpoint beside the agent, which executes tasks.
pub trait Endpoint: fmt::Debug {
    /// Runs a task at most once: a run that fails is not retried.
    fn run(&self, start: Start) -> RunFuture;
}
