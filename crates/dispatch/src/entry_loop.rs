//! Event loop of an entry that holds best-effort jobs.

use {
    crate::{
        CallerEvent, CallerHandle, Directory, DirectoryEvent, DispatchError, SharedRouting,
        directory_fallback::DirectoryFallback,
        entry_dialers::{ACCEPTED_LINK_TIMING, EntryDialers, SITE_TOKEN},
        entry_peers::{EntryPeers, Peer},
        recorder::Recorder,
        reload::{SettingsFile, reload_settings},
        routing_sync::RoutingSync,
    },
    chestnutrun_decisions::placement::{
        CallerId, DispatchAction, DispatchInput, Dispatcher, JobOutcome,
    },
    chestnutrun_net::{Link, LinkEvent, LinkId, LinkIds, LinkServerConf, PeerName, serve_links},
    chestnutrun_observe::as_u64,
    chestnutrun_protocol::{Hello, Message},
    chestnutrun_types::{DecisionEvent, Member, MemberList, Now, RoutingTable, ZoneId},
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

/// Time between two ticks of the dispatcher, the log and the dialers.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Most events in each queue of the loop.
const MAX_QUEUED_EVENTS: usize = 4_096;

/// How long an entry accepts connections after its shutdown began. The load
/// balancer removes the entry after two failed readiness checks, one second
/// apart.
const ACCEPT_DURING_SHUTDOWN: Duration = Duration::from_millis(2_500);

/// How long an entry in shutdown waits for another request on its open
/// connections after the last one.
const QUIET_BEFORE_EXIT: Duration = Duration::from_millis(400);

/// Part of the platform's grace period that is reserved for the exit of the
/// process.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// Time reserved to send the last answers to callers.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// Settings and interfaces of an entry's loop.
#[derive(Debug)]
pub struct EntryLoopConf {
    /// Registration of this entry.
    pub me: Member,
    /// Availability zone of this entry.
    pub zone: ZoneId,
    /// Link addresses at which entries may run.
    pub seeds: Vec<SocketAddr>,
    /// Accepts links of agents and other entries.
    pub listener: TcpListener,
    /// Store of the registered entries and the routing table.
    pub directory: Box<dyn Directory>,
    /// The current routing table, which the loop updates.
    pub routing: SharedRouting,
    /// Signals during shutdown that no more connections of callers are accepted.
    pub stop_accepting: oneshot::Sender<()>,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// The settings file, reloaded on SIGHUP.
    pub settings: Box<dyn SettingsFile>,
}

/// Deadlines of a shutdown in progress.
#[derive(Debug)]
struct Shutdown {
    /// Time until which connections of callers are accepted.
    accept_until: Instant,
    /// Time from which the entry may exit unless another request arrives.
    quiet_at: Instant,
    /// Time by which every remaining job is answered.
    answer_by: Instant,
    /// Time at which the process exits at the latest.
    exit_by: Instant,
}

/// Event loop of an entry that holds best-effort jobs.
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
    caller_handle: CallerHandle,
    /// Reply channels of the callers that wait for their jobs.
    callers: IndexMap<CallerId, oneshot::Sender<JobOutcome>>,
    stop_accepting: Option<oneshot::Sender<()>>,
    grace: Duration,
    settings: Box<dyn SettingsFile>,
    recorder: Recorder,
    shutdown: Option<Shutdown>,
}

impl EntryLoop {
    /// Runs the loop until the shutdown that SIGTERM starts is done.
    ///
    /// # Errors
    /// Returns an error if a signal handler cannot be installed.
    pub async fn run(
        conf: EntryLoopConf,
        caller_handle: CallerHandle,
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
                timing: ACCEPTED_LINK_TIMING,
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
            caller_handle,
            callers: IndexMap::new(),
            stop_accepting: Some(conf.stop_accepting),
            grace: conf.grace,
            shutdown: None,
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
        let mut tick = interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.recorder.record_process("started", 0);
        while !self.is_done() {
            tokio::select! {
                Some(event) = links.recv() => self.handle_link_event(event),
                Some(event) = callers.recv() => self.handle_caller_event(event),
                Some(event) = directory_events.recv() => self.handle_directory_event(event),
                _ = tick.tick() => self.tick(),
                _ = terminate.recv() => self.start_shutdown(),
                _ = hang_up.recv() => self.reload(),
            }
        }
        self.close().await;
        Ok(())
    }

