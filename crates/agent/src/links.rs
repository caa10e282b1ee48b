//! Links of an agent to the site's entries.

use {
    chestnutrun_net::{Dialer, DialerConf, Link, LinkEvent, LinkId, LinkIds, LinkTiming},
    chestnutrun_protocol::{Hello, Message},
    chestnutrun_types::{AgentHello, EntryId, Member, MemberList, Revision},
    indexmap::{IndexMap, IndexSet},
    std::{cell::RefCell, net::SocketAddr, rc::Rc},
    tokio::sync::mpsc::Sender,
};

/// Links to entries, and the dialers that keep them open.
#[derive(Debug)]
pub(crate) struct Links {
    site_token: Rc<str>,
    hello: Rc<RefCell<Hello>>,
    ids: LinkIds,
    events: Sender<LinkEvent>,
    dialers: IndexMap<SocketAddr, Dialer>,
    /// Open links. A link is in no other map until its entry sends a hello.
    open: IndexMap<LinkId, Link>,
    /// The entry at the other end of each link, from its hello.
    peers: IndexMap<LinkId, Member>,
    /// Addresses in the newest member list; empty before the first list.
    member_addresses: IndexSet<SocketAddr>,
    /// Revision of the newest member list.
    list_revision: Revision,
    /// Newest link of each entry.
    by_entry: IndexMap<EntryId, LinkId>,
}

impl Links {
    /// Starts to dial the seeds, the entries' addresses from the settings.
    pub(crate) fn open(
        site_token: Rc<str>,
        hello: AgentHello,
        events: Sender<LinkEvent>,
        seeds: &[SocketAddr],
    ) -> Self {
        let mut links = Self {
            site_token,
            hello: Rc::new(RefCell::new(Hello::Agent(hello))),
            ids: LinkIds::default(),
            events,
            dialers: IndexMap::new(),
            open: IndexMap::new(),
            peers: IndexMap::new(),
            member_addresses: IndexSet::new(),
            list_revision: 0,
            by_entry: IndexMap::new(),
        };
        for seed in seeds {
            links.dial(*seed);
        }
        links
    }

    /// Dials the entries in a member list.
    ///
    /// Entries read the table at different moments, so an older list may arrive
    /// after a newer one; the older list is ignored. A link to an entry that is no longer
    /// listed stays open, but is not dialed again after it closes.
    pub(crate) fn update_members(&mut self, list: &MemberList) {
        if list.members.is_empty() || list.revision < self.list_revision {
            return;
        }
        self.list_revision = list.revision;
        self.member_addresses = list.members.iter().map(|member| member.inner).collect();
        for address in self.member_addresses.clone() {
            self.dial(address);
        }
        self.close_unlisted();
    }

    /// Adds an open link whose entry has not sent its hello yet.
    pub(crate) fn add(&mut self, link: Link) {
        self.open.insert(link.id(), link);
    }

    /// Records which entry is at the other end of a link.
    pub(crate) fn set_peer(&mut self, id: LinkId, member: Member) {
        self.by_entry.insert(member.entry.clone(), id);
        self.peers.insert(id, member);
    }

    /// Returns the entry at the other end of a link; none before the entry's hello.
    pub(crate) fn entry(&self, id: LinkId) -> Option<&EntryId> {
        self.peers.get(&id).map(|member| &member.entry)
    }

    /// Removes a closed link. Returns its entry if the link was the entry's newest
    /// link, so that the entry is now disconnected.
    pub(crate) fn remove(&mut self, id: LinkId) -> Option<EntryId> {
        if let Some(link) = self.open.swap_remove(&id) {
            link.close();
        }
        let entry = self.peers.swap_remove(&id)?.entry;
        self.close_unlisted();
        if self.by_entry.get(&entry) != Some(&id) {
            return None;
        }
        self.by_entry.swap_remove(&entry);
        Some(entry)
    }

    /// Sends a message to an entry; returns false if the entry is not linked or the
    /// message cannot be queued.
    pub(crate) fn send(&self, entry: &EntryId, message: Message) -> bool {
        self.by_entry
            .get(entry)
            .and_then(|id| self.open.get(id))
            .is_some_and(|link| link.send(message))
    }

    /// Returns the number of linked entries.
    pub(crate) fn count(&self) -> usize {
        self.by_entry.len()
    }

    /// Sends a changed hello on open links and uses it for all later links.
    pub(crate) fn announce(&self, hello: AgentHello) {
        let hello = Hello::Agent(hello);
        *self.hello.borrow_mut() = hello.clone();
        for entry in self.by_entry.keys() {
            self.send(entry, Message::Hello(hello.clone()));
        }
    }

    /// Sends a message to every linked entry.
    pub(crate) fn send_all(&self, message: &Message) {
        for entry in self.by_entry.keys() {
            self.send(entry, message.clone());
        }
    }

    /// Closes all dialers and their links.
    pub(crate) fn close(self) {
        for (_, dialer) in self.dialers {
            dialer.close();
        }
    }

    /// Closes the dialers of addresses that are not in the member list and have no
    /// open link.
    fn close_unlisted(&mut self) {
        if self.member_addresses.is_empty() {
            return;
        }
        let linked = self.peers.values().map(|member| member.inner);
        let kept: IndexSet<SocketAddr> = self
            .member_addresses
            .iter()
            .copied()
            .chain(linked)
            .collect();
        let dialers = std::mem::take(&mut self.dialers);
        for (address, dialer) in dialers {
            if kept.contains(&address) {
                self.dialers.insert(address, dialer);
            } else {
                dialer.close();
            }
        }
    }

    fn dial(&mut self, address: SocketAddr) {
        if self.dialers.contains_key(&address) {
            return;
        }
        let dialer = Dialer::open(DialerConf {
            entry: address.to_string().into(),
            address,
            site_token: self.site_token.clone(),
            hello: self.hello.clone(),
            ids: self.ids.clone(),
            timing: LinkTiming::default(),
            events: self.events.clone(),
        });
        self.dialers.insert(address, dialer);
    }
}
