//! The entry's loop.

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
    chestnutrun_observe::{EventKind, Metrics, Stopwatch, Timeline},
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

/// How often the machines are told that time passed.
const TICK: Duration = Duration::from_millis(50);

/// How long the last messages get to leave before the process ends.
const LINGER: Duration = Duration::from_millis(300);

/// What an entry's loop is made of.
#[derive(Debug)]
pub(crate) struct EntryDaemonParts {
    /// Settings.
    pub(crate) conf: EntryConf,
    /// This entry.
    pub(crate) me: Member,
    /// Links to agents and entries.
    pub(crate) links: Links,
    /// The platform's table.
    pub(crate) table: Box<dyn Table>,
    /// Metrics.
    pub(crate) metrics: Metrics,
    /// Recent events.
    pub(crate) timeline: Timeline,
    /// Where the loop's events come from.
    pub(crate) tx: Sender<Event>,
}

/// Front end of an entry's machines.
#[derive(Debug)]
pub struct EntryDaemon {
    pub(super) conf: EntryConf,
    pub(super) me: Member,
    pub(super) front: FrontMachine,
    pub(super) membership: MembershipMachine,
    pub(super) shards: Shards,
    pub(super) links: Links,
    pub(super) members: MemberList,
    pub(super) table: Box<dyn Table>,
    pub(super) configuration: Option<Rc<Configuration>>,
    pub(super) waiters: IndexMap<WaiterId, (oneshot::Sender<CallerReply>, Stopwatch)>,
    pub(super) metrics: Metrics,
    pub(super) timeline: Timeline,
    pub(super) tx: Sender<Event>,
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
                Some(event) = rx.recv() => self.event(event),
                Some(event) = link_rx.recv() => self.link_event(event),
                _ = tick.tick() => self.tick(),
                _ = terminate.recv() => self.leave(),
                _ = interrupt.recv() => self.leave(),
            }
        }
        self.close().await;
        Ok(())
    }

    fn is_done(&self) -> bool {
        match self.stop_by {
            None => false,
            Some(stop_by) => {
                let has_work = self.front.pending_requests() > 0 || self.shards.has_open_jobs();
                let is_free = !has_work && self.membership.has_left();
                is_free || Instant::now() >= stop_by
            }
        }
    }

    /// Takes nothing new; a second call ends the wait for what is open.
    fn leave(&mut self) {
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
            log::warn!("{} jobs were cut off", self.front.pending_requests());
        }
        sleep(LINGER).await;
        self.links.close();
        self.metrics.close();
        log::info!("entry {} stopped", self.me.entry);
    }

    fn tick(&mut self) {
        self.membership_input(MembershipInput::Tick);
        let actions = self.shards.handle_all(Now::read(), &OwnerInput::Tick);
        self.owner_actions(actions);
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Caller(request) => self.caller(request),
            Event::Abandon(waiter) => self.abandon(waiter),
            Event::Operator(request, reply) => self.operator(request, reply),
            Event::TableRead(read) => self.table_read(read),
            Event::Changed(row, revision) => {
                // Before the first read one row is no configuration.
                if self.configuration.is_some() {
                    self.configured(&Configuration::from_row(row, revision));
                }
            }
            Event::TableWritten(write, result) => {
                self.count_write(result);
                self.membership_input(MembershipInput::Written(write, result));
            }
        }
    }
}
