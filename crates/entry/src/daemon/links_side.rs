//! Links: who came, who went, and what they say.

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
    pub(super) fn link_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up(link, peer) => self.link_up(link, peer),
            LinkEvent::Message(id, message) => self.message(id, message),
            // Ownerships are confirmed by messages of their own.
            LinkEvent::PeerAlive(..) => {}
            LinkEvent::Down(id) => self.link_down(id),
        }
    }

    pub(super) fn send_agent(&mut self, endpoint: &EndpointId, message: Message) {
        self.metrics.count_sent("agent", message.kind());
        if !self.links.send_agent(endpoint, message) {
            log::debug!("endpoint {endpoint} is out of reach");
        }
    }

    pub(super) fn send_entry(&mut self, entry: &EntryId, message: Message) {
        self.metrics.count_sent("entry", message.kind());
        if !self.links.send_entry(entry, message) {
            log::debug!("entry {entry} is out of reach");
        }
    }

    /// Sends what another entry should know or asked for.
    pub(super) fn say(&mut self, entry: &EntryId, message: EntryMessage) {
        match message {
            EntryMessage::Agents(agents) => self.send_entry(entry, Message::Agents(agents)),
            EntryMessage::Owner(owner) => self.send_entry(entry, Message::Owner(owner)),
            EntryMessage::Acknowledgement(acknowledgement) => {
                self.answer_entry(entry, Message::Acknowledgement(acknowledgement));
            }
            EntryMessage::VoteRequest(question) => {
                self.send_entry(entry, Message::VoteRequest(question));
            }
            EntryMessage::Vote(vouched) => self.answer_entry(entry, Message::Vote(vouched)),
        }
    }

    pub(super) fn answer_entry(&mut self, entry: &EntryId, message: Message) {
        self.metrics.count_sent("entry", message.kind());
        if !self.links.answer_entry(entry, message) {
            log::debug!("entry {entry} is out of reach");
        }
    }

    fn link_up(&mut self, link: Link, peer: PeerName) {
        if let PeerName::Accepted(Hello::Guard(hello)) = &peer {
            log::warn!(
                "agent {} belongs to a site without owners; its link is closed",
                hello.agent
            );
            link.close();
            return;
        }
        // A link that closed meanwhile reports so by itself.
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
                self.note_link(EventKind::LinkUp, &hello.endpoint);
                let replaced = self.links.hello(&hello.endpoint).cloned();
                if let Some(replaced) = replaced {
                    let run = replaced.incarnation;
                    self.membership_input(MembershipInput::AgentDown(replaced.endpoint, run));
                }
                self.links.agent_up(link, hello.clone());
                self.agent_up(hello);
            }
            PeerName::Accepted(Hello::Entry(member)) => self.links.entry_up(link, member.entry),
            PeerName::Accepted(Hello::Guard(_)) => {}
            PeerName::Dialed(entry) => {
                self.note_link(EventKind::LinkUp, &entry);
                self.links.dialed_up(link, entry.clone());
                self.membership_input(MembershipInput::LinkUp(entry.clone()));
                self.front_input(FrontInput::LinkUp(entry));
            }
        }
    }

    fn agent_up(&mut self, hello: AgentHello) {
        self.membership_input(MembershipInput::AgentUp(hello.clone()));
        self.owner_input(hello.shard, OwnerInput::AgentUp(hello));
    }

    fn link_down(&mut self, id: LinkId) {
        let Some(loss) = self.links.down(id) else {
            return;
        };
        match loss.peer {
            Peer::Agent(endpoint) => {
                self.note_link(EventKind::LinkDown, &endpoint);
                let hello = self.links.hello(&endpoint).cloned();
                match hello {
                    Some(hello) if loss.is_gone => self.agent_down(&hello),
                    Some(hello) => self.agent_up(hello),
                    None => {}
                }
            }
            Peer::DialedEntry(entry) => {
                self.note_link(EventKind::LinkDown, &entry);
                self.membership_input(MembershipInput::LinkDown(entry.clone()));
                self.front_input(FrontInput::LinkDown(entry));
            }
            Peer::Entry(_) => {}
        }
    }

    fn agent_departed(&mut self, endpoint: &EndpointId, jobs: Vec<KeyHash>) {
        if let Some(run) = self.links.hello(endpoint).map(|hello| hello.incarnation) {
            let input = MembershipInput::AgentDeparted(endpoint.clone(), run, jobs);
            self.membership_input(input);
        }
    }

    fn agent_down(&mut self, hello: &AgentHello) {
        let (endpoint, run) = (hello.endpoint.clone(), hello.incarnation);
        self.membership_input(MembershipInput::AgentDown(endpoint.clone(), run));
        self.owner_input(hello.shard, OwnerInput::AgentDown(endpoint, run));
    }

    fn message(&mut self, id: LinkId, message: Message) {
        match self.links.peer(id).cloned() {
            Some(Peer::Agent(endpoint)) if self.links.is_newest(id) => {
                self.metrics.count_received("agent", message.kind());
                self.agent_message(endpoint, message);
            }
            Some(Peer::Entry(entry) | Peer::DialedEntry(entry)) => {
                self.metrics.count_received("entry", message.kind());
                self.entry_message(entry, message);
            }
            Some(Peer::Agent(_)) | None => log::debug!("message on a replaced or closed link"),
        }
    }

    fn agent_message(&mut self, endpoint: EndpointId, message: Message) {
        let shard = self.shard_of(&endpoint);
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
                self.links.agent_again(hello.clone());
                self.agent_up(hello);
                return;
            }
            Message::FenceReply(reply) => OwnerInput::FenceReply(endpoint, reply),
            Message::StartRefused(refused) => OwnerInput::StartRefused(endpoint, refused),
            Message::Finished(finished) => OwnerInput::Finished(endpoint, finished),
            Message::LookupReply(reply) => OwnerInput::LookupReply(endpoint, reply),
            other => {
                log::warn!("message that no agent sends: {other:?}");
                return;
            }
        };
        self.owner_input(shard, input);
    }

    fn entry_message(&mut self, entry: EntryId, message: Message) {
        match message {
            Message::Submit(submit) => self.take_request(entry, Request::Submit(submit)),
            Message::Ask(job) => self.take_request(entry, Request::Query(job)),
            Message::Cancel(job) => self.take_request(entry, Request::Cancel(job)),
            Message::Reply(reply) => {
                self.note_reply(&reply);
                self.front_input(FrontInput::Reply(reply));
            }
            Message::Owner(owner) => self.entry_says(entry, EntryMessage::Owner(owner)),
            Message::Agents(agents) => self.entry_says(entry, EntryMessage::Agents(agents)),
            Message::VoteRequest(question) => {
                self.entry_says(entry, EntryMessage::VoteRequest(question));
            }
            Message::Vote(vouched) => self.entry_says(entry, EntryMessage::Vote(vouched)),
            Message::Acknowledgement(acknowledgement) => {
                let message = EntryMessage::Acknowledgement(acknowledgement);
                self.entry_says(entry, message);
            }
            Message::Configuration(configuration) => self.configured(&configuration),
            Message::Members(_) | Message::Hello(Hello::Entry(_)) => {}
            other => log::warn!("message that no entry sends: {other:?}"),
        }
    }

    fn entry_says(&mut self, entry: EntryId, message: EntryMessage) {
        self.membership_input(MembershipInput::FromEntry(entry, message));
    }

    /// Takes the rows of a configuration that are newer than those in force.
    pub(super) fn configured(&mut self, news: &Configuration) {
        let mut configuration = match &self.configuration {
            Some(known) => (**known).clone(),
            None => Configuration::default(),
        };
        let is_changed = configuration.merge(news);
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
        self.owner_actions(actions);
    }

    fn shard_of(&self, endpoint: &EndpointId) -> ShardId {
        self.links.hello(endpoint).map_or(0, |hello| hello.shard)
    }
}
