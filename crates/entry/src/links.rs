//! Links of an entry to agents and to the other entries.

use {
    chestnutrun_net::{Dialer, DialerConf, Link, LinkEvent, LinkId, LinkIds, LinkTiming},
    chestnutrun_protocol::{Hello, Message},
    chestnutrun_types::{AgentHello, Configuration, EndpointId, EntryId, Member},
    indexmap::IndexMap,
    std::{cell::RefCell, rc::Rc},
    tokio::sync::mpsc::Sender,
};

/// Process at the other end of a link.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Peer {
    /// The agent of this endpoint, which opened the link.
    Agent(EndpointId),
    /// An entry that opened the link to this entry.
    Entry(EntryId),
    /// An entry to which this entry opened the link.
    DialedEntry(EntryId),
}

/// Loss of the newest link of a peer.
#[derive(Clone, Debug)]
pub(crate) struct LinkLoss {
    /// Peer of the closed link.
    pub(crate) peer: Peer,
    /// Whether the peer has no other open link.
    pub(crate) is_disconnected: bool,
}

/// Links to agents and entries, and the dialers that keep the links to entries open.
#[derive(Debug)]
pub(crate) struct Links {
    me: Member,
    site_token: Rc<str>,
    ids: LinkIds,
    events: Sender<LinkEvent>,
    /// Open links, in the order in which they opened.
    open: IndexMap<LinkId, (Link, Peer)>,
    /// Newest link of each linked agent.
    agents: IndexMap<EndpointId, LinkId>,
    /// Newest hello (the agent's description of itself) of each agent, including agents
    /// that are disconnected.
    hellos: IndexMap<EndpointId, AgentHello>,
    /// Newest link that this entry opened to each entry.
    dialed: IndexMap<EntryId, LinkId>,
    /// Newest link that each entry opened to this one.
    accepted: IndexMap<EntryId, LinkId>,
    dialers: IndexMap<EntryId, Dialer>,
}

impl Links {
    /// Creates an empty set of links.
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

