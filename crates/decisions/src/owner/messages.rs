//! Inputs and actions of the owner machine.

use {
    crate::owner::Request,
    chestnutrun_types::{
        AgentHello, Configuration, EndpointId, EntryId, Epoch, Fence, FenceReply, Finished,
        Incarnation, JobReply, KnownAgents, Lookup, LookupReply, Start, StartRefused,
    },
    std::{rc::Rc, time::Instant},
};

/// Input of the owner machine.
#[derive(Clone, Debug)]
pub enum OwnerInput {
    /// An entry sent a request.
    Request(EntryId, Request),
    /// The ownership was still in force at some moment not before this one.
    OwnershipConfirmed(Instant),
    /// Another entry acknowledged the ownership and reported the agents that the
    /// entry knows. The moment is set once enough entries have acknowledged.
    OwnershipAcknowledged(Option<Instant>, KnownAgents),
    /// An agent's link opened.
    AgentUp(AgentHello),
    /// An agent's link closed.
    AgentDown(EndpointId, Incarnation),
    /// An agent fenced earlier ownerships and reported its tasks.
    FenceReply(EndpointId, FenceReply),
    /// An agent reported the epoch under which it may start tasks now, if any.
    AgentLease(EndpointId, Option<Epoch>),
    /// An agent did not start a task.
    StartRefused(EndpointId, StartRefused),
    /// An agent's task ended.
    Finished(EndpointId, Finished),
    /// An agent reported its records of a job.
    LookupReply(EndpointId, LookupReply),
    /// A newer configuration is in force.
    Configured(Rc<Configuration>),
    /// The process is stopping: new jobs must be refused.
    Leave,
    /// Time passed.
    Tick,
}

/// Order of an owner to an agent.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentOrder {
    /// Refuse orders of earlier ownerships from now on.
    Fence(Fence),
    /// Start a task.
    Start(Start),
    /// Report the records of a job, and void the starts that the order names.
    Lookup(Lookup),
}

/// Action that the owner machine returns for execution.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerAction {
    /// Send a message to the agent of an endpoint.
    Order(EndpointId, AgentOrder),
    /// Send a reply to an entry.
    Reply(EntryId, JobReply),
}
