//! State machine that controls one endpoint on behalf of all entries.

use {
    crate::{
        crashes::CrashReports,
        evacuation::ZoneGate,
        guard::{
            FencingToken, GuardAction, GuardInput, contention::Contention,
            endpoint_state::EndpointState, entry_state::EntryState, run::Phase, runs::Runs,
        },
        timing::ENTRY_PROOF_LIMIT,
    },
    chestnutrun_types::{DecisionEvent, EntryId, Now, RunNumber},
    indexmap::IndexMap,
    std::time::{Duration, Instant},
};

/// Settings of a [`GuardMachine`].
#[derive(Clone, Copy, Debug)]
pub struct GuardConf {
    /// First start number and fencing token: the wall clock in milliseconds, so
    /// that numbers keep growing when the agent restarts.
    pub first_number: u64,
    /// Longest lease that an endpoint grants; it shortens longer ones.
    pub longest_lease: Duration,
}

impl Default for GuardConf {
    fn default() -> Self {
        Self {
            first_number: 1,
            longest_lease: Duration::from_secs(1),
        }
    }
}

/// Starts, tracks and stops tasks at one endpoint on behalf of all entries.
#[derive(Debug)]
pub struct GuardMachine {
    pub(super) conf: GuardConf,
    pub(super) token: FencingToken,
    pub(super) next_run: RunNumber,
    pub(super) endpoint: Option<EndpointState>,
    pub(super) entries: IndexMap<EntryId, EntryState>,
    pub(super) runs: Runs,
    pub(super) contention: Contention,
    pub(super) crashes: CrashReports,
    pub(super) gate: ZoneGate,
    pub(super) is_leaving: bool,
    pub(super) actions: Vec<GuardAction>,
}

impl GuardMachine {
    /// Creates a guard without an endpoint.
    #[must_use]
    pub fn new(conf: GuardConf) -> Self {
        Self {
            conf,
            token: conf.first_number,
            next_run: conf.first_number,
            endpoint: None,
            entries: IndexMap::new(),
            runs: Runs::default(),
            contention: Contention::default(),
            crashes: CrashReports::default(),
            gate: ZoneGate::default(),
            is_leaving: false,
            actions: Vec::new(),
        }
    }

    /// Processes an input and returns the resulting actions in order.
    pub fn handle(&mut self, now: Now, input: GuardInput) -> Vec<GuardAction> {
        let at = now.instant;
        match input {
            GuardInput::Announced(announcement) => self.handle_announcement(at, announcement),
            GuardInput::EndpointEnded(endpoint) => self.handle_endpoint_end(at, &endpoint),
            GuardInput::LinkUp(entry, incarnation, zone) => {
                self.link_up(at, entry, incarnation, zone);
            }
            GuardInput::LinkDown(entry) => self.link_down(&entry),
            GuardInput::Withdraw(entry) => self.set_withdrawn(&entry, true),
            GuardInput::Restore(entry) => self.set_withdrawn(&entry, false),
            GuardInput::Proven(entry, proven_at) => self.record_entry_proof(&entry, proven_at),
            GuardInput::Assign(entry, assignment) => self.assign(now, &entry, assignment),
            GuardInput::Revoke(entry, revocation) => self.revoke(at, &entry, &revocation),
            GuardInput::Started(endpoint, run, answer) => {
                self.handle_start_answer(at, endpoint, run, &answer);
            }
            GuardInput::Stopped(endpoint, run, answer) => {
                self.handle_stop_answer(at, endpoint, run, &answer);
            }
            GuardInput::Listed(endpoint, order, answer) => {
                self.handle_list_answer(at, endpoint, &order, answer);
            }
            GuardInput::ZonesChanged(gate) => self.change_gate(gate),
            GuardInput::Leave => self.leave(at),
            GuardInput::Tick => self.tick(at),
        }
        self.forget_ended_endpoint(at);
        self.adopt_successor(at);
        self.start_waiting(at);
        self.send_long_poll(at);
        self.send_immediate_list_if_due(at);
        self.send_updates(at);
        std::mem::take(&mut self.actions)
    }

    /// Whether no task waits or runs.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.runs.is_empty()
    }

    /// Returns how many tasks wait or run.
    #[must_use]
    pub fn tasks(&self) -> usize {
        self.runs.len()
    }

    /// Whether a task of an entry waits or runs.
    #[must_use]
    pub fn holds_tasks_of(&self, entry: &EntryId) -> bool {
        self.runs.iter().any(|run| run.key.entry == *entry)
    }

    /// Whether tasks may start at the endpoint.
    #[must_use]
    pub fn takes_work(&self, now: Instant) -> bool {
        let endpoint = self.endpoint.as_ref();
        !self.is_leaving
            && self.obstacle().is_none()
            && endpoint.is_some_and(|e| e.takes_work(now))
            && !self.is_lease_short(now)
    }

    /// Returns the next deadline: a delayed update, a task that has waited too
    /// long, a stop that is sent again, or an immediate list.
    #[must_use]
    pub fn next_wakeup(&self, now: Instant) -> Option<Instant> {
        let room_of = self.room_by_position(now);
        let zone = self.zone();
        let entries = self.entries.values().enumerate();
        let due = entries
            .filter_map(|(at, entry)| entry.report_due_at(now, &zone, entry.offer(room_of(at))));
        due.chain(self.runs.first_start_by())
            .chain(self.runs.first_stop_resend())
            .chain(self.immediate_list_at(now))
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
            .keys_where(|run| matches!(run.phase, Phase::Waiting(by) if by <= now));
        for key in late {
            self.finish_waiting(now, &key);
        }
        let is_unresponsive = self
            .endpoint
            .as_ref()
            .is_some_and(|e| !e.is_responsive(now));
        if is_unresponsive || self.is_lease_short(now) {
            self.return_waiting(now);
            self.mark_stale();
        }
        let is_failing = self
            .endpoint
            .as_ref()
            .is_some_and(|e| e.health.is_failing());
        if is_failing {
            // The entry that may try a failing endpoint changes with time.
            self.mark_stale();
        }
        self.resend_refused_stops(now);
        self.end_lapsed_runs(now);
        self.forget_entries(now);
    }

    pub(super) fn record_decision(&mut self, event: DecisionEvent) {
        self.actions.push(GuardAction::Record(event));
    }

    pub(super) fn mark_stale(&mut self) {
        for state in self.entries.values_mut() {
            state.is_stale = true;
        }
    }
}
