//! Decides which entries a process links to, and passes on the membership.

use {
    crate::overlay::{
        MemberView, OverlayAction, OverlayConf, OverlayInput, PeerLink, PeerOrder,
        dialed_peer::DialedPeer, open_link::OpenLink,
    },
    chestnutrun_types::{EntryId, Member, Now},
    indexmap::IndexMap,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time between two choices of links while neither members nor links change.
const CHOOSE_INTERVAL: Duration = Duration::from_millis(250);

/// Decides which entries a process links to, and passes on the membership.
#[derive(Debug)]
pub struct OverlayMachine {
    pub(super) me: Option<Member>,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) order: Box<dyn PeerOrder>,
    pub(super) view: MemberView,
    pub(super) links: IndexMap<PeerLink, OpenLink>,
    pub(super) dialed: IndexMap<SocketAddr, DialedPeer>,
    /// A seed that is dialed although other entries are linked, which joins parts
    /// of the site that lost each other.
    pub(super) probed_seed: Option<SocketAddr>,
    /// Time of the next choice of links; none if it is due at the next tick.
    pub(super) choose_at: Option<Instant>,
    /// Moment until which this process has just started; none before the first
    /// tick.
    pub(super) fresh_until: Option<Instant>,
    pub(super) compare_at: Option<Instant>,
    pub(super) comparisons: usize,
    pub(super) actions: Vec<OverlayAction>,
}

impl OverlayMachine {
    /// Creates the overlay of a process without links.
    #[must_use]
    pub fn new(conf: OverlayConf) -> Self {
        Self {
            me: conf.me,
            seeds: conf.seeds,
            order: conf.order,
            view: MemberView::default(),
            links: IndexMap::new(),
            dialed: IndexMap::new(),
            probed_seed: None,
            choose_at: None,
            fresh_until: None,
            compare_at: None,
            comparisons: 0,
            actions: Vec::new(),
        }
    }

    /// Handles an input and returns the actions.
    pub fn handle(&mut self, now: Now, input: OverlayInput) -> Vec<OverlayAction> {
        let at = now.instant;
        if input != OverlayInput::Tick {
            self.choose_at = None;
        }
        match input {
            OverlayInput::LinkOpened(link, address) => self.link_opened(at, link, address),
            OverlayInput::PeerNamed(link, member) => self.peer_named(at, link, &member),
            OverlayInput::LinkClosed(link) => self.link_closed(at, link),
            OverlayInput::Registered(members) => self.add_all(at, &members),
            OverlayInput::Received(link, list) => self.received(at, link, &list),
            OverlayInput::SeedsChanged(seeds) => self.seeds = seeds,
            OverlayInput::Drained(entry) => self.drained(at, &entry),
            OverlayInput::Leave => self.leave(at),
            OverlayInput::Tick => self.tick(at),
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the known entries, without this one.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.view.members()
    }

    /// Returns whether a link to an entry is open.
    #[must_use]
    pub fn has_entry_link(&self) -> bool {
        self.links.values().any(|open| open.entry.is_some())
    }

    /// Returns the entries whose links are closed once their work here is done.
    #[must_use]
    pub fn withdrawn(&self) -> Vec<EntryId> {
        let withdrawn = self.dialed.values().filter(|peer| peer.is_withdrawn);
        let links = withdrawn.filter_map(|peer| self.links.get(&peer.link?));
        let entries = links.filter_map(|open| open.entry.as_ref());
        entries.map(|(entry, _)| entry.clone()).collect()
    }

    fn link_opened(&mut self, now: Instant, link: PeerLink, address: Option<SocketAddr>) {
        if let Some(peer) = address.and_then(|address| self.dialed.get_mut(&address)) {
            peer.link = Some(link);
        }
        self.links.insert(link, OpenLink::new(now, address));
        if address.is_some() && self.view.members().next().is_none() {
            self.send_digest(link);
        }
    }

    fn peer_named(&mut self, now: Instant, link: PeerLink, member: &Member) {
        if let Some(open) = self.links.get_mut(&link) {
            open.entry = Some((member.entry.clone(), member.incarnation));
        }
        if !self.is_me(&member.entry) {
            self.view.add_present(now, member);
        }
    }

    fn link_closed(&mut self, now: Instant, link: PeerLink) {
        let address = self.links.swap_remove(&link).and_then(|open| open.address);
        if let Some(peer) = address.and_then(|address| self.dialed.get_mut(&address))
            && peer.link == Some(link)
        {
            peer.unlink(now);
        }
    }

    fn tick(&mut self, now: Instant) {
        if self.choose_at.is_none_or(|at| at <= now) {
            self.choose_at = Some(now + CHOOSE_INTERVAL);
            self.view.expire(now);
            self.give_up_lost(now);
            self.choose_links(now);
        }
        self.spread_news();
        self.send_due_lists(now);
        self.compare_if_due(now);
    }

    pub(super) fn is_me(&self, entry: &EntryId) -> bool {
        self.me.as_ref().is_some_and(|me| me.entry == *entry)
    }
}
