//! An owner's view of the slots of its shard's endpoints.

use {
    chestnutrun_types::EndpointId,
    indexmap::IndexMap,
    std::{cmp::Reverse, collections::BTreeSet},
};

/// Slots of one endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EndpointSlots {
    /// How many slots the endpoint has.
    pub total: u32,
    /// How many of the slots hold a task.
    pub taken: u32,
    /// Whether the endpoint may get new tasks.
    pub usable: bool,
    /// Whether recent tasks failed there, so that other endpoints go first.
    pub suspect: bool,
}

impl EndpointSlots {
    /// Returns how many tasks the endpoint may get now.
    #[must_use]
    pub fn free(&self) -> u32 {
        if self.usable {
            self.total.saturating_sub(self.taken)
        } else {
            0
        }
    }

    fn usable_total(&self) -> u32 {
        if self.usable { self.total } else { 0 }
    }
}

/// Order in which endpoints get tasks; the greatest rank goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Rank {
    is_sound: bool,
    free: u32,
    position: Reverse<usize>,
}

/// Slots of a shard's endpoints, ordered by how many are free.
#[derive(Clone, Debug, Default)]
pub struct Slots {
    endpoints: IndexMap<EndpointId, EndpointSlots>,
    ranks: BTreeSet<Rank>,
    usable: u32,
    free: u32,
}

impl Slots {
    /// Adds an endpoint or replaces its slots.
    pub fn set(&mut self, endpoint: &EndpointId, slots: EndpointSlots) {
        let (position, old) = self.endpoints.insert_full(endpoint.clone(), slots);
        let old = old.unwrap_or_default();
        if old == slots {
            return;
        }
        if old.free() > 0 {
            self.ranks.remove(&rank(position, old));
        }
        if slots.free() > 0 {
            self.ranks.insert(rank(position, slots));
        }
        self.usable = self.usable - old.usable_total() + slots.usable_total();
        self.free = self.free - old.free() + slots.free();
    }

    /// Returns the slots of an endpoint, if it is known.
    #[must_use]
    pub fn get(&self, endpoint: &EndpointId) -> Option<&EndpointSlots> {
        self.endpoints.get(endpoint)
    }

    /// Iterates over the endpoints in the order in which they were added.
    pub fn iter(&self) -> impl Iterator<Item = (&EndpointId, &EndpointSlots)> {
        self.endpoints.iter()
    }

    /// Returns the total of the usable endpoints' slots.
    #[must_use]
    pub fn usable(&self) -> u32 {
        self.usable
    }

    /// Returns the total of the usable endpoints' free slots.
    #[must_use]
    pub fn free(&self) -> u32 {
        self.free
    }

    /// Returns the endpoint for the next task; none if no slot is free.
    ///
    /// Suspect endpoints come last. Otherwise, the endpoint with the most free
    /// slots goes first, and among equals the endpoint that was added first.
    #[must_use]
    pub fn emptiest(&self) -> Option<&EndpointId> {
        let Reverse(position) = self.ranks.last()?.position;
        self.endpoints.get_index(position).map(|(id, _)| id)
    }
}

fn rank(position: usize, slots: EndpointSlots) -> Rank {
    Rank {
        is_sound: !slots.suspect,
        free: slots.free(),
        position: Reverse(position),
    }
}
