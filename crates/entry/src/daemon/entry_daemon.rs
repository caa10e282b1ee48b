//! State and main loop of the entry.

use {
    crate::{
        EntryError,
        event::{CallerReply, Event},
        links::Links,
        shards::Shards,
    },
    chestnutrun_decisions::{
        front::{FrontConf, FrontMachine, WaiterId},
        membership::{MembershipConf, MembershipInput, MembershipMachine},
        owner::OwnerInput,
    },
    chestnutrun_net::LinkEvent,
    chestnutrun_observe::{EventKind, Metrics, Stopwatch, Timeline, flush_logs},
    chestnutrun_settings::EntryConf,
    chestnutrun_table::Table,
    chestnutrun_types::{Configuration, Member, MemberList, Now},
    indexmap::IndexMap,
    std::{
        rc::Rc,
        time::{Duration, Instant, SystemTime},
    },
    tokio::{
        signal::unix::{SignalKind, signal},
        sync::{
            mpsc::{Receiver, Sender},
            oneshot,
        },
        time::{MissedTickBehavior, interval, sleep},
    },
};

/// Interval between the ticks of the decision machines.
const TICK: Duration = Duration::from_millis(50);

/// How long the process waits for its last messages to be sent before it exits.
const FLUSH_TIME: Duration = Duration::from_millis(300);

/// Parts from which [`EntryDaemon::new`] creates a loop.
#[derive(Debug)]
pub(crate) struct EntryDaemonParts {
    /// Settings of the process.
    pub(crate) conf: EntryConf,
    /// This entry, as the site's member list shows it.
    pub(crate) me: Member,
    /// Links to agents and entries.
    pub(crate) links: Links,
    /// Table that stores members, owners and the configuration.
    pub(crate) table: Box<dyn Table>,
    /// Metrics of the process.
    pub(crate) metrics: Metrics,
    /// Recent events.
    pub(crate) timeline: Timeline,
    /// Sender of the loop's queue, for HTTP handlers and results of table requests.
    pub(crate) tx: Sender<Event>,
}

/// Loop of one entry, with its decision machines, links and table.
#[derive(Debug)]
pub struct EntryDaemon {
    pub(super) conf: EntryConf,
    pub(super) me: Member,
    /// Forwards callers' requests to the owners of shards.
    pub(super) front: FrontMachine,
    /// Decides which shards this entry owns.
    pub(super) membership: MembershipMachine,
    pub(super) shards: Shards,
    pub(super) links: Links,
    pub(super) members: MemberList,
    pub(super) table: Box<dyn Table>,
    /// Newest configuration; none before the first read of the table.
    pub(super) configuration: Option<Rc<Configuration>>,
    /// Callers that wait for a reply, each with the stopwatch of its request.
    pub(super) waiters: IndexMap<WaiterId, (oneshot::Sender<CallerReply>, Stopwatch)>,
    pub(super) metrics: Metrics,
    pub(super) timeline: Timeline,
    pub(super) tx: Sender<Event>,
    /// When the entry exits at the latest; set once it is told to stop.
    pub(super) stop_by: Option<Instant>,
}

impl EntryDaemon {
    pub(crate) fn new(parts: EntryDaemonParts) -> Self {
        let shards = parts.conf.shards;
        let entry = parts.me.entry.clone();
        Self {
            front: FrontMachine::new(FrontConf {
                me: entry.clone(),
                shards,
            }),
            membership: MembershipMachine::new(MembershipConf {
                me: parts.me.clone(),
                shards,
            }),
            shards: Shards::new(parts.conf.policy),
            conf: parts.conf,
            me: parts.me,
            links: parts.links,
            members: MemberList::default(),
            table: parts.table,
            configuration: None,
            waiters: IndexMap::new(),
            metrics: parts.metrics,
            timeline: parts.timeline,
            tx: parts.tx,
            stop_by: None,
        }
    }

    pub(crate) async fn serve(
        mut self,
        mut rx: Receiver<Event>,
        mut link_rx: Receiver<LinkEvent>,
    ) -> Result<(), EntryError> {
        let mut terminate = signal(SignalKind::terminate()).map_err(EntryError::Signal)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(EntryError::Signal)?;
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        log::info!("entry {} started", self.me.entry);
        while !self.is_done() {
            tokio::select! {
                Some(event) = rx.recv() => self.handle_event(event),
                Some(event) = link_rx.recv() => self.handle_link_event(event),
                _ = tick.tick() => self.tick(),
                _ = terminate.recv() => self.begin_stop(),
                _ = interrupt.recv() => self.begin_stop(),
            }
        }
        self.close().await;
        Ok(())
    }

    /// Returns whether the entry can exit: it was told to stop, and its open work has
    /// ended or `stop_by` has passed.
    fn is_done(&self) -> bool {
        match self.stop_by {
            None => false,
            Some(stop_by) => {
                let has_work = self.front.pending_requests() > 0 || self.shards.has_open_jobs();
                let is_idle = !has_work && self.membership.has_left();
                is_idle || Instant::now() >= stop_by
            }
        }
    }

    /// Stops accepting submissions; a second call stops waiting for open jobs.
    fn begin_stop(&mut self) {
        if self.stop_by.is_some() {
            self.stop_by = Some(Instant::now());
            return;
        }
        self.stop_by = Some(Instant::now() + self.conf.stop_within);
        self.timeline
            .add_process_event(SystemTime::now(), EventKind::Leaving, "");
        self.membership_input(MembershipInput::Leave);
    }

    async fn close(self) {
        if self.front.pending_requests() > 0 {
            log::warn!(
                "stopping with {} requests of callers still unanswered",
                self.front.pending_requests()
            );
        }
        sleep(FLUSH_TIME).await;
        self.links.close();
        self.metrics.close();
        log::info!("entry {} stopped", self.me.entry);
    }

    fn tick(&mut self) {
        flush_logs();
        self.membership_input(MembershipInput::Tick);
        let actions = self.shards.handle_all(Now::read(), &OwnerInput::Tick);
        self.execute_owner_actions(actions);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Caller(request) => self.handle_caller_request(request),
            Event::Abandon(waiter) => self.abandon(waiter),
            Event::Operator(request, reply) => self.handle_operator_request(request, reply),
            Event::TableRead(read) => self.handle_table_read(read),
            Event::RowChanged(row, revision) => {
                // Before the first read, a single row is not a usable configuration.
                if self.configuration.is_some() {
                    self.apply_configuration(&Configuration::from_row(row, revision));
                }
            }
            Event::TableWritten(write, result) => {
                self.count_write(result);
                self.membership_input(MembershipInput::Written(write, result));
            }
        }
    }
}
