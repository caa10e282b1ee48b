//! Interface between the loops and the store of the site's shared state.

use {
    chestnutrun_types::{DecisionEvent, EvacuatedZones, Member, RoutingTable, ZoneChange},
    std::{fmt, future::Future, pin::Pin},
    tokio::sync::mpsc::Sender,
};

/// A boxed future that runs on the thread of the loop.
pub type LocalBoxFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// An event that a directory sends to a loop.
#[derive(Clone, Debug)]
pub enum DirectoryEvent {
    /// A version of the routing table was read.
    Routing(RoutingTable),
    /// All evacuated zones, after a read.
    Evacuated(EvacuatedZones),
    /// Changes of the evacuated zones, in the order in which they were made.
    ZoneChanges(Vec<ZoneChange>),
    /// All registered entries, after a read.
    Members(Vec<Member>),
    /// The directory became reachable (true) or unreachable (false).
    Reachable(bool),
    /// A decision record about an answer of the directory, for the log.
    Note(DecisionEvent),
}

/// Number of calls to the directory with the same name and outcome.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallCount {
    /// Name of the call, as the metrics show it.
    pub call: &'static str,
    /// Outcome of the calls, as the metrics show it.
    pub outcome: &'static str,
    /// Number of these calls since the process started.
    pub count: u64,
}

/// Store of the routing table and the evacuated zones, which operators write, and of the
/// entries, which register themselves.
///
/// A call that takes a sender returns at once and sends its results as events.
/// An implementation logs failures and retries where a retry helps.
pub trait Directory: fmt::Debug {
    /// Sends the routing table, the evacuated zones and their changes until the process
    /// ends.
    fn follow_routing(&self, events: Sender<DirectoryEvent>);

    /// Reads the routing table and the evacuated zones once.
    fn read_routing(&self, events: Sender<DirectoryEvent>);

    /// Reads the registered entries once.
    fn read_members(&self, events: Sender<DirectoryEvent>);

    /// Registers an entry, then reads all registered entries.
    fn register(&self, member: Member, events: Sender<DirectoryEvent>);

    /// Removes an entry's registration.
    fn deregister(&self, member: Member) -> LocalBoxFuture<()>;

    /// Returns the number of calls since the process started, by name and outcome.
    fn call_counts(&self) -> Vec<CallCount>;
}
