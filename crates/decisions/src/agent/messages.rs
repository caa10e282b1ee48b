//! Inputs and actions of an agent's state machine.

use chestnutrun_types::{
    Confirm, Confirmation, EntryId, Fence, FenceReply, Finished, Lookup, LookupReply, Revision,
    Start, StartRefused, TaskRef,
};

/// Outcome of a run at the endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RunOutcome {
    /// The endpoint answered with an output.
    Completed(String),
    /// The endpoint answered with an error.
    Failed(String),
    /// The endpoint proved that it did not start the task.
    NotStarted,
    /// The connection ended after the task was sent.
    Unknown,
}

/// Inputs of an agent's state machine.
#[derive(Clone, Debug)]
pub enum AgentInput {
    /// A link to an entry opened, and that entry knows of this agent.
    LinkUp(EntryId),
    /// The link to an entry closed.
    LinkDown(EntryId),
    /// An entry confirmed its ownership.
    Confirmed(EntryId, Confirmation),
    /// A new owner fences earlier owners.
    Fence(EntryId, Fence),
    /// An owner requests the start of a task.
    Start(EntryId, Start),
    /// An owner requests the records of a job, and may void starts.
    Lookup(EntryId, Lookup),
    /// A run at the endpoint ended.
    RunEnded(TaskRef, RunOutcome),
    /// Operators drained the endpoint or returned it to service.
    Configured {
        /// Revision of the configuration.
        revision: Revision,
        /// Whether the endpoint is drained.
        draining: bool,
    },
    /// The process was told to stop.
    Leave,
    /// Time passed.
    Tick,
}

/// Messages from an agent to an entry.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentMessage {
    /// Requests a confirmation of the shard's ownership.
    Confirm(Confirm),
    /// Earlier owners are fenced.
    FenceReply(FenceReply),
    /// A task did not start.
    StartRefused(StartRefused),
    /// A task ended.
    Finished(Finished),
    /// Records of a job.
    LookupReply(LookupReply),
}

/// Actions that an agent's state machine requests from its front end.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentAction {
    /// Send a message to an entry.
    Send(EntryId, AgentMessage),
    /// Run a task at the endpoint.
    Run(Start),
}
