//! The loop of an entry that holds best-effort jobs.

use {
    crate::{
        CallerDesk, CallerEvent, Directory, DirectoryEvent, DispatchError, SharedRouting,
        directory_fallback::DirectoryFallback,
        entry_dialers::{ACCEPTED, EntryDialers, SITE_TOKEN},
        entry_peers::{EntryPeers, Peer},
        recorder::Recorder,
        reload::{SettingsFile, reload},
        routing_sync::RoutingSync,
    },
    chestnutrun_decisions::placement::{
        CallerId, DispatchAction, DispatchInput, Dispatcher, JobOutcome,
    },
    chestnutrun_net::{Link, LinkEvent, LinkId, LinkIds, LinkServerConf, PeerName, serve_links},
    chestnutrun_observe::as_u64,
    chestnutrun_protocol::{Hello, Message},
    chestnutrun_types::{DecisionNote, Member, MemberList, Now, RoutingTable, ZoneId},
    indexmap::IndexMap,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{
        net::TcpListener,
        signal::unix::{SignalKind, signal},
        sync::{
            mpsc::{Receiver, channel},
            oneshot,
        },
        time::{MissedTickBehavior, interval},
    },
};

/// How often the dispatcher is told that time passed.
const TICK: Duration = Duration::from_millis(25);

/// Most events that wait for the loop.
const MAX_QUEUED_EVENTS: usize = 4_096;

/// How long an entry that leaves still accepts connections: the balancer takes
/// it out after two looks, one second apart.
const ACCEPT_WHILE_LEAVING: Duration = Duration::from_millis(2_500);

/// How long an entry that leaves waits for requests on open connections after
/// the last one.
const QUIET_BEFORE_END: Duration = Duration::from_millis(400);

/// Time of the platform's grace that is kept for the end of the process.
const END_MARGIN: Duration = Duration::from_millis(400);

/// How long the last answers get to leave.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// What an entry's loop is told at its start.
#[derive(Debug)]
pub struct EntryLoopConf {
    /// This entry.
    pub me: Member,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Addresses for links of entries that may exist.
    pub seeds: Vec<SocketAddr>,
    /// Where links are accepted.
    pub listener: TcpListener,
    /// Where the routing table is kept.
    pub directory: Box<dyn Directory>,
    /// The routing table in force, for readers.
    pub routing: SharedRouting,
    /// Told when callers' connections are no longer accepted.
    pub stop_accepting: oneshot::Sender<()>,
    /// How long the process may go on after it is told to stop.
    pub grace: Duration,
    /// The settings file.
    pub settings: Box<dyn SettingsFile>,
}

/// A stop that is under way.
#[derive(Debug)]
struct Leaving {
    accept_until: Instant,
    quiet_at: Instant,
    /// Moment at which every job that is left gets its answer.
    answer_by: Instant,
    end_by: Instant,
}

/// The loop of an entry that holds best-effort jobs.
#[derive(Debug)]
pub struct EntryLoop {
    me: Member,
    dispatcher: Dispatcher,
    peers: EntryPeers,
    dialers: EntryDialers,
    directory: Box<dyn Directory>,
    routing: SharedRouting,
    routing_sync: RoutingSync,
    fallback: DirectoryFallback,
    desk: CallerDesk,
    callers: IndexMap<CallerId, oneshot::Sender<JobOutcome>>,
    stop_accepting: Option<oneshot::Sender<()>>,
    grace: Duration,
    settings: Box<dyn SettingsFile>,
    recorder: Recorder,
    leaving: Option<Leaving>,
}

