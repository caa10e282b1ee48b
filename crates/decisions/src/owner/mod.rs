//! Decisions of a shard's owner: admission, starts, answers, and recovery of jobs
//! from earlier ownerships.

mod admission;
mod agent_stage;
mod agents;
mod endings;
mod endpoint_state;
mod health;
mod job_state;
mod messages;
mod owner_machine;
mod recovering;
mod recovery;
mod reply_gate;
mod request;
mod requests;
mod takeover;

pub use {
    agent_stage::AgentStage,
    endpoint_state::EndpointState,
    health::{Health, KindFailures},
    job_state::{JobState, TaskState},
    messages::{AgentOrder, OwnerAction, OwnerInput},
    owner_machine::{OwnerConf, OwnerMachine},
    recovery::Recovery,
    reply_gate::ReplyGate,
    request::{HeldRequest, Request},
    takeover::{AgentRun, Takeover},
};
