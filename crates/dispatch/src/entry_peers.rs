//! Links of an entry to agents and to other entries.

use {
    chestnutrun_net::{Link, LinkId},
    chestnutrun_protocol::Message,
    chestnutrun_types::{AgentId, Incarnation, Member},
    indexmap::IndexMap,
    std::net::SocketAddr,
};

/// The process at the other end of a link.
#[derive(Clone, Debug)]
pub(crate) enum Peer {
    /// An agent, with the incarnation that opened the link.
    Agent(AgentId, Incarnation),
    /// An entry; none until it sends its hello.
    Entry(Option<Member>),
}

/// Links of an entry to agents and to other entries.
#[derive(Debug, Default)]
pub(crate) struct EntryPeers {
    links: IndexMap<LinkId, (Link, Peer)>,
    /// The newest link of each agent.
    agents: IndexMap<AgentId, LinkId>,
}

impl EntryPeers {
    /// Adds an open link; it replaces an earlier link of the same agent.
    pub(crate) fn add(&mut self, link: Link, peer: Peer) {
        if let Peer::Agent(agent, _) = &peer {
            self.agents.insert(agent.clone(), link.id());
        }
        self.links.insert(link.id(), (link, peer));
    }

    /// Records which entry is at the other end of a link.
    pub(crate) fn set_member(&mut self, id: LinkId, member: Member) {
        if let Some((_, peer @ Peer::Entry(_))) = self.links.get_mut(&id) {
            *peer = Peer::Entry(Some(member));
        }
    }

    /// Removes a closed link; returns the agent that has no link any more.
    pub(crate) fn remove(&mut self, id: LinkId) -> Option<AgentId> {
        let (link, peer) = self.links.swap_remove(&id)?;
        link.close();
        let Peer::Agent(agent, _) = peer else {
            return None;
        };
        if self.agents.get(&agent) != Some(&id) {
            return None;
        }
        self.agents.swap_remove(&agent);
        Some(agent)
    }

    /// Returns the peer of a link; none if a newer link of the same agent replaced
    /// it.
    pub(crate) fn peer(&self, id: LinkId) -> Option<&Peer> {
        let (_, peer) = self.links.get(&id)?;
        let is_present = match peer {
            Peer::Agent(agent, _) => self.agents.get(agent) == Some(&id),
            Peer::Entry(_) => true,
        };
        is_present.then_some(peer)
    }

    /// Sends a message to an agent; returns false if it has no open link.
    pub(crate) fn send_to_agent(&self, agent: &AgentId, message: Message) -> bool {
        self.agents
            .get(agent)
            .is_some_and(|id| self.send(*id, message))
    }

    /// Sends a message on a link; returns false if the link is closed.
    pub(crate) fn send(&self, id: LinkId, message: Message) -> bool {
        self.links
            .get(&id)
            .is_some_and(|(link, _)| link.send(message))
    }

    /// Sends a message on every link.
    pub(crate) fn send_all(&self, message: &Message) {
        for (link, _) in self.links.values() {
            // A closed link reports `LinkEvent::Down`, which removes it.
            let _ = link.send(message.clone());
        }
    }

    /// Returns the linked agents.
    pub(crate) fn agents(&self) -> impl ExactSizeIterator<Item = AgentId> {
        self.agents.keys().cloned()
    }

    /// Returns the number of linked agents.
    pub(crate) fn agent_count(&self) -> usize {
        self.agents.len()
    }

    /// Returns the linked entries, each once.
    pub(crate) fn entries(&self) -> Vec<Member> {
        let mut entries: Vec<Member> = Vec::new();
        for (_, peer) in self.links.values() {
            if let Peer::Entry(Some(member)) = peer
                && !entries.iter().any(|known| known.entry == member.entry)
            {
                entries.push(member.clone());
            }
        }
        entries
    }

    /// Returns the link addresses of the linked entries.
    pub(crate) fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.entries().iter().map(|member| member.inner).collect()
    }
}