impl EntryLoop {
    /// Runs the loop until the process is told to stop.
    ///
    /// # Errors
    /// Returns an error where signals cannot be listened for.
    pub async fn run(
        conf: EntryLoopConf,
        desk: CallerDesk,
        callers: Receiver<CallerEvent>,
    ) -> Result<(), DispatchError> {
        let (link_tx, link_rx) = channel(MAX_QUEUED_EVENTS);
        let (directory_tx, directory_rx) = channel(MAX_QUEUED_EVENTS);
        let ids = LinkIds::default();
        let hello = Hello::Entry(conf.me.clone());
        let own = Some(conf.me.inner);
        let mut dialers = EntryDialers::new(hello, ids.clone(), link_tx.clone(), own);
        dialers.dial_seeds(&conf.seeds);
        ntex::rt::spawn(serve_links(
            conf.listener,
            LinkServerConf {
                site_token: SITE_TOKEN.into(),
                ids,
                timing: ACCEPTED,
                events: link_tx,
            },
        ));
        conf.directory.follow_routing(directory_tx.clone());
        conf.directory.register(conf.me.clone(), directory_tx);
        let this = Self {
            dispatcher: Dispatcher::new(conf.zone),
            recorder: Recorder::new(conf.me.entry.clone()),
            settings: conf.settings,
            me: conf.me,
            peers: EntryPeers::default(),
            dialers,
            directory: conf.directory,
            routing: conf.routing,
            routing_sync: RoutingSync::default(),
            fallback: DirectoryFallback::default(),
            desk,
            callers: IndexMap::new(),
            stop_accepting: Some(conf.stop_accepting),
            grace: conf.grace,
            leaving: None,
        };
        this.serve(callers, link_rx, directory_rx).await
    }

    async fn serve(
        mut self,
        mut callers: Receiver<CallerEvent>,
        mut links: Receiver<LinkEvent>,
        mut directory_events: Receiver<DirectoryEvent>,
    ) -> Result<(), DispatchError> {
        let mut terminate = signal(SignalKind::terminate()).map_err(DispatchError::Signal)?;
        let mut hang_up = signal(SignalKind::hangup()).map_err(DispatchError::Signal)?;
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.recorder.process("started", 0);
        while !self.is_done() {
            tokio::select! {
                Some(event) = links.recv() => self.link_event(event),
                Some(event) = callers.recv() => self.caller_event(event),
                Some(event) = directory_events.recv() => self.handle_directory_event(event),
                _ = tick.tick() => self.tick(),
                _ = terminate.recv() => self.leave(),
                _ = hang_up.recv() => self.reload(),
            }
        }
        self.close().await;
        Ok(())
    }

    fn is_done(&self) -> bool {
        let now = Now::read().instant;
        self.leaving.as_ref().is_some_and(|leaving| {
            let is_quiet = self.callers.is_empty() && leaving.quiet_at <= now;
            leaving.end_by <= now || (is_quiet && leaving.accept_until <= now)
        })
    }

    fn leave(&mut self) {
        if self.leaving.is_some() {
            return;
        }
        let now = Now::read().instant;
        self.recorder.process("leaves", self.callers.len());
        self.desk.start_closing();
        let answer_by = now + self.grace.saturating_sub(END_MARGIN + ANSWER_MARGIN);
        self.leaving = Some(Leaving {
            accept_until: now + ACCEPT_WHILE_LEAVING,
            quiet_at: now,
            answer_by,
            end_by: answer_by + ANSWER_MARGIN,
        });
        self.input(DispatchInput::AnswerBy(answer_by));
        ntex::rt::spawn(self.directory.deregister(self.me.clone()));
    }

    async fn close(self) {
        if !self.callers.is_empty() {
            log::warn!("{} jobs were cut off", self.callers.len());
        }
        self.dialers.close();
        tokio::task::yield_now().await;
        let mut recorder = self.recorder;
        recorder.process("stopped", self.callers.len());
        recorder.close();
    }

    fn reload(&mut self) {
        let held = self.callers.len();
        let grace = reload(&*self.settings, &mut self.dialers, &mut self.recorder, held);
        self.grace = grace.unwrap_or(self.grace);
    }

