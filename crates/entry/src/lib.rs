//! The entry: serves callers and operators over HTTP, and owns shards of the site.

mod arguments;
mod callers;
mod daemon;
mod errors;
mod event;
mod job_body;
mod links;
mod listener;
mod operators;
mod problem;
mod request_body;
mod shards;

pub use {
    arguments::Arguments,
    callers::{JobPage, JobState, TaskPage},
    daemon::{EntryDaemon, run},
    errors::EntryError,
    job_body::{DeadlineError, JobBody, MAX_DEADLINE_IN, TaskBody},
    problem::Problem,
};
