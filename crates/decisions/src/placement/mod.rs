//! The entry's side of best-effort jobs: holds them, and places their tasks on
//! the endpoints that agents tell of.

mod agents_side;
mod dispatcher;
mod endpoint_view;
mod held_job;
mod held_task;
mod messages;
mod objective;
mod places;
mod placing;
mod run_time_ratios;

pub use {
    dispatcher::Dispatcher,
    messages::{CallerId, DispatchAction, DispatchInput, JobOutcome, RefusedFor, Submission},
};
