//! Decisions of an agent: which tasks start at its endpoint, and the records of
//! these starts.

mod agent_machine;
mod fence_state;
mod messages;
mod task_records;

pub use {
    agent_machine::{AgentConf, AgentMachine},
    fence_state::FenceState,
    messages::{AgentAction, AgentInput, AgentMessage, RunOutcome},
    task_records::TaskRecords,
};
