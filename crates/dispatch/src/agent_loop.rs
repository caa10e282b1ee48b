//! The loop of an agent that guards one endpoint for all entries.

use {
    crate::{
        Directory, DirectoryEvent, DispatchError, EndpointOrders, SharedRouting,
        entry_dialers::EntryDialers,
        recorder::Recorder,
        reload::{SettingsFile, reload},
        routing_sync::RoutingSync,
    },
    chestnutrun_decisions::guard::{
        Announcement, GuardAction, GuardConf, GuardInput, GuardMachine, GuardMessage,
    },
    chestnutrun_net::{Link, LinkEvent, LinkId, LinkIds},
    chestnutrun_observe::as_u64,
    chestnutrun_protocol::{GuardHello, Hello, Message},
    chestnutrun_types::{AgentId, EndpointId, EntryId, Incarnation, Member, Now, RoutingTable},
    indexmap::IndexMap,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{
        signal::unix::{SignalKind, signal},
        sync::{
            mpsc::{Receiver, Sender, channel},
            oneshot,
        },
        time::{MissedTickBehavior, interval, sleep, sleep_until},
    },
};

/// How often the guard is told that time passed.
const TICK: Duration = Duration::from_millis(50);

/// Most events that wait for the loop.
const MAX_QUEUED_EVENTS: usize = 4_096;

/// How often an agent without a link asks the directory for entries.
const DIRECTORY_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Time of the platform's grace that is kept for the end of the process.
const END_MARGIN: Duration = Duration::from_millis(700);

/// How long the last messages get to leave before the process ends.
const LINGER: Duration = Duration::from_millis(100);

/// What an agent's loop waits for, besides links.
#[derive(Debug)]
pub enum AgentEvent {
    /// The endpoint announced itself.
    Announced(Announcement),
    /// The endpoint said that it ended.
    Ended(EndpointId),
    /// An order was answered, or not.
    Answered(GuardInput),
    /// The metrics, as text.
    Metrics(oneshot::Sender<String>),
}

/// What an agent's loop is told at its start.
#[derive(Debug)]
pub struct AgentLoopConf {
    /// Name of the agent.
    pub agent: AgentId,
    /// Addresses for links of entries that may exist.
    pub seeds: Vec<SocketAddr>,
    /// Where entries are recorded.
    pub directory: Box<dyn Directory>,
    /// The endpoint.
    pub orders: Box<dyn EndpointOrders>,
    /// How long the process may go on after it is told to stop.
    pub grace: Duration,
    /// The settings file.
    pub settings: Box<dyn SettingsFile>,
}

/// An open link to an entry.
#[derive(Debug)]
struct EntryLink {
    link: Link,
    member: Option<Member>,
}

/// The loop of an agent that guards one endpoint for all entries.
#[derive(Debug)]
pub struct AgentLoop {
    guard: GuardMachine,
    links: IndexMap<LinkId, EntryLink>,
    by_entry: IndexMap<EntryId, LinkId>,
    dialers: EntryDialers,
    directory: Box<dyn Directory>,
    orders: Box<dyn EndpointOrders>,
    routing: SharedRouting,
    routing_sync: RoutingSync,
    events: Sender<AgentEvent>,
    directory_tx: Sender<DirectoryEvent>,
    read_directory_at: Instant,
    grace: Duration,
    settings: Box<dyn SettingsFile>,
    recorder: Recorder,
    end_by: Option<Instant>,
}

impl AgentLoop {
    /// Runs the loop until the process is told to stop.
    ///
    /// # Errors
    /// Returns an error where signals cannot be listened for.
    pub async fn run(
        conf: AgentLoopConf,
        events: Sender<AgentEvent>,
        rx: Receiver<AgentEvent>,
    ) -> Result<(), DispatchError> {
        let now = Now::read();
        let incarnation: Incarnation = now.incarnation();
        let (link_tx, link_rx) = channel(MAX_QUEUED_EVENTS);
        let (directory_tx, directory_rx) = channel(MAX_QUEUED_EVENTS);
        let hello = Hello::Guard(GuardHello {
            agent: conf.agent.clone(),
            incarnation,
        });
        let mut dialers = EntryDialers::new(hello, LinkIds::default(), link_tx, None);
        dialers.dial_seeds(&conf.seeds);
        let this = Self {
            recorder: Recorder::new(conf.agent.clone()),
            settings: conf.settings,
            guard: GuardMachine::new(GuardConf {
                first_number: incarnation / 1_000_000,
            }),
            links: IndexMap::new(),
            by_entry: IndexMap::new(),
            dialers,
            directory: conf.directory,
            orders: conf.orders,
            routing: SharedRouting::default(),
            routing_sync: RoutingSync::default(),
            events,
            directory_tx,
            read_directory_at: now.instant,
            grace: conf.grace,
            end_by: None,
        };
        this.serve(rx, link_rx, directory_rx).await
    }

