//! Simulated links, which deliver messages in order, with a delay, or not at all.

use {
    super::{Millis, Node},
    indexmap::IndexMap,
};

/// Index of a link in the site's list.
pub type FakeLinkId = usize;

/// One link between two processes.
#[derive(Debug)]
pub struct FakeLink {
    /// The process that opened the link, and its run.
    pub from: (Node, u64),
    /// The process that accepted the link, and its run.
    pub to: (Node, u64),
    /// Longest delay of a message, in milliseconds.
    pub delay: Millis,
    /// Whether new messages are lost.
    pub broken: bool,
    last_delivery: IndexMap<Node, Millis>,
}

impl FakeLink {
    /// Creates an open link.
    pub fn new(from: (Node, u64), to: (Node, u64), delay: Millis) -> Self {
        Self {
            from,
            to,
            delay,
            broken: false,
            last_delivery: IndexMap::new(),
        }
    }

    /// Returns when a message to `node` that is due at `at` arrives: not before the
    /// message sent ahead of it.
    pub fn delivery_time(&mut self, node: Node, at: Millis) -> Millis {
        let last = self.last_delivery.entry(node).or_default();
        *last = at.max(*last);
        *last
    }

    /// Returns the process at the other end, and its run.
    pub fn other_end(&self, node: Node) -> (Node, u64) {
        if self.from.0 == node {
            self.to
        } else {
            self.from
        }
    }

    /// Whether the link joins these two processes.
    pub fn joins(&self, a: Node, b: Node) -> bool {
        (self.from.0 == a && self.to.0 == b) || (self.from.0 == b && self.to.0 == a)
    }
}
