//! Order in which an entry prefers other entries.

use {
    crate::overlay::{PeerOrder, Tier},
    chestnutrun_types::{EntryId, Member},
    xxhash_rust::xxh3::xxh3_64,
};

/// Number of entries that an entry dials. As many dial it, so that the entries
/// stay connected while any two neighbours are lost.
const RING_LINKS: usize = 3;

/// Orders entries as a ring of hashes that begins behind this entry.
///
/// Each entry is dialed by those before it, so a lost one is always noticed by a
/// few others, and only by those.
#[derive(Clone, Debug)]
pub struct RingOrder {
    position: u64,
}

impl RingOrder {
    /// Creates the order of an entry.
    #[must_use]
    pub fn new(me: &EntryId) -> Self {
        Self {
            position: xxh3_64(me.as_bytes()),
        }
    }
}

impl PeerOrder for RingOrder {
    fn tiers<'a>(&self, members: &[&'a Member]) -> Vec<Tier<'a>> {
        let mut members = members.to_vec();
        members.sort_by_cached_key(|member| {
            let distance = xxh3_64(member.entry.as_bytes()).wrapping_sub(self.position);
            (distance, member.entry.clone())
        });
        vec![Tier {
            links: RING_LINKS,
            members,
        }]
    }
}
