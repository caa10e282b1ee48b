//! Links between processes, which break and carry messages late.

use {
    chestnutrun_decisions::evacuation::PeerLink,
    chestnutrun_types::EvacuatedZones,
    rand::{RngExt, rngs::StdRng},
    std::collections::VecDeque,
};

/// Longest time that a message takes, in milliseconds.
const MAX_DELAY: u64 = 60;

/// Number of a process.
pub type Node = usize;

/// A link between two processes.
#[derive(Debug)]
pub struct Link {
    pub ends: [Node; 2],
    /// Number of the link; another one after each break.
    pub id: PeerLink,
    /// When the link opened or opens.
    pub open_at: u64,
    pub is_open: bool,
    /// Messages to each end, with the time of their arrival.
    messages: [VecDeque<(u64, EvacuatedZones)>; 2],
}

impl Link {
    pub fn new(ends: [Node; 2], id: PeerLink) -> Self {
        Self {
            ends,
            id,
            open_at: 0,
            is_open: false,
            messages: Default::default(),
        }
    }

    /// Breaks the link until `open_at`; what is on its way is lost.
    pub fn close(&mut self, id: PeerLink, open_at: u64) {
        (self.id, self.open_at, self.is_open) = (id, open_at, false);
        self.messages = Default::default();
    }

    /// Sends a message from one end; at times it arrives twice.
    pub fn send(&mut self, rng: &mut StdRng, at: u64, from: Node, zones: EvacuatedZones) {
        let to = usize::from(self.ends[0] == from);
        let queue = &mut self.messages[to];
        let earliest = queue.back().map_or(at, |(last, _)| *last);
        let arrives = earliest.max(at + rng.random_range(0..MAX_DELAY));
        queue.push_back((arrives, zones.clone()));
        if rng.random_bool(0.1) {
            queue.push_back((arrives + MAX_DELAY, zones));
        }
    }

    /// Returns the messages that have arrived by now, with the end that gets each.
    pub fn arrived(&mut self, at: u64) -> Vec<(Node, EvacuatedZones)> {
        let mut arrived = Vec::new();
        for (end, queue) in self.messages.iter_mut().enumerate() {
            while queue.front().is_some_and(|(arrives, _)| *arrives <= at) {
                arrived.extend(queue.pop_front().map(|(_, zones)| (self.ends[end], zones)));
            }
        }
        arrived
    }
}