    /// Dials the other entries of the site; closes the dialers of entries that left it
    /// or changed their address.
    pub(crate) fn update_members(&mut self, members: &[Member]) {
        let removed: Vec<EntryId> = self
            .dialers
            .iter()
            .filter(|(entry, dialer)| {
                !members
                    .iter()
                    .any(|m| m.entry == **entry && m.inner == dialer.address())
            })
            .map(|(entry, _)| entry.clone())
            .collect();
        for entry in removed {
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

    /// Adds a link that an agent opened.
    pub(crate) fn add_agent(&mut self, link: Link, hello: AgentHello) {
        let endpoint = hello.endpoint.clone();
        self.agents.insert(endpoint.clone(), link.id());
        self.hellos.insert(endpoint.clone(), hello);
        self.open.insert(link.id(), (link, Peer::Agent(endpoint)));
    }

    /// Records a newer hello of a linked agent.
    pub(crate) fn update_agent(&mut self, hello: AgentHello) {
        self.hellos.insert(hello.endpoint.clone(), hello);
    }

    /// Adds a link that an entry opened.
    pub(crate) fn add_accepted(&mut self, link: Link, entry: EntryId) {
        self.accepted.insert(entry.clone(), link.id());
        self.open.insert(link.id(), (link, Peer::Entry(entry)));
    }

    /// Adds a link that this entry opened.
    pub(crate) fn add_dialed(&mut self, link: Link, entry: EntryId) {
        self.dialed.insert(entry.clone(), link.id());
        self.open
            .insert(link.id(), (link, Peer::DialedEntry(entry)));
    }

    /// Returns the process at the other end of a link; none if the link is closed.
    pub(crate) fn peer(&self, id: LinkId) -> Option<&Peer> {
        self.open.get(&id).map(|(_, peer)| peer)
    }

    /// Removes a closed link; returns the loss if it was the newest link of its peer.
    pub(crate) fn remove(&mut self, id: LinkId) -> Option<LinkLoss> {
        let (link, peer) = self.open.shift_remove(&id)?;
        link.close();
        let replacement = self.newest_to(&peer);
        let was_newest = match &peer {
            Peer::Agent(endpoint) => replace_newest(&mut self.agents, endpoint, id, replacement),
            Peer::Entry(entry) => replace_newest(&mut self.accepted, entry, id, replacement),
            Peer::DialedEntry(entry) => replace_newest(&mut self.dialed, entry, id, replacement),
        };
        let is_disconnected = replacement.is_none();
        was_newest.then_some(LinkLoss {
            peer,
            is_disconnected,
        })
    }

    /// Returns whether messages on this link are valid. Messages on an agent's older link
    /// may be outdated by messages on the agent's newest link.
    pub(crate) fn is_newest(&self, id: LinkId) -> bool {
        match self.peer(id) {
            Some(Peer::Agent(endpoint)) => self.agents.get(endpoint) == Some(&id),
            Some(_) => true,
            None => false,
        }
    }

    /// Returns the newest open link to a peer; none if no link is open.
    fn newest_to(&self, peer: &Peer) -> Option<LinkId> {
        let mut to_peer = self.open.iter().filter(|(_, (_, other))| other == peer);
        to_peer.next_back().map(|(id, _)| *id)
    }

    /// Returns the newest hello of an endpoint's agent.
    pub(crate) fn hello(&self, endpoint: &EndpointId) -> Option<&AgentHello> {
        self.hellos.get(endpoint)
    }

    /// Returns the newest hello of every agent that was ever linked, and whether that
    /// agent is linked now.
    pub(crate) fn known_agents(&self) -> Vec<(AgentHello, bool)> {
        self.hellos
            .values()
            .map(|hello| (hello.clone(), self.agents.contains_key(&hello.endpoint)))
            .collect()
    }

    /// Sends a message to an agent; returns false if the agent is not linked or the
    /// message cannot be queued.
    pub(crate) fn send_agent(&self, endpoint: &EndpointId, message: Message) -> bool {
        let id = self.agents.get(endpoint);
        self.send(id.copied(), message)
    }

    /// Sends a message to an entry on the link that this entry opened; returns false if
    /// there is none or the message cannot be queued.
    pub(crate) fn send_entry(&self, entry: &EntryId, message: Message) -> bool {
        self.send(self.dialed.get(entry).copied(), message)
    }

    /// Sends a reply on the link that the other entry opened and on which it sends its
    /// requests: if that link closes, the other entry knows that replies may be lost.
    /// Returns false if there is no such link or the message cannot be queued.
    pub(crate) fn reply_to_entry(&self, entry: &EntryId, message: Message) -> bool {
        self.send(self.accepted.get(entry).copied(), message)
    }

    /// Sends a message to every linked agent and every linked entry.
    pub(crate) fn send_all(&self, message: &Message) {
        for id in self.agents.values().chain(self.dialed.values()) {
            self.send(Some(*id), message.clone());
        }
    }

    /// Sends a configuration to every linked entry, and the part about its endpoint to
    /// every linked agent.
    pub(crate) fn send_configuration(&self, configuration: &Configuration) {
        for (endpoint, id) in &self.agents {
            let part = configuration.for_endpoint(endpoint);
            self.send(Some(*id), Message::Configuration(part));
        }
        for id in self.dialed.values() {
            self.send(Some(*id), Message::Configuration(configuration.clone()));
        }
    }

    /// Returns the numbers of linked agents and linked entries.
    pub(crate) fn counts(&self) -> (usize, usize) {
        (self.agents.len(), self.dialed.len())
    }

    /// Closes all dialers and their links.
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

/// Replaces a peer's closed link by another one, or removes the peer if it has no other;
/// returns false if the closed link was not the newest of its peer.
fn replace_newest<K: std::hash::Hash + Eq>(
    links: &mut IndexMap<K, LinkId>,
    key: &K,
    closed: LinkId,
    replacement: Option<LinkId>,
) -> bool {
    let Some(newest) = links.get_mut(key).filter(|newest| **newest == closed) else {
        return false;
    };
    match replacement {
        Some(replacement) => *newest = replacement,
        None => {
            links.swap_remove(key);
        }
    }
    true
}
