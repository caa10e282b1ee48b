//! Links and the directory of an agent.

use {
    crate::{
        AgentLoop, DirectoryEvent,
        overlay_links::{OverlayEffect, OverlayLinks},
    },
    chestnutrun_decisions::{guard::GuardInput, overlay::OverlayInput},
    chestnutrun_net::{Link, LinkEvent, LinkId},
    chestnutrun_protocol::{Hello, Message},
    chestnutrun_types::{EntryId, Member, Now, RoutingTable},
};

/// An open link to an entry.
#[derive(Debug)]
pub(crate) struct EntryLink {
    link: Link,
    /// The entry; none until it sends its hello.
    member: Option<Member>,
}

impl AgentLoop {
    pub(crate) fn handle_directory_event(&mut self, event: DirectoryEvent) {
        match event {
            DirectoryEvent::Members(members) => {
                self.handle_overlay(OverlayLinks::registered(members));
            }
            DirectoryEvent::Reachable(is_up) => self.recorder.record_dependency("directory", is_up),
            DirectoryEvent::Note(event) => self.recorder.record(Now::read(), event),
            DirectoryEvent::Routing(table) => self.update_routing(table, "directory"),
        }
    }

    pub(crate) fn handle_link_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up(link, peer) => {
                let id = link.id();
                self.links.insert(id, EntryLink { link, member: None });
                self.send(id, Message::RoutingVersion(self.routing.version()));
                self.handle_overlay(OverlayLinks::opened(id, &peer));
            }
            LinkEvent::Message(id, message) => self.handle_message(id, message),
            LinkEvent::PeerAlive(id, at) => {
                if let Some(entry) = self.entry_of_link(id) {
                    self.handle_input(GuardInput::Proven(entry, at));
                }
            }
            LinkEvent::Down(id) => self.handle_link_down(id),
        }
    }

    fn handle_link_down(&mut self, id: LinkId) {
        self.routing_sync.remove_peer(id);
        self.handle_overlay(OverlayInput::LinkClosed(id));
        let entry = self.entry_of_link(id);
        if let Some(open) = self.links.swap_remove(&id) {
            open.link.close();
        }
        if let Some(entry) = entry {
            self.link_by_entry.swap_remove(&entry);
            self.recorder.record_dependency("entry-link", false);
            self.handle_input(GuardInput::LinkDown(entry));
        }
    }

    /// Returns the entry of a link; none if a newer link of that entry replaced it.
    fn entry_of_link(&self, id: LinkId) -> Option<EntryId> {
        let member = self.links.get(&id)?.member.as_ref()?;
        (self.link_by_entry.get(&member.entry) == Some(&id)).then(|| member.entry.clone())
    }

    fn handle_message(&mut self, id: LinkId, message: Message) {
        match message {
            Message::Hello(Hello::Entry(member)) => {
                if let Some(open) = self.links.get_mut(&id) {
                    open.member = Some(member.clone());
                    self.link_by_entry.insert(member.entry.clone(), id);
                    self.recorder.record_dependency("entry-link", true);
                    self.handle_overlay(OverlayInput::PeerNamed(id, member.clone()));
                    self.handle_input(GuardInput::LinkUp(
                        member.entry,
                        member.incarnation,
                        member.zone,
                    ));
                }
            }
            Message::Members(list) => self.handle_overlay(OverlayLinks::received(id, list)),
            Message::RoutingVersion(version) => {
                let now = Now::read().instant;
                self.routing_sync
                    .record_version(now, self.routing.version(), id, version);
            }
            Message::RoutingRequest => {
                if let Some(table) = self.routing.table() {
                    self.send(id, Message::Routing((*table).clone()));
                }
            }
            Message::Routing(table) => self.update_routing(table, "peer"),
            Message::DirectoryRequest => self.directory.read_routing(self.directory_tx.clone()),
            Message::Assign(assignment) => {
                if let Some(entry) = self.entry_of_link(id) {
                    self.handle_input(GuardInput::Assign(entry, assignment));
                }
            }
            Message::Revoke(mut revocation) => {
                if let Some(entry) = self.entry_of_link(id) {
                    if let Some(demand) = revocation.demand.take() {
                        self.handle_input(GuardInput::Demand(entry.clone(), demand));
                    }
                    if !revocation.assignments.is_empty() {
                        self.handle_input(GuardInput::Revoke(entry, revocation));
                    }
                }
            }
            other => log::warn!(
                "ignored message {}, which is not for an agent",
                other.kind()
            ),
        }
    }

    /// Stores a newer routing table, which entries may request, and announces it.
    fn update_routing(&mut self, table: RoutingTable, source: &'static str) {
        let replaced = self.routing.version();
        if !self.routing.replace_if_newer(table) {
            return;
        }
        let version = self.routing.version();
        self.recorder.record_routing(version, replaced, source);
        for id in self.links.keys() {
            self.send(*id, Message::RoutingVersion(version));
        }
    }

    pub(crate) fn handle_overlay(&mut self, input: OverlayInput) {
        for effect in self.overlay.handle(input) {
            match effect {
                OverlayEffect::Send(link, list) => self.send(link, Message::Members(list)),
                OverlayEffect::Withdraw(entry) => {
                    self.handle_input(GuardInput::Withdraw(entry));
                }
                OverlayEffect::Restore(entry) => self.handle_input(GuardInput::Restore(entry)),
            }
        }
    }

    pub(crate) fn send(&self, id: LinkId, message: Message) {
        if let Some(open) = self.links.get(&id)
            && !open.link.send(message)
        {
            log::debug!("could not send a message: its link is closed");
        }
    }
}
