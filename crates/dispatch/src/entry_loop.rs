//! Event loop of an entry that holds best-effort jobs.

use {
    crate::{
        CallerEvent, CallerHandle, Directory, DirectoryEvent, DispatchError, SharedRouting,
        Signals,
        directory_fallback::DirectoryFallback,
        entry_dialers::{ACCEPTED_LINK_TIMING, EntryDialers, SITE_TOKEN},
        entry_peers::EntryPeers,
        entry_shutdown::Shutdown,
        overlay_links::OverlayLinks,
        recorder::Recorder,
        reload::{SettingsFile, reload_settings},
        routing_sync::RoutingSync,
    },
    chestnutrun_decisions::{
        evacuation::{EvacuationConf, EvacuationMachine},
        overlay::{OverlayConf, OverlayInput, RingOrder},
        placement::{CallerId, DispatchAction, DispatchInput, Dispatcher, JobOutcome},
    },
    chestnutrun_net::{LinkEvent, LinkIds, LinkIntake, LinkServerConf, serve_links},
    chestnutrun_protocol::{Hello, Message},
    chestnutrun_types::{CancelledJob, Member, Now, ZoneId},
    indexmap::IndexMap,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        net::TcpListener,
        sync::{
            mpsc::{Receiver, channel},
            oneshot,
        },
        time::{MissedTickBehavior, interval, sleep},
    },
};

/// Time between two ticks of the dispatcher, the log and the dialers.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Most events in each queue of the loop.
const MAX_QUEUED_EVENTS: usize = 4_096;

/// How long the process waits before its exit, so that the last messages are
/// sent.
const LINGER: Duration = Duration::from_millis(50);

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
    /// Bounds the accepted links that are not open yet.
    pub link_intake: LinkIntake,
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
    /// Signals that the process handles.
    pub signals: Signals,
}

/// Event loop of an entry that holds best-effort jobs.
#[derive(Debug)]
pub struct EntryLoop {
    pub(crate) me: Member,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) peers: EntryPeers,
    pub(crate) overlay: OverlayLinks,
    pub(crate) evacuation: EvacuationMachine,
    pub(crate) directory: Box<dyn Directory>,
    pub(crate) routing: SharedRouting,
    pub(crate) routing_sync: RoutingSync,
    pub(crate) fallback: DirectoryFallback,
    pub(crate) caller_handle: CallerHandle,
    /// Reply channels of the callers that wait for their jobs.
    pub(crate) callers: IndexMap<CallerId, oneshot::Sender<JobOutcome>>,
    /// Cancelled jobs that the linked processes are not told of yet.
    pub(crate) cancelled: Vec<CancelledJob>,
    pub(crate) stop_accepting: Option<oneshot::Sender<()>>,
    pub(crate) grace: Duration,
    pub(crate) settings: Box<dyn SettingsFile>,
    pub(crate) recorder: Recorder,
    pub(crate) shutdown: Option<Shutdown>,
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
        let dialers = EntryDialers::new(hello, ids.clone(), link_tx.clone());
        let overlay = OverlayConf {
            me: Some(conf.me.clone()),
            seeds: conf.seeds,
            order: Box::new(RingOrder::new(&conf.me.entry)),
        };
        ntex::rt::spawn(serve_links(
            conf.listener,
            LinkServerConf {
                site_token: SITE_TOKEN.into(),
                ids,
                timing: ACCEPTED_LINK_TIMING,
                events: link_tx,
            },
            conf.link_intake,
        ));
        conf.directory.follow_routing(directory_tx.clone());
        conf.directory.register(conf.me.clone(), directory_tx);
        let this = Self {
            dispatcher: Dispatcher::new(conf.zone),
            recorder: Recorder::new(conf.me.entry.clone()),
            settings: conf.settings,
            me: conf.me,
            peers: EntryPeers::default(),
            overlay: OverlayLinks::new(overlay, dialers),
            evacuation: EvacuationMachine::new(EvacuationConf::default()),
            directory: conf.directory,
            routing: conf.routing,
            routing_sync: RoutingSync::default(),
            fallback: DirectoryFallback::default(),
            caller_handle,
            callers: IndexMap::new(),
            cancelled: Vec::new(),
            stop_accepting: Some(conf.stop_accepting),
            grace: conf.grace,
            shutdown: None,
        };
        this.serve(conf.signals, callers, link_rx, directory_rx)
            .await
    }

    async fn serve(
        mut self,
        mut signals: Signals,
        mut callers: Receiver<CallerEvent>,
        mut links: Receiver<LinkEvent>,
        mut directory_events: Receiver<DirectoryEvent>,
    ) -> Result<(), DispatchError> {
        let mut tick = interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.recorder.record_process("started", 0);
        while !self.is_done() {
            // Callers come first: an entry that is behind with the messages on its
            // links must not place tasks of a caller that is gone.
            tokio::select! {
                biased;
                _ = signals.terminate.recv() => self.start_shutdown(),
                _ = signals.hang_up.recv() => self.reload(),
                Some(event) = callers.recv() => self.handle_caller_event(event),
                _ = tick.tick() => self.tick(),
                Some(event) = directory_events.recv() => self.handle_directory_event(event),
                Some(event) = links.recv() => self.handle_link_event(event),
            }
        }
        self.close().await;
        Ok(())
    }

    async fn close(mut self) {
        self.spread_cancelled();
        self.handle_overlay(OverlayInput::Leave);
        if !self.callers.is_empty() {
            log::warn!(
                "exiting although {} jobs are not answered",
                self.callers.len()
            );
        }
        sleep(LINGER).await;
        self.overlay.close();
        let mut recorder = self.recorder;
        recorder.record_process("stopped", self.callers.len());
        recorder.close();
    }

    fn reload(&mut self) {
        let held = self.callers.len();
        if let Some(reloaded) = reload_settings(&*self.settings, &mut self.recorder, held) {
            self.grace = reloaded.grace;
            self.handle_overlay(OverlayInput::SeedsChanged(reloaded.seeds));
        }
    }

    fn tick(&mut self) {
        let now = Now::read();
        self.recorder.flush_if_due(now);
        self.handle_input(DispatchInput::Tick);
        self.spread_cancelled();
        self.handle_overlay(OverlayInput::Tick);
        if let Some(peer) = self
            .routing_sync
            .due_request(now.instant, self.routing.version())
        {
            self.peers.send(peer, Message::RoutingRequest);
        }
        if let Some(agent) = self.fallback.due_request(now.instant, self.peers.agents()) {
            self.peers.send_to_agent(&agent, Message::DirectoryRequest);
        }
        self.stop_accepting_if_due(now.instant);
    }

    pub(crate) fn handle_input(&mut self, input: DispatchInput) {
        for action in self.dispatcher.handle(Now::read(), input) {
            self.run_action(action);
        }
    }

    fn run_action(&mut self, action: DispatchAction) {
        match action {
            DispatchAction::SpreadCancel(job) => self.cancelled.push(job),
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
