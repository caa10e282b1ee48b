//! Interface of the choice of the entries to link to.

use {chestnutrun_types::Member, std::fmt};

/// Entries of one group in the order of preference.
#[derive(Clone, Debug, PartialEq)]
pub struct Tier<'a> {
    /// Number of links to entries of this group. If the group has too few that can
    /// be reached, other groups get the rest.
    pub links: usize,
    /// The entries, the preferred ones first.
    pub members: Vec<&'a Member>,
}

/// Orders the entries by how much a process prefers a link to each of them.
///
/// The order must depend on the entries alone, so that a process that restarts
/// chooses the same links, and a new entry moves few of them.
pub trait PeerOrder: fmt::Debug {
    /// Groups and orders the entries, without the process itself.
    fn tiers<'a>(&self, members: &[&'a Member]) -> Vec<Tier<'a>>;
}
