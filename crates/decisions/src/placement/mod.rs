//! The entry's side of best-effort jobs: the entry holds jobs and places their
//! tasks on the endpoints that agents report.

mod agent_inputs;
mod backlog;
mod caller_inputs;
mod cancelled_jobs;
mod candidates;
mod changes;
mod crashes;
mod dispatcher;
mod endpoint_view;
mod held_job;
mod held_task;
mod known_endpoints;
mod messages;
mod objective;
mod placing;
mod run_times;
mod shortage;
mod turn;

pub use {
    dispatcher::Dispatcher,
    messages::{CallerId, DispatchAction, DispatchInput, JobOutcome, RefusalReason, Submission},
};
