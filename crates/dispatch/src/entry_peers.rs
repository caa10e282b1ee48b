//! Links of an entry to agents and to other entries.

use {
    chestnutrun_net::{Link, LinkId},
    chestnutrun_protocol::Message,
    chestnutrun_types::{AgentId, Incarnation},
    indexmap::IndexMap,
};

/// The process at the other end of a link.
#[derive(Clone, Debug)]
pub(crate) enum Peer {
    /// An agent, with the incarnation that opened the link.
    Agent(AgentId, Incarnation),
    /// An entry.
    Entry,
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
            Peer::Entry => true,
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

    /// Returns the number of links to entries.
    pub(crate) fn entry_count(&self) -> usize {
        let peers = self.links.values().map(|(_, peer)| peer);
        peers.filter(|peer| matches!(peer, Peer::Entry)).count()
    }
}
