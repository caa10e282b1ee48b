//! HTTP interface for callers.

mod caller_handle;
mod job_page;
mod routes;
mod submission;
mod waiter;

pub use job_page::{JobPage, JobState, TaskPage};
pub(crate) use {caller_handle::CallerHandle, routes::serve, submission::parse_json};
