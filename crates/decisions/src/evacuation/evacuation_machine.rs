//! Keeps the newest known state of the evacuated zones and passes it on.

use {
    crate::evacuation::{EvacuationAction, EvacuationConf, EvacuationInput, PeerLink, ZoneGate},
    chestnutrun_types::{DecisionEvent, EvacuatedZones, Now, Revision, ZoneChange},
    indexmap::IndexSet,
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// How long an agent waits for its peers to tell the evacuated zones before it reads them
/// itself, and the time between two reads. Links open within some hundred milliseconds.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Keeps the newest known state of the evacuated zones and passes it on.
///
/// Every process passes a state on to all its links when the set of zones changes, so that
/// the state also reaches processes that the directory turns away. Of two states the one
/// with the higher revision of the directory is valid.
#[derive(Debug)]
pub struct EvacuationMachine {
    state: Option<EvacuatedZones>,
    /// When the set of zones was last replaced; none before the first state.
    since: Option<Instant>,
    links: IndexSet<PeerLink>,
    /// Until when no task may start while no state is known.
    hold_until: Option<Instant>,
    /// When the directory is read, while no state is known; none before the first tick.
    read_at: Option<Instant>,
    actions: Vec<EvacuationAction>,
}

impl EvacuationMachine {
    /// Creates a machine that knows no state.
    #[must_use]
    pub fn new(conf: EvacuationConf) -> Self {
        Self {
            state: None,
            since: None,
            links: IndexSet::new(),
            hold_until: conf.hold_until,
            read_at: None,
            actions: Vec::new(),
        }
    }

    /// Handles an input and returns the actions.
    pub fn handle(&mut self, now: Now, input: EvacuationInput) -> Vec<EvacuationAction> {
        let at = now.instant;
        match input {
            EvacuationInput::Read(read) => {
                self.adopt(at, read, None);
            }
            EvacuationInput::Changed(changes) => self.apply_changes(at, &changes),
            EvacuationInput::LinkOpened(link) => {
                self.links.insert(link);
                self.send(link);
            }
            EvacuationInput::LinkClosed(link) => {
                self.links.swap_remove(&link);
            }
            EvacuationInput::Received(link, received) => {
                if !self.adopt(at, received, Some(link)) {
                    self.send(link);
                }
            }
            EvacuationInput::Tick => self.tick(at),
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the newest known state; none if no state is known.
    #[must_use]
    pub fn state(&self) -> Option<&EvacuatedZones> {
        self.state.as_ref()
    }

    /// Returns for how long the set of zones has been the current one.
    #[must_use]
    pub fn age(&self, now: Instant) -> Duration {
        let since = self.since.unwrap_or(now);
        now.saturating_duration_since(since)
    }

    /// Returns where tasks may start.
    #[must_use]
    pub fn gate(&self) -> ZoneGate {
        match &self.state {
            Some(state) => ZoneGate::Except(Rc::new(state.zones.clone())),
            None if self.hold_until.is_some() => ZoneGate::Unknown,
            None => ZoneGate::default(),
        }
    }

    /// Applies the changes of a feed that are newer than the state. Without a state they
    /// say nothing of the other zones: the read that precedes a feed brings one.
    fn apply_changes(&mut self, now: Instant, changes: &[ZoneChange]) {
        let Some(state) = &self.state else {
            return;
        };
        let mut next = state.clone();
        for change in changes.iter().filter(|c| state.revision < c.revision) {
            if change.is_evacuated {
                next.zones.insert(change.zone.clone());
            } else {
                next.zones.shift_remove(&change.zone);
            }
            next.revision = next.revision.max(change.revision);
        }
        self.adopt(now, next, None);
    }

    /// Replaces the state if the other one is newer, and passes it on if the set of zones
    /// differs; returns false if the sender has an older state with other zones.
    fn adopt(&mut self, now: Instant, newer: EvacuatedZones, from: Option<PeerLink>) -> bool {
        let known_revision = self.state.as_ref().map(|state| state.revision);
        let is_same = self.state.as_ref().map(|state| &state.zones) == Some(&newer.zones);
        if known_revision.is_some_and(|revision| newer.revision <= revision) {
            return is_same || known_revision == Some(newer.revision);
        }
        let source = from.map_or("directory", |_| "peer");
        let revision = newer.revision;
        let before = self.state.replace(newer).unwrap_or_default();
        if is_same {
            return true;
        }
        self.since = Some(now);
        self.record_changes(&before, revision, source);
        let others: Vec<PeerLink> = self.links.iter().copied().collect();
        for link in others.into_iter().filter(|link| Some(*link) != from) {
            self.send(link);
        }
        self.actions.push(EvacuationAction::Apply(self.gate()));
        true
    }

    fn record_changes(
        &mut self,
        before: &EvacuatedZones,
        revision: Revision,
        source: &'static str,
    ) {
        let Some(state) = &self.state else {
            return;
        };
        let requested = state.zones.difference(&before.zones);
        let requested = requested.map(|zone| (zone, "requested"));
        let returned = before.zones.difference(&state.zones);
        let returned = returned.map(|zone| (zone, "taken-back"));
        let events = requested.chain(returned);
        let events = events.map(|(zone, news)| DecisionEvent::ZoneEvacuation {
            zone: zone.clone(),
            news: news.into(),
            revision,
            source: source.into(),
        });
        self.actions.extend(events.map(EvacuationAction::Record));
    }

    /// Sends the state on a link, if one is known.
    fn send(&mut self, link: PeerLink) {
        if let Some(state) = &self.state {
            self.actions
                .push(EvacuationAction::Send(link, state.clone()));
        }
    }

    /// Reads the directory while an agent knows no state, and ends the hold once it was
    /// held for long enough.
    fn tick(&mut self, now: Instant) {
        let Some(hold_until) = self.hold_until.filter(|_| self.state.is_none()) else {
            return;
        };
        if hold_until <= now {
            self.hold_until = None;
            self.actions.push(EvacuationAction::Apply(self.gate()));
            return;
        }
        let read_at = *self.read_at.get_or_insert(now + READ_INTERVAL);
        if read_at <= now {
            self.read_at = Some(now + READ_INTERVAL);
            self.actions.push(EvacuationAction::ReadDirectory);
        }
    }
}
