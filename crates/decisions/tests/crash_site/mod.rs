//! Agents and an entry whose endpoints crash under the tasks that run there.

mod agent;
mod site;

pub use {
    agent::{
        Agent, CLOCK, KNOWN_WITHIN_MS, REFUSED, announcement, assignment, crashes, endpoint_info,
        room,
    },
    site::Site,
};
