//! The agent's loop: passes events to its decision machine and executes the actions
//! that the machine returns.

use {
    crate::{
        AgentError, Arguments, Endpoint, HttpEndpoint,
        event::{Event, Page},
        links::Links,
        operators,
    },
    chestnutrun_decisions::{
        agent::{
            AgentAction, AgentConf as MachineConf, AgentInput, AgentMachine, AgentMessage,
            RunOutcome,
        },
        intake::IntakeLimits,
    },
    chestnutrun_net::{LinkEvent, LinkId, SharedIntake},
    chestnutrun_observe::{EventKind, Metrics, Timeline, flush_logs, start_logs},
    chestnutrun_protocol::{Hello, Message},
    chestnutrun_settings::{AgentConf, load},
    chestnutrun_types::{
        AgentHello, Configuration, EndpointId, EntryId, Now, Revision, Start, StartRefusal,
        StartRefused,
    },
    std::{
        fs,
        time::{Duration, Instant, SystemTime},
    },
    tokio::{
        net::TcpListener,
        signal::unix::{SignalKind, signal},
        sync::mpsc::{Receiver, Sender, channel},
        time::{MissedTickBehavior, interval, sleep},
    },
};

/// Interval between the ticks of the decision machine.
const TICK: Duration = Duration::from_millis(100);

/// Capacity of each event queue of the loop.
const MAX_QUEUED_EVENTS: usize = 4_096;

/// Number of messages that a refused start wastes: the start and the refusal.
const REFUSED_START_MESSAGES: u64 = 2;

/// How long the process waits for its last messages to be sent before it exits.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// Loop of one agent, with its decision machine, links and endpoint.
#[derive(Debug)]
pub struct AgentDaemon {
    conf: AgentConf,
    hello: AgentHello,
    machine: AgentMachine,
    links: Links,
    configuration: Configuration,
    endpoint: Box<dyn Endpoint>,
    metrics: Metrics,
    timeline: Timeline,
    /// Sender of this loop's queue, through which runs report their outcome.
    tx: Sender<Event>,
    /// When the agent exits at the latest; set once it is told to stop.
    stop_by: Option<Instant>,
}

/// Runs an agent until SIGTERM or SIGINT stops it.
///
/// # Errors
/// Returns an error if the agent cannot start.
pub async fn run(arguments: Arguments) -> Result<(), AgentError> {
    let conf: AgentConf = load(&arguments.conf)?;
    if arguments.check_config {
        println!("{}: settings are valid", arguments.conf.display());
        return Ok(());
    }
    start_logs(conf.log.level.into());
    let site_token = fs::read_to_string(&conf.site_token_file).map_err(AgentError::Token)?;
    let listener = TcpListener::bind(conf.operators)
        .await
        .map_err(|e| AgentError::Listen(conf.operators, e))?;
    let endpoint = HttpEndpoint::new(conf.endpoint_address, conf.connections).await?;
    let (tx, rx) = channel(MAX_QUEUED_EVENTS);
    let (link_tx, link_rx) = channel(MAX_QUEUED_EVENTS);
    let intake = SharedIntake::new(IntakeLimits::of_few(conf.machine.sockets()));
    ntex::rt::spawn(operators::serve(listener, tx.clone(), intake));
    let hello = agent_hello(&conf);
    let links = Links::open(
        site_token.trim().into(),
        hello.clone(),
        link_tx,
        &conf.entries,
    );
    let daemon = AgentDaemon {
        machine: AgentMachine::new(MachineConf {
            shard: conf.shard,
            slots: conf.slots,
        }),
        hello,
        links,
        configuration: Configuration::default(),
        endpoint: Box::new(endpoint),
        metrics: Metrics::new()?,
        timeline: Timeline::new(format!("agent-{}", conf.endpoint)),
        tx,
        stop_by: None,
        conf,
    };
    daemon.serve(rx, link_rx).await
}

fn agent_hello(conf: &AgentConf) -> AgentHello {
    AgentHello {
        endpoint: conf.endpoint.as_str().into(),
        incarnation: Now::read().incarnation(),
        shard: conf.shard,
        slots: conf.slots,
        zone: conf.zone.as_str().into(),
        leaving: false,
    }
}

impl AgentDaemon {
    async fn serve(
        mut self,
        mut rx: Receiver<Event>,
        mut link_rx: Receiver<LinkEvent>,
    ) -> Result<(), AgentError> {
        let mut terminate = signal(SignalKind::terminate()).map_err(AgentError::Signal)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(AgentError::Signal)?;
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        log::info!("agent of endpoint {} started", self.conf.endpoint);
        while !self.is_done() {
            tokio::select! {
                Some(event) = rx.recv() => self.handle_event(event),
                Some(event) = link_rx.recv() => self.handle_link_event(event),
                _ = tick.tick() => {
                    flush_logs();
                    self.handle_input(AgentInput::Tick);
                }
                _ = terminate.recv() => self.begin_stop(),
                _ = interrupt.recv() => self.begin_stop(),
            }
        }
        self.close().await;
        Ok(())
    }

