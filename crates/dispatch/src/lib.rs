//! Entries and agents that run best-effort jobs: the loops around the
//! dispatcher and the guard.
//!
//! What they need of a platform stands behind the traits [`Directory`] and
//! [`EndpointOrders`]; callers and endpoints reach the loops through
//! [`CallerDesk`] and [`AgentEvent`].

mod agent_loop;
mod caller_desk;
mod directory;
mod directory_fallback;
mod endpoint_orders;
mod entry_dialers;
mod entry_loop;
mod entry_peers;
mod errors;
mod recorder;
mod reload;
mod routing_sync;
mod shared_routing;

pub use {
    agent_loop::{AgentEvent, AgentLoop, AgentLoopConf},
    caller_desk::{CallerDesk, CallerEvent, JobReply, WaitingCaller},
    directory::{CallCount, Directory, DirectoryEvent, LocalBoxFuture},
    endpoint_orders::EndpointOrders,
    entry_loop::{EntryLoop, EntryLoopConf},
    errors::DispatchError,
    reload::{Reloaded, SettingsFile},
    shared_routing::SharedRouting,
};
