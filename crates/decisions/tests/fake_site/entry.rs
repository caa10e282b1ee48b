//! A simulated entry: its machines, and the links that its daemon would keep.

use {
    super::links::FakeLinkId,
    chestnutrun_decisions::{
        front::{FrontAction, FrontConf, FrontInput, FrontMachine, Request, WaiterId},
        membership::{
            EntryMessage, MembershipAction, MembershipConf, MembershipInput, MembershipMachine,
        },
        owner::{self, AgentOrder, OwnerAction, OwnerConf, OwnerInput, OwnerMachine, Takeover},
        policy::FirstCome,
    },
    chestnutrun_protocol::{Hello, Message},
    chestnutrun_types::{
        AgentHello, Configuration, EndpointId, EntryId, Epoch, Incarnation, Member, Now, Reply,
        TableWrite,
    },
    indexmap::IndexMap,
    std::{collections::VecDeque, net::SocketAddr, rc::Rc},
};

/// An effect that an entry requests from the simulated site.
#[derive(Debug)]
pub enum Effect {
    /// Read the table.
    Read,
    /// Write the table.
    Write(TableWrite),
    /// Send a message on a link.
    Send(FakeLinkId, Message),
    /// Answer a caller.
    Answer(WaiterId, Reply),
}

/// The process at the other end of a link, and which end opened the link.
#[derive(Clone, Debug, PartialEq)]
enum Peer {
    Agent(EndpointId),
    Accepted(EntryId),
    Dialed(EntryId),
}

/// An entry of the simulated site.
#[derive(Debug)]
pub struct FakeEntry {
    /// The entry's own row in the table.
    pub me: Member,
    front: FrontMachine,
    membership: MembershipMachine,
    owner: Option<OwnerMachine>,
    configuration: Option<Rc<Configuration>>,
    peers: IndexMap<FakeLinkId, Peer>,
    agents: IndexMap<EndpointId, FakeLinkId>,
    hellos: IndexMap<EndpointId, AgentHello>,
    dialed: IndexMap<EntryId, FakeLinkId>,
    accepted: IndexMap<EntryId, FakeLinkId>,
    local_requests: VecDeque<Request>,
    effects: Vec<Effect>,
}

impl FakeEntry {
    /// Creates a new run of the entry with this number.
    pub fn new(number: usize, incarnation: Incarnation) -> Self {
        let me = Member {
            entry: format!("entry-{number}").into(),
            incarnation,
            inner: SocketAddr::from(([127, 0, 0, 1], 1)),
            zone: "zone".into(),
        };
        Self {
            front: FrontMachine::new(FrontConf {
                me: me.entry.clone(),
                shards: 1,
            }),
            membership: MembershipMachine::new(MembershipConf {
                me: me.clone(),
                shards: 1,
            }),
            owner: None,
            configuration: None,
            peers: IndexMap::new(),
            agents: IndexMap::new(),
            hellos: IndexMap::new(),
            dialed: IndexMap::new(),
            accepted: IndexMap::new(),
            local_requests: VecDeque::new(),
            effects: Vec::new(),
            me,
        }
    }

    /// Removes and returns the effects that are to be carried out.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns the epoch under which the entry serves the shard; none if it does not.
    pub fn serving_epoch(&self) -> Option<Epoch> {
        let owner = self.owner.as_ref().filter(|owner| owner.is_serving())?;
        Some(owner.conf().epoch)
    }

    /// Handles a caller's request.
    pub fn request(&mut self, now: Now, waiter: WaiterId, request: Request) {
        self.front(now, FrontInput::Request(waiter, request));
    }

    /// Passes a tick of the clock to the machines.
    pub fn tick(&mut self, now: Now) {
        self.membership(now, MembershipInput::Tick);
        self.owner(now, OwnerInput::Tick);
    }

