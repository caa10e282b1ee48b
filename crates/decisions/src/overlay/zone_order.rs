//! Order in which an agent prefers entries.

use {
    crate::overlay::{PeerOrder, Tier},
    chestnutrun_types::{AgentId, Member, ZoneId},
    std::cmp::Reverse,
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// Number of links to entries of the agent's availability zone. Traffic within a
/// zone is free, so most of the work is placed there.
const OWN_ZONE_LINKS: usize = 7;

/// Number of links to entries of other zones, through which a zone with more work
/// than room reaches the room of the others.
const OTHER_ZONE_LINKS: usize = 3;

/// Orders entries by rendezvous hashing, those of the agent's zone apart.
#[derive(Clone, Debug)]
pub struct ZoneOrder {
    seed: u64,
    zone: ZoneId,
}

impl ZoneOrder {
    /// Creates the order of an agent in an availability zone.
    #[must_use]
    pub fn new(agent: &AgentId, zone: ZoneId) -> Self {
        Self {
            seed: xxh3_64(agent.as_bytes()),
            zone,
        }
    }
}

impl PeerOrder for ZoneOrder {
    fn tiers<'a>(&self, members: &[&'a Member]) -> Vec<Tier<'a>> {
        let mut members = members.to_vec();
        members.sort_by_cached_key(|member| {
            let score = xxh3_64_with_seed(member.entry.as_bytes(), self.seed);
            (Reverse(score), member.entry.clone())
        });
        let (own, other) = members
            .into_iter()
            .partition(|member| member.zone == self.zone);
        vec![
            Tier {
                links: OWN_ZONE_LINKS,
                members: own,
            },
            Tier {
                links: OTHER_ZONE_LINKS,
                members: other,
            },
        ]
    }
}
