//! The border between the loops and where the site's state is kept.

use {
    chestnutrun_types::{DecisionNote, Member, RoutingTable},
    std::{fmt, future::Future, pin::Pin},
    tokio::sync::mpsc::Sender,
};

/// A result that comes later, on the same loop.
pub type Later<T> = Pin<Box<dyn Future<Output = T>>>;

/// What a directory tells.
#[derive(Clone, Debug)]
pub enum DirectoryNews {
    /// A version of the routing table.
    Routing(RoutingTable),
    /// The entries that are recorded.
    Members(Vec<Member>),
    /// Whether the directory answers.
    Reachable(bool),
    /// What the directory answered, to be logged.
    Note(DecisionNote),
}

/// How many calls of one kind ended in one way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallCount {
    /// What was called for.
    pub call: &'static str,
    /// How it ended.
    pub outcome: &'static str,
    /// How often.
    pub count: u64,
}

/// Where operators keep the routing table and entries record themselves.
///
/// Each call goes on by itself and tells the outcome as news; a failure is
/// logged and tried again where that helps.
pub trait Directory: fmt::Debug {
    /// Follows the routing table until the process ends.
    fn follow_routing(&self, news: Sender<DirectoryNews>);

    /// Reads the routing table once.
    fn read_routing(&self, news: Sender<DirectoryNews>);

    /// Reads the recorded entries once.
    fn read_members(&self, news: Sender<DirectoryNews>);

    /// Records an entry, and reads the others.
    fn record(&self, member: Member, news: Sender<DirectoryNews>);

    /// Removes an entry's record.
    fn remove(&self, member: Member) -> Later<()>;

    /// Counts the calls since the process started.
    fn calls(&self) -> Vec<CallCount>;
}
