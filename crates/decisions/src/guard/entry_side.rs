//! Links, assignments and revocations of entries, and the updates sent to them.

use {
    crate::{
        guard::{
            GuardAction, GuardMachine, GuardMessage,
            endpoint_clock::latest_end,
            entry_state::{EntryState, ReportedRoom},
            run::{Phase, Run, RunKey},
            run_over::RunOver,
        },
        timing::{ENTRY_PROOF_LIMIT, RUN_LEASE, millis},
    },
    chestnutrun_types::{
        AgentUpdate, Assignment, DecisionEvent, EndKind, EntryId, Incarnation, Now, Reserve,
        Resources, Resync, Revocation, RunNumber, TaskId, ZoneId,
    },
    std::time::Instant,
};

/// How far the run number of an assignment may lie ahead of this worker's wall clock, in
/// milliseconds: a day. Agents begin their numbers at a clock reading in milliseconds and
/// raise them by seconds, so that no run of theirs has a higher one.
const MAX_RUN_NUMBER_AHEAD: RunNumber = 24 * 3_600 * 1_000;

impl GuardMachine {
    pub(super) fn link_up(
        &mut self,
        now: Instant,
        entry: EntryId,
        incarnation: Incarnation,
        zone: ZoneId,
    ) {
        let known = self.entries.get(&entry).map(|state| state.incarnation);
        if known != Some(incarnation) {
            self.drop_entry(now, &entry);
            self.entries
                .insert(entry.clone(), EntryState::new(incarnation, zone));
        }
        let is_of = |run: &&Run| run.key.entry == entry && run.key.incarnation == incarnation;
        let live = self.runs.iter().filter(is_of);
        let live = live.map(|run| (run.key.assignment, run.key.at)).collect();
        let info = self.clean_endpoint_info();
        let Some(state) = self.entries.get_mut(&entry) else {
            return;
        };
        state.is_linked = true;
        state.is_withdrawn = false;
        state.is_stale = true;
        state.last_report = None;
        state.known_crash = self.crashes.newest();
        let resync = Resync {
            info,
            live,
            ends: state.resync_ends(),
            crashes: self.crashes.after(now, 0),
        };
        self.actions
            .push(GuardAction::Send(entry, GuardMessage::Resync(resync)));
    }

    pub(super) fn link_down(&mut self, entry: &EntryId) {
        if let Some(state) = self.entries.get_mut(entry) {
            state.is_linked = false;
        }
    }

    pub(super) fn set_withdrawn(&mut self, entry: &EntryId, is_withdrawn: bool) {
        if let Some(state) = self.entries.get_mut(entry) {
            state.is_withdrawn = is_withdrawn;
            state.is_stale = true;
        }
    }

    /// Forgets the entries that have neither a link nor a task, and to which no end
    /// of a task is owed.
    pub(super) fn forget_entries(&mut self, now: Instant) {
        let runs = &self.runs;
        self.entries.retain(|entry, state| {
            state.is_needed(now) || runs.iter().any(|run| run.key.entry == *entry)
        });
    }

    pub(super) fn record_entry_proof(&mut self, entry: &EntryId, at: Instant) {
        if let Some(state) = self.entries.get_mut(entry) {
            state.proven_at = state.proven_at.max(Some(at));
        }
    }

    pub(super) fn assign(&mut self, now: Now, entry: &EntryId, assignment: Assignment) {
        let most = now.incarnation() / 1_000_000 + MAX_RUN_NUMBER_AHEAD;
        let now = now.instant;
        let Some(state) = self.entries.get_mut(entry) else {
            return;
        };
        let incarnation = state.incarnation;
        state.last_assignment = state.last_assignment.max(assignment.id);
        if assignment.after_run < most {
            self.next_run = self.next_run.max(assignment.after_run + 1);
        }
        // A wait that no clock can hold counts as none.
        let start_by = now.checked_add(assignment.start_within).unwrap_or(now);
        for assigned in assignment.tasks {
            let task = TaskId {
                job: assignment.job.clone(),
                at: assigned.at,
            };
            self.runs.insert(Run {
                key: RunKey {
                    entry: entry.clone(),
                    incarnation,
                    assignment: assignment.id,
                    at: assigned.at,
                },
                task,
                assigned,
                is_alone: assignment.alone,
                priority: assignment.priority,
                payload: assignment.payload.clone(),
                phase: Phase::Waiting(start_by),
                number: 0,
                assigned_at: now,
                started_at: None,
                percent: 0,
                progressed_at: None,
                stop_sent_at: None,
                resend_stop_at: None,
                has_crashed: false,
                end_kind: EndKind::NotStarted,
                over_by: None,
            });
        }
        self.stop_older_attempts(now, entry, assignment.id);
        self.mark_stale();
        self.return_evacuated(now);
        if !self.takes_work(now) {
            self.return_waiting(now);
        }
    }

    /// Stops other runs of the tasks in an assignment: their caller submitted the
    /// job again.
    pub(super) fn stop_older_attempts(&mut self, now: Instant, entry: &EntryId, assignment: u64) {
        let incarnation = self.entries.get(entry).map(|state| state.incarnation);
        let is_new = |run: &Run| {
            run.key.entry == *entry
                && Some(run.key.incarnation) == incarnation
                && run.key.assignment == assignment
        };
        let tasks: Vec<_> = self
            .runs
            .iter()
            .filter(|r| is_new(r))
            .map(|r| r.task.clone())
            .collect();
        let older = self
            .runs
            .keys_where(|run| !is_new(run) && tasks.contains(&run.task));
        for key in older {
            self.release_run(&key, latest_end(now, RUN_LEASE));
            self.stop_run(now, &key, EndKind::Stopped, "submitted-again");
        }
    }

