//! Chooses the links of a process.

use {
    crate::overlay::{
        OverlayAction, OverlayMachine, PeerLink, dialed_peer::DialedPeer, open_link::OpenLink,
    },
    chestnutrun_types::{EntryId, Member, ZoneId},
    indexmap::{IndexMap, IndexSet},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// How long a link stays open after other links took its place, so that a short
/// outage of those does not move it twice.
const SURPLUS_KEPT: Duration = Duration::from_secs(2);

/// How long an agent keeps a link after it offered the entry nothing more: longer
/// than an assignment on its way takes to arrive.
const WITHDRAWN_KEPT: Duration = Duration::from_millis(500);

impl OverlayMachine {
    /// Removes the entries that had no link for long. While this process reaches
    /// fewer than half of its entries, it rather lost its own connection, and
    /// nothing is removed.
    pub(super) fn give_up_lost(&mut self, now: Instant) {
        let linked = self.dialed.values().filter(|peer| peer.link.is_some());
        let is_cut_off = linked.count() * 2 < self.dialed.len();
        let mut lost = Vec::new();
        for (address, peer) in &mut self.dialed {
            if peer.is_lost(now) {
                if is_cut_off {
                    peer.postpone_loss(now);
                } else {
                    lost.push(*address);
                }
            }
        }
        for address in lost {
            let member = self.view.members().find(|member| member.inner == address);
            if let Some(member) = member.cloned() {
                self.view.remove(now, &member.entry, member.incarnation);
            }
            self.hang_up(address);
        }
    }

    /// Dials the entries that the order prefers, and closes the links that others
    /// took the place of.
    pub(super) fn choose_links(&mut self, now: Instant) {
        let wanted = self.wanted_addresses(now);
        for address in &wanted {
            if !self.dialed.contains_key(address) {
                self.dialed.insert(*address, DialedPeer::new(now));
                self.actions.push(OverlayAction::Dial(*address));
            }
        }
        let entry_of = |link: Option<PeerLink>| self.links.get(&link?)?.entry.clone();
        let wanted_entries: IndexSet<EntryId> = self
            .dialed
            .iter()
            .filter(|(address, _)| wanted.contains(*address))
            .filter_map(|(_, peer)| entry_of(peer.link).map(|(entry, _)| entry))
            .collect();
        let mut closed = Vec::new();
        for (address, peer) in &mut self.dialed {
            let entry = entry_of(peer.link);
            if wanted.contains(address) {
                peer.close_from = None;
                if std::mem::take(&mut peer.is_withdrawn)
                    && let Some((entry, _)) = entry
                {
                    self.actions.push(OverlayAction::Restore(entry));
                }
                continue;
            }
            let from = *peer.close_from.get_or_insert(now + SURPLUS_KEPT);
            if peer.link.is_none() {
                closed.push(*address);
            } else if from <= now && !peer.is_withdrawn {
                match entry {
                    // Only an agent has work of its peers. It is not withdrawn from
                    // an entry that is also linked at another address.
                    Some((entry, _)) if self.me.is_none() && !wanted_entries.contains(&entry) => {
                        peer.is_withdrawn = true;
                        self.actions.push(OverlayAction::Withdraw(entry));
                    }
                    _ => closed.push(*address),
                }
            }
        }
        for address in closed {
            self.hang_up(address);
        }
    }

    /// Returns the addresses to dial: the preferred ones that can be reached, those
    /// before them in the order, and the seeds while no entry is linked.
    pub(super) fn wanted_addresses(&self, now: Instant) -> IndexSet<SocketAddr> {
        let mut wanted: IndexSet<SocketAddr> = IndexSet::new();
        let members: Vec<&Member> = self.view.members().collect();
        let tiers = self.order.tiers(&members);
        let lost_zones = self.lost_zones(now, &members);
        // Links that a tier has too few entries for go to the next tiers, then to
        // the first ones again, and last to zones that seem lost.
        let mut missing = 0;
        for round in 0..3 {
            for tier in &tiers {
                let mut links = missing + if round == 0 { tier.links } else { 0 };
                for member in &tier.members {
                    if links == 0 {
                        break;
                    }
                    let peer = self.dialed.get(&member.inner);
                    if round < 2 && peer.is_none() && lost_zones.contains(&member.zone) {
                        continue;
                    }
                    let is_new = wanted.insert(member.inner);
                    let is_promising = peer.is_none_or(|peer| peer.is_promising(now));
                    links -= usize::from(is_new && is_promising);
                }
                missing = links;
            }
        }
        let is_linked = |peer: &DialedPeer| peer.link.is_some();
        if !self.dialed.values().any(is_linked) {
            wanted.extend(self.other_seeds());
        }
        wanted.extend(self.probed_seed);
        wanted
    }

    /// Returns the zones of which several entries were dialed and none is reached.
    pub(super) fn lost_zones<'a>(
        &self,
        now: Instant,
        members: &[&'a Member],
    ) -> IndexSet<&'a ZoneId> {
        let mut tried: IndexMap<&ZoneId, (usize, bool)> = IndexMap::new();
        for member in members {
            if let Some(peer) = self.dialed.get(&member.inner) {
                let (unreached, is_linked) = tried.entry(&member.zone).or_default();
                *unreached += usize::from(!peer.is_promising(now));
                *is_linked |= peer.link.is_some();
            }
        }
        let is_lost = |(unreached, is_linked): &(usize, bool)| *unreached > 1 && !is_linked;
        tried.retain(|_, zone| is_lost(zone));
        tried.into_keys().collect()
    }

    /// Returns the seeds without this entry's own address.
    pub(super) fn other_seeds(&self) -> impl Iterator<Item = SocketAddr> {
        let own = self.me.as_ref().map(|me| me.inner);
        self.seeds
            .iter()
            .copied()
            .filter(move |seed| Some(*seed) != own)
    }

    /// Closes the link to an address and no longer dials it.
    pub(super) fn hang_up(&mut self, address: SocketAddr) {
        self.dialed.swap_remove(&address);
        self.actions.push(OverlayAction::HangUp(address));
    }

    /// Closes the withdrawn link of an entry that has no work left here, once the
    /// entry cannot have sent more.
    pub(super) fn drained(&mut self, now: Instant, entry: &EntryId) {
        let is_of = |open: &OpenLink| open.entry.as_ref().is_some_and(|(name, _)| name == entry);
        let links = &self.links;
        let drained = self.dialed.iter().find(|(_, peer)| {
            let open = peer.link.and_then(|link| links.get(&link));
            let is_due = peer
                .close_from
                .is_some_and(|from| from + WITHDRAWN_KEPT <= now);
            peer.is_withdrawn && is_due && open.is_some_and(is_of)
        });
        if let Some(address) = drained.map(|(address, _)| *address) {
            self.hang_up(address);
        }
    }
}
