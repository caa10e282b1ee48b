//! Event loops of the entries and agents that run best-effort jobs, around the
//! dispatcher and the guard.
//!
//! A platform implements the traits [`Directory`], [`EndpointOrders`] and
//! [`SettingsFile`]. Its request handlers reach an entry's loop through a
//! [`CallerHandle`] and an agent's loop by sending [`AgentEvent`]s.

mod agent_actions;
mod agent_evacuation;
mod agent_event;
mod agent_links;
mod agent_loop;
mod caller_desk;
mod directory;
mod directory_fallback;
mod endpoint_orders;
mod entry_callers;
mod entry_dialers;
mod entry_evacuation;
mod entry_links;
mod entry_loop;
mod entry_peers;
mod entry_shutdown;
mod errors;
mod overlay_links;
mod recorder;
mod reload;
mod routing_sync;
mod shared_routing;
mod signals;

pub use {
    agent_event::AgentEvent,
    agent_loop::{AgentLoop, AgentLoopConf},
    caller_desk::{CallerEvent, CallerHandle, JobReply, WaitingCaller},
    directory::{CallCount, Directory, DirectoryEvent, LocalBoxFuture},
    endpoint_orders::EndpointOrders,
    entry_loop::{EntryLoop, EntryLoopConf},
    errors::DispatchError,
    reload::{ReloadedSettings, SettingsFile},
    shared_routing::SharedRouting,
    signals::Signals,
};
