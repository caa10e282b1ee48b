//! Links of an agent to the site's entries.

use {
    chestnutrun_net::{Dialer, DialerConf, Link, LinkEvent, LinkId, LinkIds, LinkTiming},
    chestnutrun_protocol::{Hello, Message},
    chestnutrun_types::{AgentHello, EntryId, Member, MemberList, Revision},
    indexmap::{IndexMap, IndexSet},
    std::{cell::RefCell, net::SocketAddr, rc::Rc},
    tokio::sync::mpsc::Sender,
};

/// Links to entries, by name, and the dialers that keep them open.
#[derive(Debug)]
pub(crate) struct Links {
    site_token: Rc<str>,
    hello: Rc<RefCell<Hello>>,
    ids: LinkIds,
    events: Sender<LinkEvent>,
    dialers: IndexMap<SocketAddr, Dialer>,
    open: IndexMap<LinkId, Link>,
    names: IndexMap<LinkId, Member>,
    listed: IndexSet<SocketAddr>,
    listed_at: Revision,
    by_entry: IndexMap<EntryId, LinkId>,
}

impl Links {
    /// Starts to dial the first addresses.
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
            names: IndexMap::new(),
            listed: IndexSet::new(),
            listed_at: 0,
            by_entry: IndexMap::new(),
        };
        for seed in seeds {
            links.dial(*seed);
        }
        links
    }

    /// Dials the entries of the site, as the newest list names them.
    ///
    /// Entries read the table at different moments, so an older list may come
    /// after a newer one; it is passed over. An open link stays, whatever the
    /// list says; it is not opened again.
    pub(crate) fn follow(&mut self, list: &MemberList) {
        if list.members.is_empty() || list.revision < self.listed_at {
            return;
        }
        self.listed_at = list.revision;
        self.listed = list.members.iter().map(|member| member.inner).collect();
        for address in self.listed.clone() {
            self.dial(address);
        }
        self.close_unlisted();
    }

    /// Notes an open link whose entry has not named itself yet.
    pub(crate) fn up(&mut self, link: Link) {
        self.open.insert(link.id(), link);
    }

    /// Notes the name of the entry at the other end.
    pub(crate) fn name(&mut self, id: LinkId, member: Member) {
        self.by_entry.insert(member.entry.clone(), id);
        self.names.insert(id, member);
    }

    /// Returns the entry at the other end of a link.
    pub(crate) fn entry(&self, id: LinkId) -> Option<&EntryId> {
        self.names.get(&id).map(|member| &member.entry)
    }

    /// Notes a closed link; returns the entry that is now out of reach.
    pub(crate) fn down(&mut self, id: LinkId) -> Option<EntryId> {
        if let Some(link) = self.open.swap_remove(&id) {
            link.close();
        }
        let entry = self.names.swap_remove(&id)?.entry;
        self.close_unlisted();
        if self.by_entry.get(&entry) != Some(&id) {
            return None;
        }
        self.by_entry.swap_remove(&entry);
        Some(entry)
    }

    /// Sends a message to an entry; returns false where it is out of reach.
    pub(crate) fn send(&self, entry: &EntryId, message: Message) -> bool {
        self.by_entry
            .get(entry)
            .and_then(|id| self.open.get(id))
            .is_some_and(|link| link.send(message))
    }

    /// Returns how many entries are linked.
    pub(crate) fn count(&self) -> usize {
        self.by_entry.len()
    }

    /// Announces the endpoint anew, on open and later links.
    pub(crate) fn announce(&self, hello: AgentHello) {
        let hello = Hello::Agent(hello);
        *self.hello.borrow_mut() = hello.clone();
        for entry in self.by_entry.keys() {
            self.send(entry, Message::Hello(hello.clone()));
        }
    }

    /// Sends a message to every entry.
    pub(crate) fn send_all(&self, message: &Message) {
        for entry in self.by_entry.keys() {
            self.send(entry, message.clone());
        }
    }

    /// Closes every link.
    pub(crate) fn close(self) {
        for (_, dialer) in self.dialers {
            dialer.close();
        }
    }

    /// Closes the dialers of addresses that the list lacks and no link uses.
    fn close_unlisted(&mut self) {
        if self.listed.is_empty() {
            return;
        }
        let linked = self.names.values().map(|member| member.inner);
        let kept: IndexSet<SocketAddr> = self.listed.iter().copied().chain(linked).collect();
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
