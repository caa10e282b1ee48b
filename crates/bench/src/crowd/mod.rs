//! Crowds of clients that do not keep to the limits: what they send.

mod client_requests;
mod crowd_clients;
mod own_requests;
mod script;
mod shape;

pub use {
    client_requests::ClientRequests,
    crowd_clients::Crowd,
    own_requests::OwnRequests,
    script::{OWN_ID, Script},
    shape::{Shape, UnknownShape},
};
