//! Crowds of clients that do not keep to the limits: what they send, and a command that
//! plays them against a running site.

mod arguments;
mod client_requests;
mod crowd_clients;
mod ordinary_caller;
mod own_requests;
mod requests_file;
mod run_crowd;
mod script;
mod shape;

pub use {
    arguments::{CrowdArguments, crowd_arguments},
    client_requests::ClientRequests,
    crowd_clients::Crowd,
    ordinary_caller::OrdinaryAnswers,
    own_requests::OwnRequests,
    requests_file::RequestsFile,
    run_crowd::run,
    script::{OWN_ID, Script},
    shape::{Shape, UnknownShape},
};
