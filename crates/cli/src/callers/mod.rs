//! Commands for callers.

mod cancel;
mod job_body;
mod result;
mod submit;
mod wait;

pub(crate) use {cancel::cancel, result::result, submit::submit};