    async fn serve(
        mut self,
        mut rx: Receiver<AgentEvent>,
        mut links: Receiver<LinkEvent>,
        mut directory_events: Receiver<DirectoryEvent>,
    ) -> Result<(), DispatchError> {
        let mut terminate = signal(SignalKind::terminate()).map_err(DispatchError::Signal)?;
        let mut hang_up = signal(SignalKind::hangup()).map_err(DispatchError::Signal)?;
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.recorder.process("started", 0);
        while !self.is_done() {
            let wake_at = self.guard.wake_at(Now::read().instant);
            tokio::select! {
                Some(event) = rx.recv() => self.event(event),
                Some(event) = links.recv() => self.link_event(event),
                Some(event) = directory_events.recv() => self.handle_directory_event(event),
                () = until(wake_at) => self.input(GuardInput::Tick),
                _ = tick.tick() => self.tick(),
                _ = terminate.recv() => self.leave(),
                _ = hang_up.recv() => self.reload(),
            }
        }
        self.close().await;
        Ok(())
    }

    fn is_done(&self) -> bool {
        let Some(end_by) = self.end_by else {
            return false;
        };
        self.guard.is_idle() || end_by <= Now::read().instant
    }

    fn leave(&mut self) {
        if self.end_by.is_some() {
            return;
        }
        self.recorder.process("leaves", self.guard.tasks());
        self.end_by = Some(Now::read().instant + self.grace.saturating_sub(END_MARGIN));
        self.input(GuardInput::Leave);
    }

    async fn close(self) {
        if !self.guard.is_idle() {
            log::warn!("{} tasks were cut off", self.guard.tasks());
        }
        sleep(LINGER).await;
        self.dialers.close();
        let mut recorder = self.recorder;
        recorder.process("stopped", self.guard.tasks());
        recorder.close();
    }

    fn reload(&mut self) {
        let held = self.guard.tasks();
        let grace = reload(&*self.settings, &mut self.dialers, &mut self.recorder, held);
        self.grace = grace.unwrap_or(self.grace);
    }

    fn tick(&mut self) {
        self.input(GuardInput::Tick);
        self.recorder.tick(Now::read());
        let now = Now::read().instant;
        let linked: Vec<SocketAddr> = self.members().map(|member| member.inner).collect();
        self.dialers.tidy(now, &linked);
        if linked.is_empty() && self.read_directory_at <= now {
            self.read_directory_at = now + DIRECTORY_READ_INTERVAL;
            self.directory.read_members(self.directory_tx.clone());
        }
        if let Some(peer) = self.routing_sync.due_request(now, self.routing.version()) {
            self.send(peer, Message::RoutingRequest);
        }
    }

    fn members(&self) -> impl Iterator<Item = &Member> {
        self.links.values().filter_map(|link| link.member.as_ref())
    }

    fn event(&mut self, event: AgentEvent) {
        match event {
            AgentEvent::Announced(announcement) => self.input(GuardInput::Announced(announcement)),
            AgentEvent::Ended(endpoint) => self.input(GuardInput::Ended(endpoint)),
            AgentEvent::Answered(input) => self.input(input),
            AgentEvent::Metrics(reply) => {
                // An asker who went away needs no reply.
                let gauges = [
                    ("tasks", as_u64(self.guard.tasks())),
                    ("entry-links", as_u64(self.by_entry.len())),
                    ("routing-version", self.routing.version()),
                    ("routing-age-seconds", self.routing.age().as_secs()),
                ];
                let text = self.recorder.text(&gauges, &self.directory.call_counts());
                let _ = reply.send(text);
            }
        }
    }

    fn handle_directory_event(&mut self, event: DirectoryEvent) {
        match event {
            DirectoryEvent::Members(members) => {
                self.dialers.dial_members(Now::read().instant, &members);
            }
            DirectoryEvent::Reachable(is_there) => self.recorder.dependency("directory", is_there),
            DirectoryEvent::Note(note) => self.recorder.note(Now::read(), note),
            DirectoryEvent::Routing(table) => self.take_routing(table, "directory"),
        }
    }

