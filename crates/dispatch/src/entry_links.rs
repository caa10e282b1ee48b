//! Links and the directory of an entry.

use {
    crate::{
        DirectoryEvent, EntryLoop,
        entry_peers::Peer,
        overlay_links::{OverlayEffect, OverlayLinks},
    },
    chestnutrun_decisions::{
        evacuation::EvacuationInput, overlay::OverlayInput, placement::DispatchInput,
    },
    chestnutrun_net::{Link, LinkEvent, LinkId, PeerName},
    chestnutrun_protocol::{Hello, Message},
    chestnutrun_types::{AgentId, CancelledJob, Incarnation, MemberList, Now, RoutingTable},
};

impl EntryLoop {
    pub(crate) fn handle_directory_event(&mut self, event: DirectoryEvent) {
        match event {
            DirectoryEvent::Routing(table) => self.update_routing(table, "directory"),
            DirectoryEvent::Evacuated(zones) => {
                self.handle_evacuation(EvacuationInput::Read(zones));
            }
            DirectoryEvent::ZoneChanges(changes) => {
                self.handle_evacuation(EvacuationInput::Changed(changes));
            }
            DirectoryEvent::Members(members) => {
                self.handle_overlay(OverlayLinks::registered(members));
            }
            DirectoryEvent::Reachable(is_reachable) => {
                self.fallback
                    .record_directory(Now::read().instant, is_reachable);
                self.recorder.record_dependency("directory", is_reachable);
            }
            DirectoryEvent::Note(event) => self.recorder.record(Now::read(), event),
        }
    }

    fn update_routing(&mut self, table: RoutingTable, source: &'static str) {
        let (version, replaced) = (table.version, self.routing.version());
        if self.routing.replace_if_newer(table) {
            self.recorder.record_routing(version, replaced, source);
            self.peers.send_all(&Message::RoutingVersion(version));
        }
    }

    pub(crate) fn handle_link_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up(link, peer) => self.handle_link_up(link, peer),
            LinkEvent::Message(id, message) => self.handle_message(id, message),
            LinkEvent::PeerAlive(..) => {}
            LinkEvent::Down(id) => {
                self.routing_sync.remove_peer(id);
                self.handle_evacuation(EvacuationInput::LinkClosed(id));
                self.handle_overlay(OverlayInput::LinkClosed(id));
                if let Some(agent) = self.peers.remove(id) {
                    self.handle_input(DispatchInput::AgentDown(agent));
                }
            }
        }
    }

    fn handle_link_up(&mut self, link: Link, name: PeerName) {
        let id = link.id();
        let opened = OverlayLinks::opened(id, &name);
        let (peer, member) = match name {
            PeerName::Accepted(Hello::Guard(hello)) => {
                // No task may be assigned over the new link until the agent has
                // reported its tasks there.
                self.handle_input(DispatchInput::AgentDown(hello.agent.clone()));
                (Peer::Agent(hello.agent, hello.incarnation), None)
            }
            PeerName::Accepted(Hello::Entry(member)) => (Peer::Entry, Some(member)),
            PeerName::Accepted(Hello::Agent(hello)) => {
                log::warn!(
                    "closed the link of agent {}: the agent belongs to a site with shard owners",
                    hello.endpoint
                );
                link.close();
                return;
            }
            PeerName::Dialed(_) => (Peer::Entry, None),
        };
        self.peers.add(link, peer);
        // A closed link reports `LinkEvent::Down`, which removes it.
        self.peers
            .send(id, Message::Hello(Hello::Entry(self.me.clone())));
        self.peers
            .send(id, Message::RoutingVersion(self.routing.version()));
        let cancelled = self.dispatcher.cancelled_jobs(Now::read().instant);
        if !cancelled.is_empty() {
            self.peers.send(id, told_as_cancelled(cancelled));
        }
        self.handle_evacuation(EvacuationInput::LinkOpened(id));
        self.handle_overlay(opened);
        if let Some(member) = member {
            self.handle_overlay(OverlayInput::PeerNamed(id, member));
        }
    }

    fn handle_message(&mut self, id: LinkId, message: Message) {
        match message {
            Message::RoutingVersion(version) => {
                let now = Now::read().instant;
                self.routing_sync
                    .record_version(now, self.routing.version(), id, version);
            }
            Message::RoutingRequest => {
                if let Some(table) = self.routing.table() {
                    self.peers.send(id, Message::Routing((*table).clone()));
                }
            }
            Message::Routing(table) => self.update_routing(table, "peer"),
            Message::Members(mut list) => {
                if let Some(zones) = list.evacuated.take() {
                    self.handle_evacuation(EvacuationInput::Received(id, zones));
                }
                let cancelled = std::mem::take(&mut list.cancelled);
                if !cancelled.is_empty() {
                    self.handle_input(DispatchInput::CancelledElsewhere(cancelled));
                }
                self.handle_overlay(OverlayLinks::received(id, list));
            }
            message => match self.peers.peer(id).cloned() {
                Some(Peer::Agent(agent, incarnation)) => {
                    self.handle_agent_message(agent, incarnation, message);
                }
                Some(Peer::Entry) => self.handle_entry_message(id, message),
                None => log::debug!(
                    "ignored message {} on a closed or replaced link",
                    message.kind()
                ),
            },
        }
    }

    fn handle_agent_message(&mut self, agent: AgentId, incarnation: Incarnation, message: Message) {
        let input = match message {
            Message::Resync(resync) => DispatchInput::AgentUp(agent, incarnation, resync),
            Message::Endpoint(info) => DispatchInput::EndpointChanged(agent, info),
            Message::Update(update) => DispatchInput::Update(agent, update),
            other => {
                log::warn!("ignored message {}, which no agent sends", other.kind());
                return;
            }
        };
        self.handle_input(input);
    }

    fn handle_entry_message(&mut self, id: LinkId, message: Message) {
        match message {
            Message::Hello(Hello::Entry(member)) => {
                self.handle_overlay(OverlayInput::PeerNamed(id, member));
            }
            other => log::warn!("ignored message {}, which no entry sends", other.kind()),
        }
    }

    /// Tells the linked entries and agents of the jobs that were cancelled since the last
    /// call. Agents remember them for entries that start after all others were lost.
    pub(crate) fn spread_cancelled(&mut self) {
        let jobs = std::mem::take(&mut self.cancelled);
        if !jobs.is_empty() {
            self.peers.send_all(&told_as_cancelled(jobs));
        }
    }

    pub(crate) fn handle_overlay(&mut self, input: OverlayInput) {
        for effect in self.overlay.handle(input) {
            match effect {
                OverlayEffect::Send(link, list) => {
                    // A closed link reports `LinkEvent::Down`, which removes it.
                    self.peers.send(link, Message::Members(list));
                }
                // An entry runs no tasks, so its links need no preparation to close.
                OverlayEffect::Withdraw(_) | OverlayEffect::Restore(_) => {}
            }
        }
    }
}

/// Returns the message that tells another process of cancelled jobs.
pub(crate) fn told_as_cancelled(cancelled: Vec<CancelledJob>) -> Message {
    Message::Members(MemberList {
        cancelled,
        ..MemberList::default()
    })
}
