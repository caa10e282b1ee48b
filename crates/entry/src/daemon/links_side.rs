//! Handles links that open and close, and the messages on them.

use {
    crate::{EntryDaemon, links::Peer},
    chestnutrun_decisions::{
        front::{FrontInput, Request},
        membership::{EntryMessage, MembershipInput},
        owner::OwnerInput,
    },
    chestnutrun_net::{Link, LinkEvent, LinkId, PeerName},
    chestnutrun_observe::EventKind,
    chestnutrun_protocol::{Hello, Message},
    chestnutrun_types::{AgentHello, Configuration, EndpointId, EntryId, KeyHash, ShardId},
    std::time::SystemTime,
};

impl EntryDaemon {
    pub(super) fn handle_link_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up(link, peer) => self.link_up(link, peer),
            LinkEvent::Message(id, message) => self.handle_message(id, message),
            // Ownerships are confirmed by messages, so signs of life are ignored.
            LinkEvent::PeerAlive(..) => {}
            LinkEvent::Down(id) => self.link_down(id),
        }
    }

    pub(super) fn send_agent(&mut self, endpoint: &EndpointId, message: Message) {
        self.metrics.count_sent("agent", message.kind());
        if !self.links.send_agent(endpoint, message) {
            log::debug!("could not send a message to the agent of endpoint {endpoint}");
        }
    }

    pub(super) fn send_entry(&mut self, entry: &EntryId, message: Message) {
        self.metrics.count_sent("entry", message.kind());
        if !self.links.send_entry(entry, message) {
            log::debug!("could not send a message to entry {entry}");
        }
    }

    /// Sends a message of the membership machine to another entry. Replies are
    /// sent on the link that the other entry opened.
    pub(super) fn send_membership_message(&mut self, entry: &EntryId, message: EntryMessage) {
        match message {
            EntryMessage::Agents(agents) => self.send_entry(entry, Message::Agents(agents)),
            EntryMessage::Owner(owner) => self.send_entry(entry, Message::Owner(owner)),
            EntryMessage::Acknowledgement(acknowledgement) => {
                self.reply_to_entry(entry, Message::Acknowledgement(acknowledgement));
            }
            EntryMessage::VoteRequest(request) => {
                self.send_entry(entry, Message::VoteRequest(request));
            }
            EntryMessage::Vote(vote) => self.reply_to_entry(entry, Message::Vote(vote)),
        }
    }

    pub(super) fn reply_to_entry(&mut self, entry: &EntryId, message: Message) {
        self.metrics.count_sent("entry", message.kind());
        if !self.links.reply_to_entry(entry, message) {
            log::debug!("could not send a message to entry {entry}");
        }
    }

    /// Sends this entry's hello, the member list and the configuration on a new link and
    /// adds the link. If the peer is an agent that belongs to a site without owners, only
    /// closes the link.
    fn link_up(&mut self, link: Link, peer: PeerName) {
        if let PeerName::Accepted(Hello::Guard(hello)) = &peer {
            log::warn!(
                "agent {} belongs to a site without owners; its link is closed",
                hello.agent
            );
            link.close();
            return;
        }
        // If the link has closed already, a `Down` event follows.
        let _ = link.send(Message::Hello(Hello::Entry(self.me.clone())));
        let _ = link.send(Message::Members(self.members.clone()));
        if let Some(configuration) = &self.configuration {
            let part = match &peer {
                PeerName::Accepted(Hello::Agent(hello)) => {
                    configuration.for_endpoint(&hello.endpoint)
                }
                PeerName::Accepted(Hello::Entry(_) | Hello::Guard(_)) | PeerName::Dialed(_) => {
                    (**configuration).clone()
                }
            };
            let _ = link.send(Message::Configuration(part));
        }
        match peer {
            PeerName::Accepted(Hello::Agent(hello)) => {
                self.record_link(EventKind::LinkUp, &hello.endpoint);
                let replaced = self.links.hello(&hello.endpoint).cloned();
                if let Some(replaced) = replaced {
                    let run = replaced.incarnation;
                    self.membership_input(MembershipInput::AgentDown(replaced.endpoint, run));
                }
                self.links.add_agent(link, hello.clone());
                self.agent_up(hello);
            }
            PeerName::Accepted(Hello::Entry(member)) => self.links.add_accepted(link, member.entry),
            PeerName::Accepted(Hello::Guard(_)) => {}
            PeerName::Dialed(entry) => {
                self.record_link(EventKind::LinkUp, &entry);
                self.links.add_dialed(link, entry.clone());
                self.membership_input(MembershipInput::LinkUp(entry.clone()));
                self.front_input(FrontInput::LinkUp(entry));
            }
        }
    }

    /// Passes a new hello of an agent to the machines.
    fn agent_up(&mut self, hello: AgentHello) {
        self.membership_input(MembershipInput::AgentUp(hello.clone()));
        self.owner_input(hello.shard, OwnerInput::AgentUp(hello));
    }

    fn link_down(&mut self, id: LinkId) {
        let Some(loss) = self.links.remove(id) else {
            return;
        };
        match loss.peer {
            Peer::Agent(endpoint) => {
                self.record_link(EventKind::LinkDown, &endpoint);
                let hello = self.links.hello(&endpoint).cloned();
                match hello {
                    Some(hello) if loss.is_disconnected => self.agent_down(&hello),
                    Some(hello) => self.agent_up(hello),
                    None => {}
                }
            }
            Peer::DialedEntry(entry) => {
                self.record_link(EventKind::LinkDown, &entry);
                self.membership_input(MembershipInput::LinkDown(entry.clone()));
                self.front_input(FrontInput::LinkDown(entry));
            }
            Peer::Entry(_) => {}
        }
    }

    /// Reports to the membership machine that an agent shut down, with the key hashes
    /// of the agent's recorded jobs.
    fn agent_departed(&mut self, endpoint: &EndpointId, jobs: Vec<KeyHash>) {
        if let Some(run) = self.links.hello(endpoint).map(|hello| hello.incarnation) {
            let input = MembershipInput::AgentDeparted(endpoint.clone(), run, jobs);
            self.membership_input(input);
        }
    }

    /// Reports to the machines that an agent is disconnected.
    fn agent_down(&mut self, hello: &AgentHello) {
        let (endpoint, run) = (hello.endpoint.clone(), hello.incarnation);
        self.membership_input(MembershipInput::AgentDown(endpoint.clone(), run));
        self.owner_input(hello.shard, OwnerInput::AgentDown(endpoint, run));
    }

    fn handle_message(&mut self, id: LinkId, message: Message) {
        match self.links.peer(id).cloned() {
            Some(Peer::Agent(endpoint)) if self.links.is_newest(id) => {
                self.metrics.count_received("agent", message.kind());
                self.handle_agent_message(endpoint, message);
            }
            Some(Peer::Entry(entry) | Peer::DialedEntry(entry)) => {
                self.metrics.count_received("entry", message.kind());
                self.handle_entry_message(entry, message);
            }
            Some(Peer::Agent(_)) | None => log::debug!("dropped message on an old or closed link"),
        }
    }

    fn handle_agent_message(&mut self, endpoint: EndpointId, message: Message) {
        let shard = self.agent_shard(&endpoint);
        let input = match message {
            Message::Confirm(confirm) => {
                let lease = OwnerInput::AgentLease(endpoint.clone(), confirm.leased);
                self.owner_input(shard, lease);
                let input = MembershipInput::Confirm(endpoint, shard, confirm.nonce);
                self.membership_input(input);
                return;
            }
            Message::Departed(jobs) => {
                self.agent_departed(&endpoint, jobs);
                return;
            }
            Message::Hello(Hello::Agent(hello)) => {
                self.links.update_agent(hello.clone());
                self.agent_up(hello);
                return;
            }
            Message::FenceReply(reply) => OwnerInput::FenceReply(endpoint, reply),
            Message::StartRefused(refused) => OwnerInput::StartRefused(endpoint, refused),
            Message::Finished(finished) => OwnerInput::Finished(endpoint, finished),
            Message::LookupReply(reply) => OwnerInput::LookupReply(endpoint, reply),
            other => {
                log::warn!("dropped a message that agents do not send: {other:?}");
                return;
            }
        };
        self.owner_input(shard, input);
    }

    fn handle_entry_message(&mut self, entry: EntryId, message: Message) {
        match message {
            Message::Submit(submit) => self.owner_request(entry, Request::Submit(submit)),
            Message::Ask(job) => self.owner_request(entry, Request::Query(job)),
            Message::Cancel(job) => self.owner_request(entry, Request::Cancel(job)),
            Message::Reply(reply) => {
                self.record_reply(&reply);
                self.front_input(FrontInput::Reply(reply));
            }
            Message::Owner(owner) => self.membership_message(entry, EntryMessage::Owner(owner)),
            Message::Agents(agents) => self.membership_message(entry, EntryMessage::Agents(agents)),
            Message::VoteRequest(request) => {
                self.membership_message(entry, EntryMessage::VoteRequest(request));
            }
            Message::Vote(vote) => self.membership_message(entry, EntryMessage::Vote(vote)),
            Message::Acknowledgement(acknowledgement) => {
                let message = EntryMessage::Acknowledgement(acknowledgement);
                self.membership_message(entry, message);
            }
            Message::Configuration(configuration) => self.apply_configuration(&configuration),
            Message::Members(_) | Message::Hello(Hello::Entry(_)) => {}
            other => log::warn!("dropped a message that entries do not send to entries: {other:?}"),
        }
    }

    fn membership_message(&mut self, entry: EntryId, message: EntryMessage) {
        self.membership_input(MembershipInput::FromEntry(entry, message));
    }

    /// Merges the newer rows of a configuration into the current one and passes the
    /// result to the owned shards and all peers.
    pub(super) fn apply_configuration(&mut self, update: &Configuration) {
        let mut configuration = match &self.configuration {
            Some(current) => (**current).clone(),
            None => Configuration::default(),
        };
        let is_changed = configuration.merge(update);
        if !is_changed && self.configuration.is_some() {
            return;
        }
        log::info!("configuration {} is in force", configuration.revision);
        self.timeline.add_process_event(
            SystemTime::now(),
            EventKind::Configured,
            configuration.revision.to_string(),
        );
        let configuration = std::rc::Rc::new(configuration);
        self.configuration = Some(configuration.clone());
        self.links.send_configuration(&configuration);
        let input = OwnerInput::Configured(configuration);
        let now = chestnutrun_types::Now::read();
        let actions = self.shards.handle_all(now, &input);
        self.execute_owner_actions(actions);
    }

    /// Returns the shard of an endpoint, as its agent's hello names it; 0 without a hello.
    fn agent_shard(&self, endpoint: &EndpointId) -> ShardId {
        self.links.hello(endpoint).map_or(0, |hello| hello.shard)
    }
}
