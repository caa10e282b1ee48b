//! Exchanges the membership with peers.

use {
    crate::overlay::{
        OverlayAction, OverlayMachine, PeerLink,
        open_link::{NEWS_TIME, OpenLink},
    },
    chestnutrun_types::{Member, MemberList},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time between two comparisons of the membership with a peer.
const COMPARE_INTERVAL: Duration = Duration::from_secs(10);

impl OverlayMachine {
    /// Adds the entries of a whole list. A process that has started passes none of
    /// them on: the others know them.
    pub(super) fn add_all(&mut self, now: Instant, members: &[Member]) {
        self.spread_news();
        self.add_listed(now, members);
        if self.fresh_until.is_none_or(|until| now < until) {
            // The changes that the list brought are dropped.
            let _ = self.view.take_news();
        }
    }

    /// Adds the entries of a list; those that are new are passed on.
    pub(super) fn add_listed(&mut self, now: Instant, members: &[Member]) {
        for member in members {
            if !self.is_me(&member.entry) {
                self.view.add_listed(now, member);
            }
        }
    }

    /// Handles a list of a peer: changes, its whole list, or a digest to compare.
    pub(super) fn received(&mut self, now: Instant, link: PeerLink, list: &MemberList) {
        if list.is_whole {
            self.add_all(now, &list.members);
            if let Some(missing) = self.view.missing_in(list) {
                self.actions.push(OverlayAction::Send(link, missing));
            }
        } else {
            self.add_listed(now, &list.members);
        }
        for departure in &list.departed {
            // An entry that is linked has not left, unless it says so itself.
            let is_present = |(at, open): (&PeerLink, &OpenLink)| {
                let peer = open.entry.as_ref().filter(|_| *at != link);
                peer.is_some_and(|(entry, incarnation)| {
                    *entry == departure.entry && *incarnation >= departure.incarnation
                })
            };
            if !self.links.iter().any(is_present) && !self.is_me(&departure.entry) {
                self.view
                    .remove(now, &departure.entry, departure.incarnation);
            }
        }
        let fresh_until = self.fresh_until;
        if self.me.is_some()
            && list.digest.is_some()
            && let Some(open) = self.links.get_mut(&link)
        {
            open.digest = list.digest;
            open.list_due_at = Some(fresh_until.map_or(now, |until| until.max(now)));
        }
    }

    /// Tells the linked processes that this entry is about to exit.
    pub(super) fn leave(&mut self, now: Instant) {
        if let Some(me) = self.me.clone() {
            self.view.add_present(now, &me);
            self.view.remove(now, &me.entry, me.incarnation);
            self.spread_news();
        }
    }

    /// Compares the membership with one peer in turn. An entry also links to one
    /// of the seeds in turn for a while.
    pub(super) fn compare_if_due(&mut self, now: Instant) {
        let at = *self.compare_at.get_or_insert(now + COMPARE_INTERVAL);
        if now < at {
            return;
        }
        self.compare_at = Some(now + COMPARE_INTERVAL);
        self.comparisons += 1;
        let entries: Vec<PeerLink> = self
            .links
            .iter()
            .filter(|(_, open)| open.entry.is_some())
            .map(|(link, _)| *link)
            .collect();
        if let Some(turn) = self.comparisons.checked_rem(entries.len()) {
            self.send_digest(entries[turn]);
        }
        if self.me.is_some() {
            let seeds: Vec<SocketAddr> = self.other_seeds().collect();
            let turn = self.comparisons.checked_rem(seeds.len());
            self.probed_seed = turn.map(|turn| seeds[turn]);
        }
    }

    /// Sends the digests that are due, and the whole list to the peers that lack it.
    pub(super) fn send_due_lists(&mut self, now: Instant) {
        self.fresh_until.get_or_insert(now + NEWS_TIME);
        let own = self.digest();
        let mut lacking = Vec::new();
        let mut uncompared = Vec::new();
        for (link, open) in &mut self.links {
            if open.digest_due_at.is_some_and(|at| at <= now) {
                open.digest_due_at = None;
                uncompared.push(*link);
            }
            if open.list_due_at.is_some_and(|at| at <= now) {
                open.list_due_at = None;
                if open.digest.take() != Some(own) {
                    lacking.push(*link);
                }
            }
        }
        for link in uncompared {
            self.send_digest(link);
        }
        if self.me.is_some() {
            for link in lacking {
                self.send_full_list(link);
            }
        }
    }

    /// Sends the changes of the membership on every link. Agents pass on nothing.
    pub(super) fn spread_news(&mut self) {
        let news = self.view.take_news();
        if self.me.is_none() {
            return;
        }
        if let Some(news) = news {
            for link in self.links.keys() {
                self.actions.push(OverlayAction::Send(*link, news.clone()));
            }
        }
    }

    pub(super) fn send_full_list(&mut self, link: PeerLink) {
        let mut list = self.view.full_list();
        list.members.extend(self.me.clone());
        self.actions.push(OverlayAction::Send(link, list));
    }

    pub(super) fn send_digest(&mut self, link: PeerLink) {
        let list = MemberList {
            digest: Some(self.digest()),
            ..MemberList::default()
        };
        self.actions.push(OverlayAction::Send(link, list));
    }

    /// Returns the digest of the known entries and this one.
    pub(super) fn digest(&self) -> u64 {
        self.view.digest(self.me.as_ref())
    }
}