    /// Handles an opened link; `dialed` names the peer if this entry opened the link
    /// to another entry.
    pub fn link_up(&mut self, now: Now, link: FakeLinkId, dialed: Option<EntryId>) {
        let hello = Message::Hello(Hello::Entry(self.me.clone()));
        self.effects.push(Effect::Send(link, hello));
        if let Some(configuration) = &self.configuration {
            let message = Message::Configuration((**configuration).clone());
            self.effects.push(Effect::Send(link, message));
        }
        if let Some(entry) = dialed {
            self.peers.insert(link, Peer::Dialed(entry.clone()));
            self.dialed.insert(entry.clone(), link);
            self.membership(now, MembershipInput::LinkUp(entry.clone()));
            self.front(now, FrontInput::LinkUp(entry));
        }
    }

    /// Handles a closed link.
    pub fn link_down(&mut self, now: Now, link: FakeLinkId) {
        match self.peers.shift_remove(&link) {
            Some(Peer::Agent(endpoint)) if self.agents.get(&endpoint) == Some(&link) => {
                self.agents.swap_remove(&endpoint);
                if let Some(link) = self.remaining_link(&Peer::Agent(endpoint.clone())) {
                    self.agents.insert(endpoint.clone(), link);
                    let hello = self.hellos[&endpoint].clone();
                    self.owner(now, OwnerInput::AgentUp(hello));
                    return;
                }
                let run = self.hellos[&endpoint].incarnation;
                let down = MembershipInput::AgentDown(endpoint.clone(), run);
                self.membership(now, down);
                self.owner(now, OwnerInput::AgentDown(endpoint, run));
            }
            Some(Peer::Accepted(entry)) if self.accepted.get(&entry) == Some(&link) => {
                self.accepted.swap_remove(&entry);
                if let Some(link) = self.remaining_link(&Peer::Accepted(entry.clone())) {
                    self.accepted.insert(entry, link);
                }
            }
            Some(Peer::Dialed(entry)) if self.dialed.get(&entry) == Some(&link) => {
                self.dialed.swap_remove(&entry);
                self.membership(now, MembershipInput::LinkDown(entry.clone()));
                self.front(now, FrontInput::LinkDown(entry));
            }
            _ => {}
        }
    }

    /// Returns the newest of the remaining links to a peer.
    fn remaining_link(&self, peer: &Peer) -> Option<FakeLinkId> {
        let mut links = self.peers.iter().filter(|(_, other)| *other == peer);
        links.next_back().map(|(link, _)| *link)
    }

    /// Handles a message that arrived on a link.
    pub fn message(&mut self, now: Now, link: FakeLinkId, message: Message) {
        match (self.peers.get(&link).cloned(), message) {
            (None, Message::Hello(Hello::Agent(hello))) => {
                let endpoint = hello.endpoint.clone();
                self.peers.insert(link, Peer::Agent(endpoint.clone()));
                self.agents.insert(endpoint.clone(), link);
                let replaced = self.hellos.insert(endpoint.clone(), hello.clone());
                if let Some(replaced) = replaced {
                    let down = MembershipInput::AgentDown(endpoint, replaced.incarnation);
                    self.membership(now, down);
                }
                self.membership(now, MembershipInput::AgentUp(hello.clone()));
                self.owner(now, OwnerInput::AgentUp(hello));
            }
            (None, Message::Hello(Hello::Entry(member))) => {
                self.peers
                    .insert(link, Peer::Accepted(member.entry.clone()));
                self.accepted.insert(member.entry, link);
            }
            (Some(Peer::Agent(endpoint)), message) => {
                if self.agents.get(&endpoint) == Some(&link) {
                    self.agent_message(now, endpoint, message);
                }
            }
            (Some(Peer::Accepted(entry) | Peer::Dialed(entry)), message) => {
                self.entry_message(now, entry, message);
            }
            (None, _) => {}
        }
    }

