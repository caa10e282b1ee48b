//! Event loop of an agent, which runs the tasks of all entries on one endpoint.

use {
    crate::{
        AgentEvent, Directory, DirectoryEvent, DispatchError, EndpointOrders, SharedRouting,
        Signals,
        agent_links::EntryLink,
        entry_dialers::EntryDialers,
        overlay_links::OverlayLinks,
        recorder::Recorder,
        reload::{SettingsFile, reload_settings},
        routing_sync::RoutingSync,
    },
    chestnutrun_decisions::{
        evacuation::{EvacuationConf, EvacuationInput, EvacuationMachine},
        guard::{GuardConf, GuardInput, GuardMachine},
        overlay::{OverlayConf, OverlayInput, ZoneOrder},
        placement::CancelledJobs,
    },
    chestnutrun_net::{LinkEvent, LinkId, LinkIds},
    chestnutrun_observe::as_u64,
    chestnutrun_protocol::{GuardHello, Hello, Message},
    chestnutrun_types::{AgentId, EntryId, Incarnation, Now, ZoneId},
    indexmap::IndexMap,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{
        sync::mpsc::{Receiver, Sender, channel},
        time::{MissedTickBehavior, interval, sleep, sleep_until},
    },
};

/// Time between two ticks of the guard, the log and the dialers.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Most events in each queue of the loop.
const MAX_QUEUED_EVENTS: usize = 4_096;

/// Time between two reads of the entries from the directory, while the agent has
/// no link to an entry.
const DIRECTORY_READ_INTERVAL: Duration = Duration::from_secs(1);

/// How long an agent of a site that evacuates zones starts nothing while it does not know
/// the evacuated ones. Entries tell them as links open; they do not know them only if the
/// directory was away since they began to run, and if they are earlier builds.
const MAX_ZONES_UNKNOWN: Duration = Duration::from_secs(10);

/// Part of the platform's grace period that is reserved for the exit of the
/// process.
const EXIT_MARGIN: Duration = Duration::from_millis(700);

/// How long the process waits before its exit, so that the last messages are
/// sent.
const LINGER: Duration = Duration::from_millis(100);

/// Settings and interfaces of an agent's loop.
#[derive(Debug)]
pub struct AgentLoopConf {
    /// Name of the agent.
    pub agent: AgentId,
    /// Availability zone of the agent.
    pub zone: ZoneId,
    /// Link addresses at which entries may run.
    pub seeds: Vec<SocketAddr>,
    /// Store of the registered entries and the routing table.
    pub directory: Box<dyn Directory>,
    /// Sends orders to the endpoint.
    pub orders: Box<dyn EndpointOrders>,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Longest lease that the endpoint grants.
    pub longest_lease: Duration,
    /// Whether the agent starts nothing before it knows the evacuated zones.
    pub evacuates_zones: bool,
    /// The settings file, reloaded on SIGHUP.
    pub settings: Box<dyn SettingsFile>,
    /// Signals that the process handles.
    pub signals: Signals,
}

/// Event loop of an agent, which runs the tasks of all entries on one endpoint.
#[derive(Debug)]
pub struct AgentLoop {
    pub(crate) guard: GuardMachine,
    pub(crate) links: IndexMap<LinkId, EntryLink>,
    /// The newest link of each entry.
    pub(crate) link_by_entry: IndexMap<EntryId, LinkId>,
    pub(crate) overlay: OverlayLinks,
    pub(crate) evacuation: EvacuationMachine,
    pub(crate) directory: Box<dyn Directory>,
    pub(crate) orders: Box<dyn EndpointOrders>,
    pub(crate) routing: SharedRouting,
    pub(crate) routing_sync: RoutingSync,
    /// Jobs that callers cancelled, kept for entries that start anew.
    pub(crate) cancelled: CancelledJobs,
    pub(crate) events: Sender<AgentEvent>,
    pub(crate) directory_tx: Sender<DirectoryEvent>,
    pub(crate) read_directory_at: Instant,
    pub(crate) grace: Duration,
    pub(crate) settings: Box<dyn SettingsFile>,
    pub(crate) recorder: Recorder,
    /// Time at which the process exits at the latest; none before SIGTERM.
    pub(crate) exit_by: Option<Instant>,
}