    /// Returns whether the agent can exit: it was told to stop, and no task is running
    /// or `stop_by` has passed.
    fn is_done(&self) -> bool {
        match self.stop_by {
            None => false,
            Some(stop_by) => self.machine.running() == 0 || Instant::now() >= stop_by,
        }
    }

    /// Stops accepting tasks; a second call stops waiting for running tasks.
    fn begin_stop(&mut self) {
        if self.stop_by.is_some() {
            self.stop_by = Some(Instant::now());
            return;
        }
        self.stop_by = Some(Instant::now() + self.conf.stop_within);
        self.timeline
            .add_process_event(SystemTime::now(), EventKind::Leaving, "");
        self.hello.leaving = true;
        self.links.announce(self.hello.clone());
        self.handle_input(AgentInput::Leave);
    }

    /// Announces the departure to the entries, with the key hashes of the recorded
    /// jobs, and closes the links.
    async fn close(self) {
        if self.machine.running() > 0 {
            log::warn!(
                "stopping with {} tasks still running at the endpoint",
                self.machine.running()
            );
        }
        let jobs = self.machine.key_hashes();
        self.links.send_all(&Message::Departed(jobs));
        sleep(FLUSH_TIME).await;
        self.links.close();
        self.metrics.close();
        log::info!("agent of endpoint {} stopped", self.conf.endpoint);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::RunEnded(task, outcome) => {
                self.metrics.count_task(outcome_name(&outcome));
                let endpoint = self.hello.endpoint.clone();
                let detail = outcome_name(&outcome);
                self.timeline.add_task_event(
                    SystemTime::now(),
                    EventKind::Ended,
                    &task,
                    &endpoint,
                    detail,
                );
                self.handle_input(AgentInput::RunEnded(task, outcome));
            }
            Event::Page(page, reply) => {
                // The operator may have disconnected.
                let _ = reply.send(self.render_page(page));
            }
        }
    }

    fn handle_link_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up(link, _) => self.links.add(link),
            LinkEvent::Message(id, message) => self.handle_message(id, message),
            // Leases are renewed by `Confirmation` messages, so signs of life are ignored.
            LinkEvent::PeerAlive(..) => {}
            LinkEvent::Down(id) => {
                if let Some(entry) = self.links.remove(id) {
                    self.timeline.add_process_event(
                        SystemTime::now(),
                        EventKind::LinkDown,
                        entry.to_string(),
                    );
                    self.handle_input(AgentInput::LinkDown(entry));
                }
            }
        }
    }

    fn handle_message(&mut self, id: LinkId, message: Message) {
        self.metrics.count_received("entry", message.kind());
        if let Message::Hello(Hello::Entry(member)) = message {
            self.links.set_peer(id, member.clone());
            self.timeline.add_process_event(
                SystemTime::now(),
                EventKind::LinkUp,
                member.entry.to_string(),
            );
            self.handle_input(AgentInput::LinkUp(member.entry));
            return;
        }
        let Some(entry) = self.links.entry(id).cloned() else {
            log::warn!("dropped a message that arrived before the entry's hello");
            return;
        };
        match message {
            Message::Members(list) => self.links.update_members(&list),
            Message::Configuration(configuration) => {
                self.record_configuration(configuration.revision);
                self.configuration.merge(&configuration);
                let draining = self.configuration.is_draining(&self.hello.endpoint);
                self.handle_input(AgentInput::Configured {
                    revision: self.configuration.revision,
                    draining,
                });
            }
            Message::Confirmation(confirmation) => {
                self.handle_input(AgentInput::Confirmed(entry, confirmation));
            }
            Message::Fence(fence) => self.handle_input(AgentInput::Fence(entry, fence)),
            Message::Start(start) => self.handle_input(AgentInput::Start(entry, start)),
            Message::Lookup(lookup) => self.handle_input(AgentInput::Lookup(entry, lookup)),
            other => log::warn!("dropped a message that entries do not send to agents: {other:?}"),
        }
    }

    /// Passes an input to the decision machine and executes its actions.
    fn handle_input(&mut self, input: AgentInput) {
        for action in self.machine.handle(Now::read(), input) {
            match action {
                AgentAction::Send(entry, message) => self.send(&entry, to_wire(message)),
                AgentAction::Run(start) => self.start_run(start),
            }
        }
    }

    fn send(&mut self, entry: &EntryId, message: Message) {
        self.metrics.count_sent("entry", message.kind());
        if let Message::StartRefused(refused) = &message {
            self.record_refusal(refused);
        }
        self.links.send(entry, message);
    }

    /// Records a configuration on the timeline if it is newer than the current one.
    fn record_configuration(&mut self, revision: Revision) {
        if revision > self.machine.configuration() {
            let detail = revision.to_string();
            self.timeline
                .add_process_event(SystemTime::now(), EventKind::Configured, detail);
        }
    }

    /// Counts a refused start and records it on the timeline.
    fn record_refusal(&mut self, refused: &StartRefused) {
        self.metrics
            .count_refused_start(refusal_name(refused.reason));
        self.metrics
            .count_wasted(REFUSED_START_MESSAGES, "start-refused");
        self.timeline.add_task_event(
            SystemTime::now(),
            EventKind::StartRefused,
            &refused.task,
            &self.hello.endpoint,
            refusal_name(refused.reason),
        );
    }

    fn start_run(&mut self, start: Start) {
        let endpoint: EndpointId = self.hello.endpoint.clone();
        self.timeline.add_task_event(
            SystemTime::now(),
            EventKind::Started,
            &start.task,
            &endpoint,
            "",
        );
        let task = start.task.clone();
        let run = self.endpoint.run(start);
        let tx = self.tx.clone();
        let stopwatch = self.metrics.time_run();
        ntex::rt::spawn(async move {
            let outcome = run.await;
            stopwatch.close(outcome_name(&outcome));
            // Sending fails only if the loop has ended, and then the process ends.
            let _ = tx.send(Event::RunEnded(task, outcome)).await;
        });
    }

    fn render_page(&self, page: Page) -> (u16, String) {
        match page {
            Page::Live => (200, "live\n".to_owned()),
            Page::Ready if self.is_ready() => (200, "ready\n".to_owned()),
            Page::Ready => (503, "not ready\n".to_owned()),
            Page::Metrics => self.metrics_page(),
            Page::Status => (200, self.status().to_string()),
            Page::Timeline => {
                let events: Vec<_> = self.timeline.events().collect();
                match serde_json::to_string(&events) {
                    Ok(text) => (200, text),
                    Err(error) => (500, error.to_string()),
                }
            }
        }
    }

    fn is_ready(&self) -> bool {
        self.links.count() > 0 && !self.machine.is_leaving()
    }

    fn metrics_page(&self) -> (u16, String) {
        self.metrics.set_slots("total", self.conf.slots);
        self.metrics.set_slots("taken", self.machine.running());
        self.metrics.set_links("entry", self.links.count());
        self.metrics
            .set_jobs("recorded", self.machine.recorded_jobs());
        match self.metrics.show() {
            Ok(text) => (200, text),
            Err(error) => (500, error.to_string()),
        }
    }

    fn status(&self) -> serde_json::Value {
        serde_json::json!({
            "process": format!("agent-{}", self.conf.endpoint),
            "endpoint": self.conf.endpoint,
            "incarnation": self.hello.incarnation,
            "zone": self.conf.zone,
            "running": self.machine.running(),
            "recorded_jobs": self.machine.recorded_jobs(),
            "configuration": self.machine.configuration(),
            "links": self.links.count(),
            "leaving": self.machine.is_leaving(),
        })
    }
}