    fn agent_message(&mut self, now: Now, endpoint: EndpointId, message: Message) {
        let input = match message {
            Message::Confirm(confirm) => {
                let lease = OwnerInput::AgentLease(endpoint.clone(), confirm.leased);
                self.owner(now, lease);
                let input = MembershipInput::Confirm(endpoint, 0, confirm.nonce);
                self.membership(now, input);
                return;
            }
            Message::Hello(Hello::Agent(hello)) => {
                self.hellos.insert(endpoint, hello.clone());
                OwnerInput::AgentUp(hello)
            }
            Message::FenceReply(reply) => OwnerInput::FenceReply(endpoint, reply),
            Message::StartRefused(refused) => OwnerInput::StartRefused(endpoint, refused),
            Message::Finished(finished) => OwnerInput::Finished(endpoint, finished),
            Message::LookupReply(reply) => OwnerInput::LookupReply(endpoint, reply),
            _ => return,
        };
        self.owner(now, input);
    }

    fn entry_message(&mut self, now: Now, entry: EntryId, message: Message) {
        match message {
            Message::Submit(submit) => {
                self.owner_request(now, entry, owner::Request::Submit(submit));
            }
            Message::Ask(job) => self.owner_request(now, entry, owner::Request::Query(job)),
            Message::Cancel(job) => self.owner_request(now, entry, owner::Request::Cancel(job)),
            Message::Reply(reply) => self.front(now, FrontInput::Reply(reply)),
            Message::Owner(owner) => self.peer_message(now, entry, EntryMessage::Owner(owner)),
            Message::Agents(agents) => self.peer_message(now, entry, EntryMessage::Agents(agents)),
            Message::VoteRequest(request) => {
                self.peer_message(now, entry, EntryMessage::VoteRequest(request));
            }
            Message::Vote(vote) => {
                self.peer_message(now, entry, EntryMessage::Vote(vote));
            }
            Message::Acknowledgement(ack) => {
                self.peer_message(now, entry, EntryMessage::Acknowledgement(ack));
            }
            Message::Configuration(configuration) => self.configure(now, configuration),
            _ => {}
        }
    }

    fn peer_message(&mut self, now: Now, entry: EntryId, message: EntryMessage) {
        self.membership(now, MembershipInput::FromEntry(entry, message));
    }

    /// Passes an input to the membership machine and carries out its actions.
    pub fn membership(&mut self, now: Now, input: MembershipInput) {
        for action in self.membership.handle(now, input) {
            self.membership_action(now, action);
        }
    }

    fn membership_action(&mut self, now: Now, action: MembershipAction) {
        match action {
            MembershipAction::Read => self.effects.push(Effect::Read),
            MembershipAction::Write(write) => self.effects.push(Effect::Write(write)),
            MembershipAction::OwnershipBegan {
                epoch,
                written_at,
                known,
                ..
            } => self.begin_ownership(now, epoch, Takeover::new(written_at, known)),
            MembershipAction::Acknowledged { at, agents, .. } => {
                self.owner(now, OwnerInput::OwnershipAcknowledged(at, agents));
            }
            MembershipAction::Send(entry, message) => {
                self.send_membership_message(&entry, message);
            }
            MembershipAction::OwnershipConfirmed { at, .. } => {
                self.owner(now, OwnerInput::OwnershipConfirmed(at));
            }
            MembershipAction::OwnershipLost(_) => self.owner = None,
            MembershipAction::OwnerChanged(owner) => {
                self.front(now, FrontInput::OwnerChanged(owner));
            }
            MembershipAction::OwnerReady(shard) => {
                self.front(now, FrontInput::OwnerReady(shard));
            }
            MembershipAction::Confirm(endpoint, confirmation) => {
                self.send_agent(&endpoint, Message::Confirmation(confirmation));
            }
            MembershipAction::Configured(configuration) => self.configure(now, configuration),
            MembershipAction::Members(_) => {}
        }
    }

    fn configure(&mut self, now: Now, configuration: Configuration) {
        let known = self.configuration.as_ref().map(|c| c.revision);
        if known.is_none_or(|known| known < configuration.revision) {
            let configuration = Rc::new(configuration);
            self.configuration = Some(configuration.clone());
            self.owner(now, OwnerInput::Configured(configuration));
        }
    }