    pub(super) fn revoke(&mut self, now: Instant, entry: &EntryId, revocation: &Revocation) {
        let incarnation = self.entries.get(entry).map(|state| state.incarnation);
        let revoked = self.runs.keys_where(|run| {
            run.key.entry == *entry
                && Some(run.key.incarnation) == incarnation
                && revocation.assignments.contains(&run.key.assignment)
        });
        for key in revoked {
            self.release_run(&key, latest_end(now, RUN_LEASE));
            self.stop_run(now, &key, EndKind::Stopped, "revoked");
        }
    }

    /// Stops the tasks of an entry that is dead or was replaced.
    pub(super) fn drop_entry(&mut self, now: Instant, entry: &EntryId) {
        let keys = self.runs.keys_where(|run| run.key.entry == *entry);
        let state = self.entries.get(entry);
        let proven_at = state.and_then(|state| state.proven_at).unwrap_or(now);
        let over_by = latest_end(now.min(proven_at + ENTRY_PROOF_LIMIT), RUN_LEASE);
        if !keys.is_empty() {
            let event = DecisionEvent::EntryLost {
                entry: entry.clone(),
                tasks: keys.len(),
                proof_age_ms: millis(now.saturating_duration_since(proven_at)),
            };
            self.record_decision(event);
        }
        for key in keys {
            self.release_run(&key, over_by);
            self.stop_run(now, &key, EndKind::Stopped, "entry-lost");
        }
    }

    /// Removes a task that certainly does not run at the endpoint, and queues its
    /// end for its entry.
    pub(super) fn finish_run(&mut self, now: Instant, over: RunOver) {
        let (key, kind) = over.into_parts();
        let Some(run) = self.runs.remove(&key) else {
            return;
        };
        let end = run.task_end(now, kind);
        self.record_decision(DecisionEvent::TaskEnded {
            job: run.task.job.clone(),
            task: run.task.at,
            run: run.number,
            how: kind,
            ran_ms: millis(end.ran),
        });
        let entry = self.entries.get_mut(&key.entry);
        if let Some(entry) = entry.filter(|state| state.incarnation == key.incarnation) {
            entry.record_end(now, end);
        }
        self.mark_stale();
    }

    /// Returns the waiting tasks to their entries as not started.
    pub(super) fn return_waiting(&mut self, now: Instant) {
        for key in self.runs.waiting() {
            self.finish_waiting(now, &key);
        }
    }

    /// Ends a task whose start was not sent; others go on.
    pub(super) fn finish_waiting(&mut self, now: Instant, key: &RunKey) {
        if let Some(over) = self.runs.get(key).and_then(RunOver::not_sent) {
            self.finish_run(now, over);
        }
    }

    pub(super) fn send_updates(&mut self, now: Instant) {
        let room_of = self.room_by_position(now);
        let zone = self.zone();
        let newest_crash = self.crashes.newest();
        for (position, (entry, state)) in self.entries.iter_mut().enumerate() {
            let room = state.offer(room_of(position));
            let is_due = state
                .report_due_at(now, &zone, room)
                .is_some_and(|at| at <= now);
            let has_news = !state.unsent_ends.is_empty() || state.known_crash < newest_crash;
            if !state.is_linked || !(has_news || is_due) {
                continue;
            }
            state.is_stale = false;
            state.last_report = Some((now, room));
            let update = AgentUpdate {
                free: room.free,
                reserve: room.reserve,
                most_tasks: room.most_tasks,
                slowness: room.slowness,
                last_assignment: state.last_assignment,
                ends: std::mem::take(&mut state.unsent_ends),
                crashes: self.crashes.after(now, state.known_crash),
            };
            state.known_crash = newest_crash;
            let message = GuardMessage::Update(update);
            self.actions.push(GuardAction::Send(entry.clone(), message));
        }
    }

    /// Returns a function from an entry's position to the room reported to it.
    pub(super) fn room_by_position(&self, now: Instant) -> impl Fn(usize) -> ReportedRoom + use<> {
        let room = self.room(now);
        let endpoint = self.endpoint.as_ref();
        let turn = endpoint.and_then(|endpoint| endpoint.turn(now, self.entries.len()));
        move |position| room.in_turn(turn.is_none_or(|turn| turn == position))
    }

    /// Returns the endpoint's free room, its task limit and its slowness.
    fn room(&self, now: Instant) -> ReportedRoom {
        let Some(endpoint) = &self.endpoint else {
            return ReportedRoom {
                free: Resources::default(),
                reserve: Reserve::default(),
                most_tasks: 0,
                slowness: 1.0,
                total: Resources::default(),
            };
        };
        let most_tasks = if self.takes_work(now) {
            endpoint.most_tasks(now, self.runs.is_empty())
        } else {
            0
        };
        ReportedRoom {
            free: if self.runs.has_alone() {
                Resources::default()
            } else {
                endpoint.info.total.minus(self.runs.claimed_room())
            },
            reserve: self.contention.reserve(now),
            most_tasks,
            slowness: endpoint.health.slowness(),
            total: endpoint.info.total,
        }
    }

    /// Returns the availability zone of the endpoint; empty without an endpoint.
    pub(super) fn zone(&self) -> ZoneId {
        self.endpoint
            .as_ref()
            .map_or_else(|| "".into(), |e| e.info.zone.clone())
    }
}
