//! Links of an entry to agents and to other entries.

use {
    chestnutrun_net::{Link, LinkId},
    chestnutrun_protocol::Message,
    chestnutrun_types::{AgentId, Incarnation, Member},
    indexmap::IndexMap,
    std::net::SocketAddr,
};

/// Who is at the other end of a link.
#[derive(Clone, Debug)]
pub(crate) enum Peer {
    /// An agent.
    Agent(AgentId, Incarnation),
    /// An entry; none while it has not named itself.
    Entry(Option<Member>),
}

/// Links of an entry to agents and to other entries.
#[derive(Debug, Default)]
pub(crate) struct EntryPeers {
    open: IndexMap<LinkId, (Link, Peer)>,
    agents: IndexMap<AgentId, LinkId>,
}

impl EntryPeers {
    pub(crate) fn up(&mut self, link: Link, peer: Peer) {
        if let Peer::Agent(agent, _) = &peer {
            self.agents.insert(agent.clone(), link.id());
        }
        self.open.insert(link.id(), (link, peer));
    }

    /// Notes the name of an entry.
    pub(crate) fn name(&mut self, id: LinkId, member: Member) {
        if let Some((_, peer @ Peer::Entry(_))) = self.open.get_mut(&id) {
            *peer = Peer::Entry(Some(member));
        }
    }

    /// Notes a closed link; returns the agent that is now out of reach.
    pub(crate) fn down(&mut self, id: LinkId) -> Option<AgentId> {
        let (link, peer) = self.open.swap_remove(&id)?;
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

    /// Returns who is at the other end of a link that no newer one replaced.
    pub(crate) fn peer(&self, id: LinkId) -> Option<&Peer> {
        let (_, peer) = self.open.get(&id)?;
        let is_present = match peer {
            Peer::Agent(agent, _) => self.agents.get(agent) == Some(&id),
            Peer::Entry(_) => true,
        };
        is_present.then_some(peer)
    }

    /// Sends a message to an agent; returns false where it is out of reach.
    pub(crate) fn send_agent(&self, agent: &AgentId, message: Message) -> bool {
        self.agents
            .get(agent)
            .is_some_and(|id| self.send(*id, message))
    }

    pub(crate) fn send(&self, id: LinkId, message: Message) -> bool {
        self.open
            .get(&id)
            .is_some_and(|(link, _)| link.send(message))
    }

    pub(crate) fn send_all(&self, message: &Message) {
        for (link, _) in self.open.values() {
            // A link that closed meanwhile reports so by itself.
            let _ = link.send(message.clone());
        }
    }

    /// Returns the agents that are linked.
    pub(crate) fn agents(&self) -> impl ExactSizeIterator<Item = AgentId> {
        self.agents.keys().cloned()
    }

    /// Returns how many agents are linked.
    pub(crate) fn agent_links(&self) -> usize {
        self.agents.len()
    }

    /// Returns the entries that are linked.
    pub(crate) fn entries(&self) -> Vec<Member> {
        let mut entries: Vec<Member> = Vec::new();
        for (_, peer) in self.open.values() {
            if let Peer::Entry(Some(member)) = peer
                && !entries.iter().any(|known| known.entry == member.entry)
            {
                entries.push(member.clone());
            }
        }
        entries
    }

    /// Returns the addresses of the entries that are linked.
    pub(crate) fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.entries().iter().map(|member| member.inner).collect()
    }
}