    fn begin_ownership(&mut self, now: Now, epoch: Epoch, takeover: Takeover) {
        let conf = OwnerConf {
            shard: 0,
            epoch,
            me: self.me.entry.clone(),
        };
        let machine = OwnerMachine::new(
            conf,
            self.configuration.clone().unwrap_or_default(),
            Box::new(FirstCome::default()),
            takeover,
        );
        self.owner = Some(machine);
        let linked: Vec<AgentHello> = self.agents.keys().map(|e| self.hellos[e].clone()).collect();
        for hello in linked {
            self.owner(now, OwnerInput::AgentUp(hello));
        }
        self.owner(now, OwnerInput::Tick);
    }

    fn owner_request(&mut self, now: Now, from: EntryId, request: owner::Request) {
        self.owner(now, OwnerInput::Request(from, request));
    }

    fn owner(&mut self, now: Now, input: OwnerInput) {
        let Some(owner) = &mut self.owner else {
            return;
        };
        for action in owner.handle(now, input) {
            match action {
                OwnerAction::Order(endpoint, order) => {
                    let message = match order {
                        AgentOrder::Fence(fence) => Message::Fence(fence),
                        AgentOrder::Start(start) => Message::Start(start),
                        AgentOrder::Lookup(lookup) => Message::Lookup(lookup),
                    };
                    self.send_agent(&endpoint, message);
                }
                OwnerAction::Reply(entry, reply) if entry == self.me.entry => {
                    self.front(now, FrontInput::Reply(reply));
                }
                OwnerAction::Reply(entry, reply) => {
                    self.answer_entry(&entry, Message::Reply(reply));
                }
            }
        }
    }

    fn front(&mut self, now: Now, input: FrontInput) {
        for action in self.front.handle(input) {
            match action {
                FrontAction::Answer(waiter, reply) => {
                    self.effects.push(Effect::Answer(waiter, reply));
                }
                FrontAction::Send(entry, request) if entry == self.me.entry => {
                    self.local_requests.push_back(request);
                }
                FrontAction::Send(entry, request) => {
                    let message = match request {
                        Request::Submit(submit) => Message::Submit(submit),
                        Request::Query(job) | Request::Status(job) => Message::Ask(job),
                        Request::Cancel(job) => Message::Cancel(job),
                    };
                    self.send_entry(&entry, message);
                }
            }
        }
        while let Some(request) = self.local_requests.pop_front() {
            let me = self.me.entry.clone();
            let request = match request {
                Request::Submit(submit) => owner::Request::Submit(submit),
                Request::Query(job) | Request::Status(job) => owner::Request::Query(job),
                Request::Cancel(job) => owner::Request::Cancel(job),
            };
            self.owner_request(now, me, request);
        }
    }

    fn send_agent(&mut self, endpoint: &EndpointId, message: Message) {
        if let Some(link) = self.agents.get(endpoint) {
            self.effects.push(Effect::Send(*link, message));
        }
    }

    fn send_membership_message(&mut self, entry: &EntryId, message: EntryMessage) {
        match message {
            EntryMessage::Agents(agents) => self.send_entry(entry, Message::Agents(agents)),
            EntryMessage::Owner(owner) => self.send_entry(entry, Message::Owner(owner)),
            EntryMessage::Acknowledgement(ack) => {
                self.answer_entry(entry, Message::Acknowledgement(ack));
            }
            EntryMessage::VoteRequest(request) => {
                self.send_entry(entry, Message::VoteRequest(request));
            }
            EntryMessage::Vote(vote) => self.answer_entry(entry, Message::Vote(vote)),
        }
    }

    /// Sends a reply on the link that the other entry opened for its requests.
    fn answer_entry(&mut self, entry: &EntryId, message: Message) {
        if let Some(link) = self.accepted.get(entry) {
            self.effects.push(Effect::Send(*link, message));
        }
    }

    fn send_entry(&mut self, entry: &EntryId, message: Message) {
        if let Some(link) = self.dialed.get(entry) {
            self.effects.push(Effect::Send(*link, message));
        }
    }
}
