//! Guards one endpoint for all entries.

use {
    crate::{
        guard::{
            FencingToken, GuardAction, GuardInput, endpoint_state::EndpointState,
            entry_state::EntryState, run::Phase, runs::Runs,
        },
        timing::ENTRY_PROOF_LIMIT,
    },
    chestnutrun_types::{DecisionEvent, EndKind, EntryId, Now, RunNumber},
    indexmap::IndexMap,
    std::time::Instant,
};

/// What the guard is told at its start.
#[derive(Clone, Copy, Debug)]
pub struct GuardConf {
    /// Lowest number of starts and fencing tokens: the wall clock in
    /// milliseconds, so that numbers grow over runs of the agent.
    pub first_number: u64,
}

/// Guards one endpoint for all entries.
#[derive(Debug)]
pub struct GuardMachine {
    pub(super) token: FencingToken,
    pub(super) next_run: RunNumber,
    pub(super) endpoint: Option<EndpointState>,
    pub(super) entries: IndexMap<EntryId, EntryState>,
    pub(super) runs: Runs,
    pub(super) is_leaving: bool,
    pub(super) actions: Vec<GuardAction>,
}

impl GuardMachine {
    /// Creates a guard that knows no endpoint yet.
    #[must_use]
    pub fn new(conf: GuardConf) -> Self {
        Self {
            token: conf.first_number,
            next_run: conf.first_number,
            endpoint: None,
            entries: IndexMap::new(),
            runs: Runs::default(),
            is_leaving: false,
            actions: Vec::new(),
        }
    }

    /// Takes an input and returns what to do.
    pub fn handle(&mut self, now: Now, input: GuardInput) -> Vec<GuardAction> {
        let at = now.instant;
        match input {
            GuardInput::Announced(announcement) => self.announced(at, announcement),
            GuardInput::Ended(endpoint) => self.endpoint_ended(at, &endpoint),
            GuardInput::LinkUp(entry, incarnation, zone) => {
                self.link_up(at, entry, incarnation, zone);
            }
            GuardInput::LinkDown(entry) => self.link_down(&entry),
            GuardInput::Proven(entry, proven_at) => self.proven(&entry, proven_at),
            GuardInput::Assign(entry, assignment) => self.assign(at, &entry, assignment),
            GuardInput::Revoke(entry, revocation) => self.revoke(at, &entry, &revocation),
            GuardInput::Started(endpoint, run, answer) => self.started(at, endpoint, run, &answer),
            GuardInput::Stopped(endpoint, run, answer) => self.stopped(at, endpoint, run, &answer),
            GuardInput::Listed(endpoint, order, answer) => {
                self.listed(at, endpoint, &order, answer);
            }
            GuardInput::Leave => self.leave(at),
            GuardInput::Tick => self.tick(at),
        }
        self.start_waiting(at);
        self.poll(at);
        self.look_if_due(at);
        self.report(at);
        std::mem::take(&mut self.actions)
    }

    /// Whether no task is left.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.runs.is_empty()
    }

    /// Returns how many tasks wait or run.
    #[must_use]
    pub fn tasks(&self) -> usize {
        self.runs.len()
    }

    /// Whether the endpoint takes work.
    #[must_use]
    pub fn takes_work(&self, now: Instant) -> bool {
        let endpoint = self.endpoint.as_ref();
        !self.is_leaving && endpoint.is_some_and(|e| e.takes_work(now))
    }

    /// Returns when an update that was held back is due, a task has waited long
    /// enough, or a stop or a list is to be sent again.
    #[must_use]
    pub fn wake_at(&self, now: Instant) -> Option<Instant> {
        let room_of = self.room_by_position(now);
        let zone = self.zone();
        let entries = self.entries.values().enumerate();
        let due = entries.filter_map(|(at, entry)| entry.report_at(now, &zone, room_of(at)));
        due.chain(self.runs.first_start_by())
            .chain(self.runs.first_stop_again())
            .chain(self.look_at(now))
            .min()
    }

    pub(super) fn leave(&mut self, now: Instant) {
        self.is_leaving = true;
        self.return_waiting(now);
        self.mark_stale();
    }

    pub(super) fn tick(&mut self, now: Instant) {
        let lost: Vec<EntryId> = self
            .entries
            .iter()
            .filter(|(_, e)| e.proven_at.is_some() && !e.is_proven(now, ENTRY_PROOF_LIMIT))
            .map(|(entry, _)| entry.clone())
            .collect();
        for entry in lost {
            self.drop_entry(now, &entry);
        }
        let late = self
            .runs
            .keys(|run| matches!(run.phase, Phase::Waiting(by) if by <= now));
        for key in late {
            self.finish(now, &key, EndKind::NotStarted);
        }
        let is_unheard = self.endpoint.as_ref().is_some_and(|e| !e.is_heard(now));
        if is_unheard {
            self.return_waiting(now);
            self.mark_stale();
        }
        let is_failing = self
            .endpoint
            .as_ref()
            .is_some_and(|e| e.health.is_failing());
        if is_failing {
            // Whose turn it is to try the endpoint changes with time.
            self.mark_stale();
        }
        self.stop_again(now);
        self.lapse(now);
    }

    pub(super) fn note(&mut self, note: DecisionEvent) {
        self.actions.push(GuardAction::Note(note));
    }

    pub(super) fn mark_stale(&mut self) {
        for state in self.entries.values_mut() {
            state.is_stale = true;
        }
    }
}
