//! Links of an entry to agents and to the other entries.

use {
    chestnutrun_net::{Dialer, DialerConf, Link, LinkEvent, LinkId, LinkIds, LinkTiming},
    chestnutrun_protocol::{Hello, Message},
    chestnutrun_types::{AgentHello, Configuration, EndpointId, EntryId, Member},
    indexmap::IndexMap,
    std::{cell::RefCell, rc::Rc},
    tokio::sync::mpsc::Sender,
};

/// Who is at the other end of a link.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Peer {
    /// An agent, by its endpoint.
    Agent(EndpointId),
    /// An entry that dialed this one.
    Entry(EntryId),
    /// An entry that this one dialed.
    DialedEntry(EntryId),
}

/// A peer whose newest link closed.
#[derive(Clone, Debug)]
pub(crate) struct LinkLoss {
    /// The peer.
    pub(crate) peer: Peer,
    /// Whether no older link to it is open.
    pub(crate) is_gone: bool,
}

/// Links to agents and entries, and the dialers that keep the latter open.
#[derive(Debug)]
pub(crate) struct Links {
    me: Member,
    site_token: Rc<str>,
    ids: LinkIds,
    events: Sender<LinkEvent>,
    open: IndexMap<LinkId, (Link, Peer)>,
    agents: IndexMap<EndpointId, LinkId>,
    hellos: IndexMap<EndpointId, AgentHello>,
    dialed: IndexMap<EntryId, LinkId>,
    accepted: IndexMap<EntryId, LinkId>,
    dialers: IndexMap<EntryId, Dialer>,
}

impl Links {
    /// Creates a set without links.
    pub(crate) fn new(
        me: Member,
        site_token: Rc<str>,
        ids: LinkIds,
        events: Sender<LinkEvent>,
    ) -> Self {
        Self {
            me,
            site_token,
            ids,
            events,
            open: IndexMap::new(),
            agents: IndexMap::new(),
            hellos: IndexMap::new(),
            dialed: IndexMap::new(),
            accepted: IndexMap::new(),
            dialers: IndexMap::new(),
        }
    }

    /// Dials the other entries of the site, and no entry that left it.
    pub(crate) fn follow(&mut self, members: &[Member]) {
        let gone: Vec<EntryId> = self
            .dialers
            .iter()
            .filter(|(entry, dialer)| {
                !members
                    .iter()
                    .any(|m| m.entry == **entry && m.inner == dialer.address())
            })
            .map(|(entry, _)| entry.clone())
            .collect();
        for entry in gone {
            if let Some(dialer) = self.dialers.swap_remove(&entry) {
                dialer.close();
            }
        }
        for member in members {
            let is_me = member.entry == self.me.entry;
            if !is_me && !self.dialers.contains_key(&member.entry) {
                self.dial(member);
            }
        }
    }

    /// Notes an agent's link.
    pub(crate) fn agent_up(&mut self, link: Link, hello: AgentHello) {
        let endpoint = hello.endpoint.clone();
        self.agents.insert(endpoint.clone(), link.id());
        self.hellos.insert(endpoint.clone(), hello);
        self.open.insert(link.id(), (link, Peer::Agent(endpoint)));
    }

    /// Notes an agent's newer announcement on its link.
    pub(crate) fn agent_again(&mut self, hello: AgentHello) {
        self.hellos.insert(hello.endpoint.clone(), hello);
    }

    /// Notes a link that an entry opened.
    pub(crate) fn entry_up(&mut self, link: Link, entry: EntryId) {
        self.accepted.insert(entry.clone(), link.id());
        self.open.insert(link.id(), (link, Peer::Entry(entry)));
    }

    /// Notes a link that this entry opened.
    pub(crate) fn dialed_up(&mut self, link: Link, entry: EntryId) {
        self.dialed.insert(entry.clone(), link.id());
        self.open
            .insert(link.id(), (link, Peer::DialedEntry(entry)));
    }

    /// Returns who is at the other end of a link.
    pub(crate) fn peer(&self, id: LinkId) -> Option<&Peer> {
        self.open.get(&id).map(|(_, peer)| peer)
    }