    fn tick(&mut self) {
        let now = Now::read();
        self.recorder.tick(now);
        self.input(DispatchInput::Tick);
        let linked = self.peers.entry_addresses();
        self.dialers.tidy(now.instant, &linked);
        if let Some(peer) = self
            .routing_sync
            .due_request(now.instant, self.routing.version())
        {
            self.peers.send(peer, Message::RoutingRequest);
        }
        if let Some(agent) = self.fallback.due_request(now.instant, self.peers.agents()) {
            self.peers.send_agent(&agent, Message::DirectoryRequest);
        }
        let accept_until = self.leaving.as_ref().map(|leaving| leaving.accept_until);
        if accept_until.is_some_and(|until| until <= now.instant)
            && let Some(stop) = self.stop_accepting.take()
        {
            // The front is gone already where nobody takes the signal.
            let _ = stop.send(());
        }
    }

    fn caller_event(&mut self, event: CallerEvent) {
        // An asker who went away needs no reply.
        match event {
            CallerEvent::Submit(mut submission, reply) => {
                if let Some(leaving) = &mut self.leaving {
                    leaving.quiet_at = Now::read().instant + QUIET_BEFORE_END;
                    submission.deadline = submission.deadline.min(leaving.answer_by);
                }
                self.callers.insert(submission.caller, reply);
                self.input(DispatchInput::Submit(submission));
            }
            CallerEvent::Gone(caller) => {
                if self.callers.swap_remove(&caller).is_some() {
                    self.input(DispatchInput::Gone(caller));
                }
            }
            CallerEvent::Cancel(job, reply) => {
                let held = self.dispatcher.jobs();
                self.input(DispatchInput::Cancel(job));
                let _ = reply.send(self.dispatcher.jobs() < held);
            }
            CallerEvent::RouteNotFound(host, path) => {
                let routing_version = self.routing.version();
                let note = DecisionNote::RouteNotFound {
                    host,
                    path,
                    routing_version,
                };
                self.recorder.note(Now::read(), note);
            }
            CallerEvent::Waiting(service, reply) => {
                let _ = reply.send(self.dispatcher.waiting(&service));
            }
            CallerEvent::IsReady(reply) => {
                let _ = reply.send(self.is_ready());
            }
            CallerEvent::Metrics(reply) => {
                let gauges = [
                    ("jobs-held", as_u64(self.dispatcher.jobs())),
                    ("endpoints", as_u64(self.dispatcher.endpoints())),
                    ("agent-links", as_u64(self.peers.agent_links())),
                    ("entry-links", as_u64(self.peers.entries().len())),
                    ("routing-version", self.routing.version()),
                    ("routing-age-seconds", self.routing.age().as_secs()),
                ];
                let text = self.recorder.text(&gauges, &self.directory.call_counts());
                let _ = reply.send(text);
            }
        }
    }

    fn is_ready(&self) -> bool {
        self.leaving.is_none() && self.routing.version() > 0 && self.dispatcher.has_endpoints()
    }

    fn handle_directory_event(&mut self, event: DirectoryEvent) {
        match event {
            DirectoryEvent::Routing(table) => self.take_routing(table, "directory"),
            DirectoryEvent::Members(members) => {
                self.dialers.dial_members(Now::read().instant, &members);
            }
            DirectoryEvent::Reachable(is_there) => {
                self.fallback
                    .record_directory(Now::read().instant, is_there);
                self.recorder.dependency("directory", is_there);
            }
            DirectoryEvent::Note(note) => self.recorder.note(Now::read(), note),
        }
    }

    fn take_routing(&mut self, table: RoutingTable, source: &'static str) {
        let (version, replaced) = (table.version, self.routing.version());
        if self.routing.take(table) {
            self.recorder.routing_in_force(version, replaced, source);
            self.peers.send_all(&Message::RoutingVersion(version));
        }
    }