impl AgentLoop {
    /// Runs the loop until the shutdown that SIGTERM starts is done.
    ///
    /// # Errors
    /// Returns an error if a signal handler cannot be installed.
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
        let dialers = EntryDialers::new(hello, LinkIds::default(), link_tx);
        let overlay = OverlayConf {
            me: None,
            seeds: conf.seeds,
            order: Box::new(ZoneOrder::new(&conf.agent, conf.zone)),
        };
        let this = Self {
            recorder: Recorder::new(conf.agent.clone()),
            settings: conf.settings,
            guard: GuardMachine::new(GuardConf {
                first_number: incarnation / 1_000_000,
                longest_lease: conf.longest_lease,
            }),
            links: IndexMap::new(),
            link_by_entry: IndexMap::new(),
            overlay: OverlayLinks::new(overlay, dialers),
            evacuation: EvacuationMachine::new(EvacuationConf {
                hold_until: conf
                    .evacuates_zones
                    .then(|| now.instant + MAX_ZONES_UNKNOWN),
            }),
            directory: conf.directory,
            orders: conf.orders,
            routing: SharedRouting::default(),
            routing_sync: RoutingSync::default(),
            cancelled: CancelledJobs::default(),
            events,
            directory_tx,
            read_directory_at: now.instant,
            grace: conf.grace,
            exit_by: None,
        };
        this.serve(conf.signals, rx, link_rx, directory_rx).await
    }

    async fn serve(
        mut self,
        mut signals: Signals,
        mut rx: Receiver<AgentEvent>,
        mut links: Receiver<LinkEvent>,
        mut directory_events: Receiver<DirectoryEvent>,
    ) -> Result<(), DispatchError> {
        let mut tick = interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.recorder.record_process("started", 0);
        self.handle_input(GuardInput::ZonesChanged(self.evacuation.gate()));
        while !self.is_done() {
            let next_wakeup = self.guard.next_wakeup(Now::read().instant);
            tokio::select! {
                Some(event) = rx.recv() => self.handle_event(event),
                Some(event) = links.recv() => self.handle_link_event(event),
                Some(event) = directory_events.recv() => self.handle_directory_event(event),
                () = wait_until(next_wakeup) => self.handle_input(GuardInput::Tick),
                _ = tick.tick() => self.tick(),
                _ = signals.terminate.recv() => self.start_shutdown(),
                _ = signals.hang_up.recv() => self.reload(),
            }
        }
        self.close().await;
        Ok(())
    }

    fn is_done(&self) -> bool {
        let Some(exit_by) = self.exit_by else {
            return false;
        };
        self.guard.is_idle() || exit_by <= Now::read().instant
    }

    fn start_shutdown(&mut self) {
        if self.exit_by.is_some() {
            return;
        }
        self.recorder.record_process("leaves", self.guard.tasks());
        self.exit_by = Some(Now::read().instant + self.grace.saturating_sub(EXIT_MARGIN));
        self.handle_input(GuardInput::Leave);
    }

    async fn close(self) {
        if !self.guard.is_idle() {
            log::warn!(
                "exiting although {} tasks have not ended",
                self.guard.tasks()
            );
        }
        sleep(LINGER).await;
        self.overlay.close();
        let mut recorder = self.recorder;
        recorder.record_process("stopped", self.guard.tasks());
        recorder.close();
    }

    fn reload(&mut self) {
        let held = self.guard.tasks();
        if let Some(reloaded) = reload_settings(&*self.settings, &mut self.recorder, held) {
            self.grace = reloaded.grace;
            self.handle_overlay(OverlayInput::SeedsChanged(reloaded.seeds));
        }
    }

    fn tick(&mut self) {
        self.handle_input(GuardInput::Tick);
        self.recorder.flush_if_due(Now::read());
        let now = Now::read().instant;
        self.handle_evacuation(EvacuationInput::Tick);
        self.handle_overlay(OverlayInput::Tick);
        for entry in self.overlay.withdrawn() {
            if !self.guard.holds_tasks_of(&entry) {
                self.handle_overlay(OverlayInput::Drained(entry));
            }
        }
        if !self.overlay.has_entry_link() && self.read_directory_at <= now {
            self.read_directory_at = now + DIRECTORY_READ_INTERVAL;
            self.directory.read_members(self.directory_tx.clone());
        }
        if let Some(peer) = self.routing_sync.due_request(now, self.routing.version()) {
            self.send(peer, Message::RoutingRequest);
        }
    }

    fn handle_event(&mut self, event: AgentEvent) {
        match event {
            AgentEvent::Announced(announced) => self.handle_input(GuardInput::Announced(announced)),
            AgentEvent::Ended(endpoint) => self.handle_input(GuardInput::EndpointEnded(endpoint)),
            AgentEvent::Answered(input) => self.handle_input(input),
            AgentEvent::Metrics(reply) => {
                // Sending fails if the request for the metrics was dropped.
                let gauges = [
                    ("tasks", as_u64(self.guard.tasks())),
                    ("entry-links", as_u64(self.link_by_entry.len())),
                    ("entries-known", as_u64(self.overlay.known_entries())),
                    ("routing-version", self.routing.version()),
                    ("routing-age-seconds", self.routing.age().as_secs()),
                ];
                let gauges = [&gauges[..], &self.evacuation_gauges()].concat();
                let text = self
                    .recorder
                    .metrics_text(&gauges, &self.directory.call_counts());
                let _ = reply.send(text);
            }
        }
    }

    pub(crate) fn handle_input(&mut self, input: GuardInput) {
        for action in self.guard.handle(Now::read(), input) {
            self.run_action(action);
        }
    }
}

/// Waits until a time, or forever if there is none.
async fn wait_until(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}