    /// Notes a closed link; returns what that means where it was the newest
    /// link to its peer.
    pub(crate) fn down(&mut self, id: LinkId) -> Option<LinkLoss> {
        let (link, peer) = self.open.shift_remove(&id)?;
        link.close();
        let other = self.newest_to(&peer);
        let was_newest = match &peer {
            Peer::Agent(endpoint) => replace(&mut self.agents, endpoint, id, other),
            Peer::Entry(entry) => replace(&mut self.accepted, entry, id, other),
            Peer::DialedEntry(entry) => replace(&mut self.dialed, entry, id, other),
        };
        let is_gone = other.is_none();
        was_newest.then_some(LinkLoss { peer, is_gone })
    }

    /// Whether a message on this link counts: an older link of an agent may
    /// carry messages that were overtaken.
    pub(crate) fn is_newest(&self, id: LinkId) -> bool {
        match self.peer(id) {
            Some(Peer::Agent(endpoint)) => self.agents.get(endpoint) == Some(&id),
            Some(_) => true,
            None => false,
        }
    }

    fn newest_to(&self, peer: &Peer) -> Option<LinkId> {
        let mut to_peer = self.open.iter().filter(|(_, (_, other))| other == peer);
        to_peer.next_back().map(|(id, _)| *id)
    }

    /// Returns the newest announcement of an endpoint's agent.
    pub(crate) fn hello(&self, endpoint: &EndpointId) -> Option<&AgentHello> {
        self.hellos.get(endpoint)
    }

    /// Returns every agent that was ever linked, and whether it is now.
    pub(crate) fn known_agents(&self) -> Vec<(AgentHello, bool)> {
        self.hellos
            .values()
            .map(|hello| (hello.clone(), self.agents.contains_key(&hello.endpoint)))
            .collect()
    }

    /// Sends a message to an agent; returns false where it is out of reach.
    pub(crate) fn send_agent(&self, endpoint: &EndpointId, message: Message) -> bool {
        let id = self.agents.get(endpoint);
        self.send(id.copied(), message)
    }

    /// Sends a message to an entry; returns false where it is out of reach.
    pub(crate) fn send_entry(&self, entry: &EntryId, message: Message) -> bool {
        self.send(self.dialed.get(entry).copied(), message)
    }

    /// Answers an entry on the link on which it asks, so that it knows when
    /// the answer may be lost; returns false where that link is gone.
    pub(crate) fn answer_entry(&self, entry: &EntryId, message: Message) -> bool {
        self.send(self.accepted.get(entry).copied(), message)
    }

    /// Sends a message to every agent and every entry.
    pub(crate) fn send_all(&self, message: &Message) {
        for id in self.agents.values().chain(self.dialed.values()) {
            self.send(Some(*id), message.clone());
        }
    }

    /// Sends a configuration to every entry, and to every agent its part.
    pub(crate) fn send_configuration(&self, configuration: &Configuration) {
        for (endpoint, id) in &self.agents {
            let part = configuration.for_endpoint(endpoint);
            self.send(Some(*id), Message::Configuration(part));
        }
        for id in self.dialed.values() {
            self.send(Some(*id), Message::Configuration(configuration.clone()));
        }
    }

    /// Returns how many agents and how many entries are linked.
    pub(crate) fn counts(&self) -> (usize, usize) {
        (self.agents.len(), self.dialed.len())
    }

    /// Closes every link.
    pub(crate) fn close(self) {
        for (_, dialer) in self.dialers {
            dialer.close();
        }
    }

    fn send(&self, id: Option<LinkId>, message: Message) -> bool {
        id.and_then(|id| self.open.get(&id))
            .is_some_and(|(link, _)| link.send(message))
    }

    fn dial(&mut self, member: &Member) {
        let dialer = Dialer::open(DialerConf {
            entry: member.entry.clone(),
            address: member.inner,
            site_token: self.site_token.clone(),
            hello: Rc::new(RefCell::new(Hello::Entry(self.me.clone()))),
            ids: self.ids.clone(),
            timing: LinkTiming::default(),
            events: self.events.clone(),
        });
        self.dialers.insert(member.entry.clone(), dialer);
    }
}

/// Puts another link, or none, in the place of a closed one; returns whether
/// it was there.
fn replace<K: std::hash::Hash + Eq>(
    of: &mut IndexMap<K, LinkId>,
    key: &K,
    closed: LinkId,
    other: Option<LinkId>,
) -> bool {
    let Some(newest) = of.get_mut(key).filter(|newest| **newest == closed) else {
        return false;
    };
    match other {
        Some(other) => *newest = other,
        None => {
            of.swap_remove(key);
        }
    }
    true
}