fn to_wire(message: AgentMessage) -> Message {
    match message {
        AgentMessage::Confirm(confirm) => Message::Confirm(confirm),
        AgentMessage::FenceReply(reply) => Message::FenceReply(reply),
        AgentMessage::StartRefused(refused) => Message::StartRefused(refused),
        AgentMessage::Finished(finished) => Message::Finished(finished),
        AgentMessage::LookupReply(reply) => Message::LookupReply(reply),
    }
}

fn refusal_name(reason: StartRefusal) -> &'static str {
    match reason {
        StartRefusal::StaleEpoch => "stale-epoch",
        StartRefusal::LeaseLapsed => "lease-lapsed",
        StartRefusal::NoSlot => "no-slot",
        StartRefusal::Leaving => "leaving",
        StartRefusal::DeadlinePassed => "deadline-passed",
        StartRefusal::Voided => "forgone",
        StartRefusal::EndpointRefused => "endpoint-refused",
        StartRefusal::Cancelled => "cancelled",
        StartRefusal::KeyReused => "key-reused",
    }
}

fn outcome_name(outcome: &RunOutcome) -> &'static str {
    match outcome {
        RunOutcome::Completed(_) => "completed",
        RunOutcome::Failed(_) => "failed",
        RunOutcome::NotStarted => "not-started",
        RunOutcome::Unknown => "unknown",
    }
}