    fn link_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up(link, _) => {
                let id = link.id();
                self.links.insert(id, EntryLink { link, member: None });
                self.send(id, Message::RoutingVersion(self.routing.version()));
            }
            LinkEvent::Message(id, message) => self.message(id, message),
            LinkEvent::Proven(id, at) => {
                if let Some(entry) = self.entry(id) {
                    self.input(GuardInput::Proven(entry, at));
                }
            }
            LinkEvent::Down(id) => self.link_down(id),
        }
    }

    fn link_down(&mut self, id: LinkId) {
        self.routing_sync.remove_peer(id);
        let entry = self.entry(id);
        if let Some(open) = self.links.swap_remove(&id) {
            open.link.close();
        }
        if let Some(entry) = entry {
            self.by_entry.swap_remove(&entry);
            self.recorder.dependency("entry-link", false);
            self.input(GuardInput::LinkDown(entry));
        }
    }

    /// Returns the entry of a link that no newer one replaced.
    fn entry(&self, id: LinkId) -> Option<EntryId> {
        let member = self.links.get(&id)?.member.as_ref()?;
        (self.by_entry.get(&member.entry) == Some(&id)).then(|| member.entry.clone())
    }

    fn message(&mut self, id: LinkId, message: Message) {
        match message {
            Message::Hello(Hello::Entry(member)) => {
                if let Some(open) = self.links.get_mut(&id) {
                    open.member = Some(member.clone());
                    self.by_entry.insert(member.entry.clone(), id);
                    self.recorder.dependency("entry-link", true);
                    self.input(GuardInput::LinkUp(
                        member.entry,
                        member.incarnation,
                        member.zone,
                    ));
                }
            }
            Message::Members(list) => {
                self.dialers
                    .dial_members(Now::read().instant, &list.members);
            }
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
            Message::Routing(table) => self.take_routing(table, "peer"),
            Message::DirectoryRequest => self.directory.read_routing(self.directory_tx.clone()),
            Message::Assign(assignment) => {
                if let Some(entry) = self.entry(id) {
                    self.input(GuardInput::Assign(entry, assignment));
                }
            }
            Message::Revoke(revocation) => {
                if let Some(entry) = self.entry(id) {
                    self.input(GuardInput::Revoke(entry, revocation));
                }
            }
            other => log::warn!("message {} that is not for an agent", other.kind()),
        }
    }

    /// Keeps a newer routing table for entries that ask.
    fn take_routing(&mut self, table: RoutingTable, source: &'static str) {
        let replaced = self.routing.version();
        if !self.routing.take(table) {
            return;
        }
        let version = self.routing.version();
        self.recorder.routing_in_force(version, replaced, source);
        for id in self.links.keys() {
            self.send(*id, Message::RoutingVersion(version));
        }
    }

    fn input(&mut self, input: GuardInput) {
        for action in self.guard.handle(Now::read(), input) {
            self.act(action);
        }
    }

    fn act(&mut self, action: GuardAction) {
        match action {
            GuardAction::Note(note) => self.recorder.note(Now::read(), note),
            GuardAction::Send(entry, message) => {
                if let Some(id) = self.by_entry.get(&entry) {
                    self.send(*id, to_wire(message));
                }
            }
            GuardAction::Start(order) => {
                let (endpoint, run) = (order.incarnation, order.run);
                let answer = self.orders.start(order);
                self.answer_later(async move { GuardInput::Started(endpoint, run, answer.await) });
            }
            GuardAction::Stop(order) => {
                let (endpoint, run) = (order.incarnation, order.run);
                let answer = self.orders.stop(order);
                self.answer_later(async move { GuardInput::Stopped(endpoint, run, answer.await) });
            }
            GuardAction::List(order) => {
                let answer = self.orders.list(order.clone());
                self.answer_later(async move {
                    GuardInput::Listed(order.incarnation, order, answer.await)
                });
            }
        }
    }

    fn answer_later(&self, answer: impl Future<Output = GuardInput> + 'static) {
        let events = self.events.clone();
        ntex::rt::spawn(async move {
            let event = AgentEvent::Answered(answer.await);
            // The loop is gone only when the process ends.
            let _ = events.send(event).await;
        });
    }

    fn send(&self, id: LinkId, message: Message) {
        if let Some(open) = self.links.get(&id)
            && !open.link.send(message)
        {
            log::debug!("message on a link that closed");
        }
    }
}

fn to_wire(message: GuardMessage) -> Message {
    match message {
        GuardMessage::Resync(resync) => Message::Resync(resync),
        GuardMessage::Endpoint(info) => Message::Endpoint(info),
        GuardMessage::Update(update) => Message::Update(update),
    }
}

/// Waits until a moment; for ever where there is none.
async fn until(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}