    fn link_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up(link, peer) => self.link_up(link, peer),
            LinkEvent::Message(id, message) => self.message(id, message),
            LinkEvent::Proven(..) => {}
            LinkEvent::Down(id) => {
                self.routing_sync.remove_peer(id);
                if let Some(agent) = self.peers.down(id) {
                    self.input(DispatchInput::AgentDown(agent));
                }
            }
        }
    }

    fn link_up(&mut self, link: Link, peer: PeerName) {
        let id = link.id();
        let peer = match peer {
            PeerName::Accepted(Hello::Guard(hello)) => {
                // Nothing may be assigned on the new link before the agent told
                // there what it has.
                self.input(DispatchInput::AgentDown(hello.agent.clone()));
                Peer::Agent(hello.agent, hello.incarnation)
            }
            PeerName::Accepted(Hello::Entry(member)) => {
                let now = Now::read().instant;
                self.dialers
                    .dial_members(now, std::slice::from_ref(&member));
                Peer::Entry(Some(member))
            }
            PeerName::Accepted(Hello::Agent(hello)) => {
                log::warn!(
                    "agent {} belongs to a site with owners; its link is closed",
                    hello.endpoint
                );
                link.close();
                return;
            }
            PeerName::Dialed(_) => Peer::Entry(None),
        };
        let is_new_entry = matches!(peer, Peer::Entry(Some(_)));
        self.peers.up(link, peer);
        // A link that closed meanwhile reports so by itself.
        self.peers
            .send(id, Message::Hello(Hello::Entry(self.me.clone())));
        self.peers
            .send(id, Message::RoutingVersion(self.routing.version()));
        self.peers.send(id, self.members());
        if is_new_entry {
            self.peers.send_all(&self.members());
        }
    }

    /// Makes the list of entries that are linked.
    fn members(&self) -> Message {
        let mut members = self.peers.entries();
        members.push(self.me.clone());
        Message::Members(MemberList {
            revision: 0,
            members,
        })
    }

    fn message(&mut self, id: LinkId, message: Message) {
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
            Message::Routing(table) => self.take_routing(table, "peer"),
            message => match self.peers.peer(id).cloned() {
                Some(Peer::Agent(agent, incarnation)) => {
                    self.agent_message(agent, incarnation, message);
                }
                Some(Peer::Entry(_)) => self.entry_message(id, message),
                None => log::debug!("message {} on a replaced link", message.kind()),
            },
        }
    }

    fn agent_message(&mut self, agent: chestnutrun_types::AgentId, run: u64, message: Message) {
        let input = match message {
            Message::Resync(resync) => DispatchInput::AgentUp(agent, run, resync),
            Message::Endpoint(info) => DispatchInput::Endpoint(agent, info),
            Message::Update(update) => DispatchInput::Update(agent, update),
            other => {
                log::warn!("message {} that no agent sends", other.kind());
                return;
            }
        };
        self.input(input);
    }

    fn entry_message(&mut self, id: LinkId, message: Message) {
        match message {
            Message::Hello(Hello::Entry(member)) => {
                self.peers.name(id, member);
                self.peers.send_all(&self.members());
            }
            Message::Members(list) => {
                self.dialers
                    .dial_members(Now::read().instant, &list.members);
            }
            other => log::warn!("message {} that no entry sends", other.kind()),
        }
    }

    fn input(&mut self, input: DispatchInput) {
        for action in self.dispatcher.handle(Now::read(), input) {
            self.act(action);
        }
    }

    fn act(&mut self, action: DispatchAction) {
        match action {
            DispatchAction::Note(note) => self.recorder.note(Now::read(), note),
            DispatchAction::Answer(caller, _, outcome) => {
                if let Some(reply) = self.callers.swap_remove(&caller) {
                    // A caller who went away needs no answer.
                    let _ = reply.send(outcome);
                }
            }
            DispatchAction::Assign(agent, assignment) => {
                if !self.peers.send_agent(&agent, Message::Assign(assignment)) {
                    log::warn!("assignment to agent {agent} was not sent");
                }
            }
            DispatchAction::Revoke(agent, revocation) => {
                if !self.peers.send_agent(&agent, Message::Revoke(revocation)) {
                    log::debug!("revocation to agent {agent} was not sent");
                }
            }
        }
    }
}