    fn is_done(&self) -> bool {
        let now = Now::read().instant;
        self.shutdown.as_ref().is_some_and(|shutdown| {
            let is_quiet = self.callers.is_empty() && shutdown.quiet_at <= now;
            shutdown.exit_by <= now || (is_quiet && shutdown.accept_until <= now)
        })
    }

    fn start_shutdown(&mut self) {
        if self.shutdown.is_some() {
            return;
        }
        let now = Now::read().instant;
        self.recorder.record_process("leaves", self.callers.len());
        self.caller_handle.start_closing();
        let answer_by = now + self.grace.saturating_sub(EXIT_MARGIN + ANSWER_MARGIN);
        self.shutdown = Some(Shutdown {
            accept_until: now + ACCEPT_DURING_SHUTDOWN,
            quiet_at: now,
            answer_by,
            exit_by: answer_by + ANSWER_MARGIN,
        });
        self.handle_input(DispatchInput::AnswerAllBy(answer_by));
        ntex::rt::spawn(self.directory.deregister(self.me.clone()));
    }

    async fn close(self) {
        if !self.callers.is_empty() {
            log::warn!(
                "exiting although {} jobs are not answered",
                self.callers.len()
            );
        }
        self.dialers.close();
        tokio::task::yield_now().await;
        let mut recorder = self.recorder;
        recorder.record_process("stopped", self.callers.len());
        recorder.close();
    }

    fn reload(&mut self) {
        let held = self.callers.len();
        let grace = reload_settings(&*self.settings, &mut self.dialers, &mut self.recorder, held);
        self.grace = grace.unwrap_or(self.grace);
    }

    fn tick(&mut self) {
        let now = Now::read();
        self.recorder.flush_if_due(now);
        self.handle_input(DispatchInput::Tick);
        let linked = self.peers.entry_addresses();
        self.dialers.drop_unreachable(now.instant, &linked);
        if let Some(peer) = self
            .routing_sync
            .due_request(now.instant, self.routing.version())
        {
            self.peers.send(peer, Message::RoutingRequest);
        }
        if let Some(agent) = self.fallback.due_request(now.instant, self.peers.agents()) {
            self.peers.send_to_agent(&agent, Message::DirectoryRequest);
        }
        let accept_until = self.shutdown.as_ref().map(|shutdown| shutdown.accept_until);
        if accept_until.is_some_and(|until| until <= now.instant)
            && let Some(stop) = self.stop_accepting.take()
        {
            // Sending fails if the server for callers has already ended.
            let _ = stop.send(());
        }
    }

    fn handle_caller_event(&mut self, event: CallerEvent) {
        // Sending a reply fails if the handler that requested it was dropped.
        match event {
            CallerEvent::Submit(mut submission, reply) => {
                if let Some(shutdown) = &mut self.shutdown {
                    shutdown.quiet_at = Now::read().instant + QUIET_BEFORE_EXIT;
                    submission.deadline = submission.deadline.min(shutdown.answer_by);
                }
                self.callers.insert(submission.caller, reply);
                self.handle_input(DispatchInput::Submit(submission));
            }
            CallerEvent::Disconnected(caller) => {
                if self.callers.swap_remove(&caller).is_some() {
                    self.handle_input(DispatchInput::CallerDisconnected(caller));
                }
            }
            CallerEvent::Cancel(job, reply) => {
                let held = self.dispatcher.jobs();
                self.handle_input(DispatchInput::Cancel(job));
                let _ = reply.send(self.dispatcher.jobs() < held);
            }
            CallerEvent::RouteNotFound(host, path) => {
                let routing_version = self.routing.version();
                let event = DecisionEvent::RouteNotFound {
                    host,
                    path,
                    routing_version,
                };
                self.recorder.record(Now::read(), event);
            }
            CallerEvent::CountWaiting(service, reply) => {
                let _ = reply.send(self.dispatcher.waiting(&service));
            }
            CallerEvent::IsReady(reply) => {
                let _ = reply.send(self.is_ready());
            }
            CallerEvent::Metrics(reply) => {
                let gauges = [
                    ("jobs-held", as_u64(self.dispatcher.jobs())),
                    ("endpoints", as_u64(self.dispatcher.endpoints())),
                    ("agent-links", as_u64(self.peers.agent_count())),
                    ("entry-links", as_u64(self.peers.entries().len())),
                    ("routing-version", self.routing.version()),
                    ("routing-age-seconds", self.routing.age().as_secs()),
                ];
                let text = self
                    .recorder
                    .metrics_text(&gauges, &self.directory.call_counts());
                let _ = reply.send(text);
            }
        }
    }

