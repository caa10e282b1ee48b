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
mod evacuation;
mod held_job;
mod held_task;
mod known_endpoints;
mod messages;
mod objective;
mod placing;
mod run_times;
mod turn;

pub use {
    cancelled_jobs::CancelledJobs,
    dispatcher::Dispatcher,
    held_job::held_bytes,
    messages::{CallerId, DispatchAction, DispatchInput, JobOutcome, RefusalReason, Submission},
};
