//! Reachability of the other entries.

use {
    chestnutrun_types::{EntryId, Member, ShardId},
    indexmap::IndexMap,
    std::{
        hash::Hasher,
        time::{Duration, Instant},
    },
    xxhash_rust::xxh3::Xxh3,
};

/// How long an entry must be without a link before another claims its shards.
const SUSPECT_AFTER: Duration = Duration::from_millis(500);

/// Links to the other entries, and since when a link is down.
#[derive(Debug, Default)]
pub struct Peers {
    /// When the link went down; none while the link is open.
    down_since: IndexMap<EntryId, Option<Instant>>,
}

impl Peers {
    /// Adds the recorded members; an unknown entry counts as down since `at`.
    pub fn add_members<'a>(&mut self, at: Instant, members: impl Iterator<Item = &'a Member>) {
        for member in members {
            self.down_since
                .entry(member.entry.clone())
                .or_insert(Some(at));
        }
    }

    /// Records that a link opened.
    pub fn link_up(&mut self, entry: EntryId) {
        self.down_since.insert(entry, None);
    }

    /// Records that a link closed.
    pub fn link_down(&mut self, at: Instant, entry: EntryId) {
        self.down_since.insert(entry, Some(at));
    }

    /// Whether a link to the entry is open.
    #[must_use]
    pub fn is_linked(&self, entry: &EntryId) -> bool {
        matches!(self.down_since.get(entry), Some(None))
    }

    /// Returns the entries to which a link is open.
    #[must_use]
    pub fn linked(&self) -> Vec<EntryId> {
        let is_open = |(_, since): &(&EntryId, &Option<Instant>)| since.is_none();
        let open = self.down_since.iter().filter(is_open);
        open.map(|(entry, _)| entry.clone()).collect()
    }

    /// Whether a link to any entry is open.
    #[must_use]
    pub fn any_linked(&self) -> bool {
        self.down_since.values().any(Option::is_none)
    }

    /// Whether the entry is unknown or has been down for `SUSPECT_AFTER`.
    #[must_use]
    pub fn is_unreachable(&self, at: Instant, entry: &EntryId) -> bool {
        match self.down_since.get(entry) {
            Some(Some(since)) => at >= *since + SUSPECT_AFTER,
            Some(None) => false,
            None => true,
        }
    }
}

/// Returns the rank of an entry as owner of a shard; the highest one is preferred.
#[must_use]
pub fn preference(shard: ShardId, entry: &EntryId) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.write(entry.as_bytes());
    hasher.write_u32(shard);
    hasher.finish()
}