    fn is_ready(&self) -> bool {
        self.shutdown.is_none() && self.routing.version() > 0 && self.dispatcher.has_endpoints()
    }

    fn handle_directory_event(&mut self, event: DirectoryEvent) {
        match event {
            DirectoryEvent::Routing(table) => self.update_routing(table, "directory"),
            DirectoryEvent::Members(members) => {
                self.dialers.dial_members(Now::read().instant, &members);
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

    fn handle_link_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up(link, peer) => self.handle_link_up(link, peer),
            LinkEvent::Message(id, message) => self.handle_message(id, message),
            LinkEvent::PeerAlive(..) => {}
            LinkEvent::Down(id) => {
                self.routing_sync.remove_peer(id);
                if let Some(agent) = self.peers.remove(id) {
                    self.handle_input(DispatchInput::AgentDown(agent));
                }
            }
        }
    }

    fn handle_link_up(&mut self, link: Link, peer: PeerName) {
        let id = link.id();
        let peer = match peer {
            PeerName::Accepted(Hello::Guard(hello)) => {
                // No task may be assigned over the new link until the agent has
                // reported its tasks there.
                self.handle_input(DispatchInput::AgentDown(hello.agent.clone()));
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
                    "closed the link of agent {}: the agent belongs to a site with shard owners",
                    hello.endpoint
                );
                link.close();
                return;
            }
            PeerName::Dialed(_) => Peer::Entry(None),
        };
        let is_new_entry = matches!(peer, Peer::Entry(Some(_)));
        self.peers.add(link, peer);
        // A closed link reports `LinkEvent::Down`, which removes it.
        self.peers
            .send(id, Message::Hello(Hello::Entry(self.me.clone())));
        self.peers
            .send(id, Message::RoutingVersion(self.routing.version()));
        self.peers.send(id, self.member_list());
        if is_new_entry {
            self.peers.send_all(&self.member_list());
        }
    }

    /// Returns the message that lists this entry and the linked entries.
    fn member_list(&self) -> Message {
        let mut members = self.peers.entries();
        members.push(self.me.clone());
        Message::Members(MemberList {
            revision: 0,
            members,
        })
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
            message => match self.peers.peer(id).cloned() {
                Some(Peer::Agent(agent, incarnation)) => {
                    self.handle_agent_message(agent, incarnation, message);
                }
                Some(Peer::Entry(_)) => self.handle_entry_message(id, message),
                None => log::debug!(
                    "ignored message {} on a closed or replaced link",
                    message.kind()
                ),
            },
        }
    }

    fn handle_agent_message(
        &mut self,
        agent: chestnutrun_types::AgentId,
        incarnation: u64,
        message: Message,
    ) {
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
                self.peers.set_member(id, member);
                self.peers.send_all(&self.member_list());
            }
            Message::Members(list) => {
                self.dialers
                    .dial_members(Now::read().instant, &list.members);
            }
            other => log::warn!("ignored message {}, which no entry sends", other.kind()),
        }
    }

    fn handle_input(&mut self, input: DispatchInput) {
        for action in self.dispatcher.handle(Now::read(), input) {
            self.run_action(action);
        }
    }

    fn run_action(&mut self, action: DispatchAction) {
        match action {
            DispatchAction::Record(event) => self.recorder.record(Now::read(), event),
            DispatchAction::Answer(caller, _, outcome) => {
                if let Some(reply) = self.callers.swap_remove(&caller) {
                    // Sending fails if the caller disconnected.
                    let _ = reply.send(outcome);
                }
            }
            DispatchAction::Assign(agent, assignment) => {
                if !self
                    .peers
                    .send_to_agent(&agent, Message::Assign(assignment))
                {
                    log::warn!(
                        "could not send an assignment to agent {agent}: it has no open link"
                    );
                }
            }
            DispatchAction::Revoke(agent, revocation) => {
                if !self
                    .peers
                    .send_to_agent(&agent, Message::Revoke(revocation))
                {
                    log::debug!(
                        "could not send a revocation to agent {agent}: it has no open link"
                    );
                }
            }
        }
    }
}
