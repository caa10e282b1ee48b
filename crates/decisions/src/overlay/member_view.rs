//! The entries that a process knows of.

use {
    chestnutrun_types::{Departure, EntryId, Incarnation, Member, MemberList},
    indexmap::IndexMap,
    std::time::{Duration, Instant},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// How long an entry that left is remembered, so that an older list does not add
/// it again: several exchanges of digests.
const DEPARTURE_KEPT: Duration = Duration::from_mins(1);

/// Most entries that are kept; further ones are ignored.
const MAX_MEMBERS: usize = 4_096;

/// An entry that left or was lost.
#[derive(Clone, Copy, Debug)]
struct Departed {
    incarnation: Incarnation,
    forget_at: Instant,
}

/// The entries that a process knows of, and the changes that it has not passed on.
#[derive(Debug, Default)]
pub struct MemberView {
    members: IndexMap<EntryId, Member>,
    departed: IndexMap<EntryId, Departed>,
    news: MemberList,
}

impl MemberView {
    /// Returns the known entries.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Adds an entry that a list names, unless it is known to have left or a later
    /// incarnation is known; returns whether it was added.
    pub fn add_listed(&mut self, now: Instant, member: &Member) -> bool {
        let departed = self.departed.get(&member.entry);
        if departed.is_some_and(|departed| member.incarnation <= departed.incarnation) {
            return false;
        }
        self.add(now, member)
    }

    /// Adds an entry that identified itself on a link, even if a list said that it
    /// left; returns whether it was added.
    pub fn add_present(&mut self, now: Instant, member: &Member) -> bool {
        self.departed.swap_remove(&member.entry);
        if let Some(known) = self.members.get(&member.entry)
            && known.incarnation > member.incarnation
        {
            // The clock that incarnations are read from was set back.
            self.members.swap_remove(&member.entry);
        }
        self.add(now, member)
    }

    fn add(&mut self, now: Instant, member: &Member) -> bool {
        let known = self.members.get(&member.entry);
        if known.is_some_and(|known| member.incarnation <= known.incarnation)
            || (known.is_none() && self.members.len() >= MAX_MEMBERS)
        {
            return false;
        }
        // An address has one owner: the entry that started last.
        let earlier = self
            .members
            .values()
            .find(|known| known.inner == member.inner && known.entry != member.entry);
        if let Some(earlier) = earlier.cloned() {
            if member.incarnation < earlier.incarnation {
                return false;
            }
            self.remove(now, &earlier.entry, earlier.incarnation);
        }
        self.members.insert(member.entry.clone(), member.clone());
        self.news.members.push(member.clone());
        true
    }

    /// Removes an entry that left under this incarnation or an earlier one;
    /// returns whether it was known.
    pub fn remove(&mut self, now: Instant, entry: &EntryId, incarnation: Incarnation) -> bool {
        let known = self.members.get(entry).map(|member| member.incarnation);
        if known.is_some_and(|known| known > incarnation) {
            return false;
        }
        let departed = Departed {
            incarnation,
            forget_at: now + DEPARTURE_KEPT,
        };
        if self.departed.len() < MAX_MEMBERS {
            self.departed.insert(entry.clone(), departed);
        }
        self.news.members.retain(|member| member.entry != *entry);
        let was_known = self.members.swap_remove(entry).is_some();
        if was_known {
            self.news.departed.push(Departure {
                entry: entry.clone(),
                incarnation,
            });
        }
        was_known
    }

    /// Forgets the entries that left long ago.
    pub fn expire(&mut self, now: Instant) {
        self.departed.retain(|_, departed| now < departed.forget_at);
    }

    /// Returns the changes since the last call; none if nothing changed.
    pub fn take_news(&mut self) -> Option<MemberList> {
        let news = std::mem::take(&mut self.news);
        (!news.members.is_empty() || !news.departed.is_empty()).then_some(news)
    }

    /// Returns the whole list.
    #[must_use]
    pub fn full_list(&self) -> MemberList {
        MemberList {
            members: self.members.values().cloned().collect(),
            is_whole: true,
            ..MemberList::default()
        }
    }

    /// Returns the known entries that a whole list lacks; none if it lacks none.
    #[must_use]
    pub fn missing_in(&self, list: &MemberList) -> Option<MemberList> {
        let listed: IndexMap<&EntryId, Incarnation> = list
            .members
            .iter()
            .map(|member| (&member.entry, member.incarnation))
            .collect();
        let is_missing = |member: &&Member| {
            let known = listed.get(&member.entry);
            known.is_none_or(|incarnation| *incarnation < member.incarnation)
        };
        let members: Vec<Member> = self.members().filter(is_missing).cloned().collect();
        (!members.is_empty()).then(|| MemberList {
            members,
            ..MemberList::default()
        })
    }

    /// Returns a digest of the known entries and `me`, which is equal for equal sets
    /// of entries.
    #[must_use]
    pub fn digest(&self, me: Option<&Member>) -> u64 {
        let digests = self
            .members
            .values()
            .chain(me)
            .map(|member| xxh3_64_with_seed(member.entry.as_bytes(), member.incarnation));
        digests.fold(0, |all, one| all ^ one)
    }
}
