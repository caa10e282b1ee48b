//! The HTTP client and the answers of servers.

mod http_client;
mod http_reply;
mod problem;

pub use problem::Problem;
pub(crate) use {
    http_client::{HttpClient, Request},
    http_reply::HttpReply,
};
