//! The agent: a process beside each endpoint that starts tasks there and records
//! their outcomes.

mod arguments;
mod daemon;
mod endpoint;
mod errors;
mod event;
mod http_endpoint;
mod links;
mod operators;

pub use {
    arguments::Arguments,
    daemon::{AgentDaemon, run},
    endpoint::{Endpoint, RunFuture},
    errors::AgentError,
    http_endpoint::{HttpEndpoint, RunReply, RunRequest},
};
