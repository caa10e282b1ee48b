//! Guards one endpoint for all entries.

use {
    crate::{
        guard::{
            Announcement, Answer, FencingToken, GuardAction, GuardInput, GuardMessage, ListOrder,
            ListReply, ListedEnd, OrderFault, RunEnd, StartOrder, StopOrder,
            endpoint_state::EndpointState,
            entry_state::{EntryState, RoomToTell},
            run::{Phase, Run, RunKey},
            runs::Runs,
        },
        timing::{
            ENTRY_PROOF_LIMIT, IDLE_POLL_WAIT, NO_ROOM_PAUSE, NUMBER_STEP, ORDER_TIMEOUT,
            POLL_WAIT, RUN_LEASE, STALL_LIMIT,
        },
    },
    chestnutrun_types::{
        AgentUpdate, Assignment, DecisionNote, EndKind, EndpointId, EndpointInfo, EntryId,
        Incarnation, Now, Resync, Revocation, Room, RunNumber, TaskId, ZoneId,
    },
    indexmap::IndexMap,
    std::time::{Duration, Instant},
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
    token: FencingToken,
    next_run: RunNumber,
    endpoint: Option<EndpointState>,
    entries: IndexMap<EntryId, EntryState>,
    runs: Runs,
    is_leaving: bool,
    actions: Vec<GuardAction>,
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

    /// Returns when an update that was held back is due, or a task has waited
    /// long enough.
    #[must_use]
    pub fn wake_at(&self, now: Instant) -> Option<Instant> {
        let room = self.room(now);
        let zone = self.zone();
        let due = self
            .entries
            .values()
            .filter_map(|e| e.report_at(now, &zone, room));
        due.chain(self.runs.first_start_by()).min()
    }

    fn announced(&mut self, now: Instant, announcement: Announcement) {
        let Some(endpoint) = &mut self.endpoint else {
            self.endpoint_news(&announcement.info, "announced");
            self.endpoint = Some(EndpointState::new(now, announcement));
            return;
        };
        let is_same = endpoint.info.endpoint == announcement.info.endpoint
            && endpoint.info.incarnation == announcement.info.incarnation;
        if !is_same && announcement.info.incarnation <= endpoint.info.incarnation {
            return;
        }
        if !is_same {
            self.lose_all(now);
            self.endpoint_news(&announcement.info, "replaced");
            self.endpoint = Some(EndpointState::new(now, announcement));
            self.tell_endpoint();
            return;
        }
        if announcement.sequence <= endpoint.sequence {
            return;
        }
        endpoint.sequence = announcement.sequence;
        endpoint.clock.take(now, announcement.clock);
        let is_changed = endpoint.info != announcement.info;
        endpoint.info = announcement.info;
        if announcement.leaving && !endpoint.is_leaving {
            endpoint.is_leaving = true;
            let info = endpoint.info.clone();
            self.endpoint_news(&info, "leaving");
            self.return_waiting(now);
            self.mark_stale();
        }
        if is_changed {
            self.tell_endpoint();
        }
    }

    fn endpoint_ended(&mut self, now: Instant, ended: &EndpointId) {
        if self
            .endpoint
            .as_ref()
            .is_some_and(|e| e.info.endpoint == *ended)
        {
            self.lose_all(now);
            if let Some(gone) = self.endpoint.take() {
                self.endpoint_news(&gone.info, "gone");
            }
            self.tell_endpoint();
        }
    }

    fn link_up(&mut self, now: Instant, entry: EntryId, incarnation: Incarnation, zone: ZoneId) {
        let known = self.entries.get(&entry).map(|state| state.incarnation);
        if known != Some(incarnation) {
            self.drop_entry(now, &entry);
            self.entries
                .insert(entry.clone(), EntryState::new(incarnation, zone));
        }
        let live = self.runs.iter().filter(|run| run.key.entry == entry);
        let live = live.map(|run| (run.key.assignment, run.key.at)).collect();
        let info = self.announced_info();
        let Some(state) = self.entries.get_mut(&entry) else {
            return;
        };
        state.is_linked = true;
        state.is_stale = true;
        state.told = None;
        let resync = Resync {
            info,
            live,
            ends: state.recent(),
        };
        self.actions
            .push(GuardAction::Send(entry, GuardMessage::Resync(resync)));
    }

    fn link_down(&mut self, entry: &EntryId) {
        if let Some(state) = self.entries.get_mut(entry) {
            state.is_linked = false;
        }
    }

    fn proven(&mut self, entry: &EntryId, at: Instant) {
        if let Some(state) = self.entries.get_mut(entry) {
            state.proven_at = state.proven_at.max(Some(at));
        }
    }

    fn assign(&mut self, now: Instant, entry: &EntryId, assignment: Assignment) {
        let Some(state) = self.entries.get_mut(entry) else {
            return;
        };
        state.seen = state.seen.max(assignment.id);
        self.next_run = self.next_run.max(assignment.after_run + 1);
        let start_by = now + assignment.start_within;
        for assigned in assignment.tasks {
            let task = TaskId {
                job: assignment.job.clone(),
                at: assigned.at,
            };
            self.runs.insert(Run {
                key: RunKey {
                    entry: entry.clone(),
                    assignment: assignment.id,
                    at: assigned.at,
                },
                task,
                assigned,
                payload: assignment.payload.clone(),
                phase: Phase::Waiting(start_by),
                number: 0,
                assigned_at: now,
                started_at: None,
                percent: 0,
                progressed_at: None,
                end_as: EndKind::NotStarted,
            });
        }
        self.stop_older_attempts(now, entry, assignment.id);
        self.mark_stale();
        if !self.takes_work(now) {
            self.return_waiting(now);
        }
    }

    /// Stops runs of the same tasks that another assignment started: their
    /// caller submitted the job again.
    fn stop_older_attempts(&mut self, now: Instant, entry: &EntryId, assignment: u64) {
        let is_new = |run: &Run| run.key.entry == *entry && run.key.assignment == assignment;
        let tasks: Vec<_> = self
            .runs
            .iter()
            .filter(|r| is_new(r))
            .map(|r| r.task.clone())
            .collect();
        let older = self
            .runs
            .keys(|run| !is_new(run) && tasks.contains(&run.task));
        for key in older {
            self.stop(now, &key, EndKind::Stopped, "submitted-again");
        }
    }

    fn revoke(&mut self, now: Instant, entry: &EntryId, revocation: &Revocation) {
        let revoked = self.runs.keys(|run| {
            run.key.entry == *entry && revocation.assignments.contains(&run.key.assignment)
        });
        for key in revoked {
            self.stop(now, &key, EndKind::Stopped, "revoked");
        }
    }

    fn started(
        &mut self,
        now: Instant,
        endpoint: Incarnation,
        number: RunNumber,
        answer: &Answer<()>,
    ) {
        if !self.note_clock(now, endpoint, answer) {
            return;
        }
        let Some(run) = self.runs.numbered(number) else {
            return;
        };
        let key = run.key.clone();
        if run.phase != Phase::Starting {
            return;
        }
        match answer {
            Answer::Done(..) => {
                run.phase = Phase::Running;
                run.progressed_at = Some(now);
                run.end_as = EndKind::Stopped;
            }
            Answer::Unknown => {
                self.note_refused_start(&key, "no-answer");
                self.endpoint_failed();
                self.stop(now, &key, EndKind::Stopped, "no-answer");
            }
            Answer::Refused(_, fault) => {
                self.note_refused_start(&key, fault.name());
                self.start_refused(now, &key, *fault);
            }
        }
    }

    fn start_refused(&mut self, now: Instant, key: &RunKey, fault: OrderFault) {
        match fault {
            OrderFault::StaleToken => self.token += NUMBER_STEP,
            OrderFault::OldRun => self.next_run += NUMBER_STEP,
            OrderFault::NoRoom => {
                if let Some(endpoint) = &mut self.endpoint {
                    endpoint.full_until = Some(now + NO_ROOM_PAUSE);
                }
            }
            OrderFault::LeaseOver => {}
            OrderFault::Unwell | OrderFault::OtherIncarnation => {
                self.endpoint_failed();
                self.finish(now, key, EndKind::NotStarted);
                return;
            }
            OrderFault::Invalid => {
                self.finish(now, key, EndKind::Failed);
                return;
            }
        }
        if let Some(run) = self.runs.get_mut(key) {
            let start_by = run.started_at.unwrap_or(now) + RUN_LEASE;
            run.phase = Phase::Waiting(start_by);
            run.started_at = None;
        }
    }

    fn stopped(
        &mut self,
        now: Instant,
        endpoint: Incarnation,
        number: RunNumber,
        answer: &Answer<()>,
    ) {
        if !self.note_clock(now, endpoint, answer) {
            return;
        }
        let token_is_stale = matches!(answer, Answer::Refused(_, OrderFault::StaleToken));
        let Some(run) = self.runs.numbered(number) else {
            return;
        };
        let key = run.key.clone();
        match answer {
            Answer::Done(..) if run.is_stopping() => {
                run.phase = Phase::StopAnswered(now);
                self.look(now);
            }
            Answer::Done(..) => {}
            Answer::Unknown | Answer::Refused(..) => {
                if token_is_stale {
                    self.token += NUMBER_STEP;
                }
                self.order_stop(now, &key);
            }
        }
    }

    fn listed(
        &mut self,
        now: Instant,
        incarnation: Incarnation,
        order: &ListOrder,
        answer: Answer<ListReply>,
    ) {
        let is_present = self.note_clock(now, incarnation, &answer);
        let Some(endpoint) = self.endpoint.as_mut().filter(|_| is_present) else {
            return;
        };
        if order.wait.is_zero() {
            endpoint.lists.look = false;
        } else {
            endpoint.lists.poll = false;
        }
        match answer {
            Answer::Done(_, reply) => {
                self.note_list(now, order.sent_at, &reply);
            }
            Answer::Refused(_, OrderFault::StaleToken) => self.token += NUMBER_STEP,
            Answer::Refused(..) | Answer::Unknown => {}
        }
    }

    fn note_list(&mut self, now: Instant, asked_at: Instant, reply: &ListReply) {
        for end in &reply.ended {
            self.note_end(now, end);
        }
        for listed in &reply.running {
            match self.runs.numbered(listed.run) {
                Some(run) => {
                    run.note_progress(now, listed.percent);
                    if run.phase == Phase::Starting {
                        run.phase = Phase::Running;
                        run.end_as = EndKind::Stopped;
                    }
                }
                None => self.order_foreign_stop(now, listed.task.clone(), listed.run),
            }
        }
        self.finish_unlisted(now, asked_at, reply);
        self.stop_stalled(now);
        let is_clean = reply
            .running
            .iter()
            .all(|l| self.runs.numbered(l.run).is_some());
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        if is_clean && !endpoint.is_clean {
            endpoint.is_clean = true;
            let info = endpoint.info.clone();
            self.endpoint_news(&info, "usable");
            self.tell_endpoint();
            self.mark_stale();
        }
    }

    fn note_end(&mut self, now: Instant, end: &ListedEnd) {
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        if end.number <= endpoint.seen {
            return;
        }
        endpoint.seen = end.number;
        let Some(run) = self.runs.numbered(end.run) else {
            return;
        };
        let key = run.key.clone();
        let kind = match end.how {
            RunEnd::Done => EndKind::Done,
            RunEnd::Failed => EndKind::Failed,
            RunEnd::Stopped | RunEnd::Lapsed => run.end_as,
        };
        let expected = run.assigned.expected.as_secs_f32().max(f32::MIN_POSITIVE);
        let ratio = run.ran(now).as_secs_f32() / expected;
        match kind {
            EndKind::Done => endpoint.health.completed(ratio),
            EndKind::Failed | EndKind::Stalled => endpoint.health.failed(),
            EndKind::NotStarted | EndKind::Stopped => {}
        }
        self.finish(now, &key, kind);
    }

    /// Finishes what a list that was asked for later does not show any more.
    fn finish_unlisted(&mut self, now: Instant, asked_at: Instant, reply: &ListReply) {
        let is_listed = |number| reply.running.iter().any(|listed| listed.run == number);
        let gone = self.runs.keys(|run| match run.phase {
            Phase::StopAnswered(at) => at < asked_at && !is_listed(run.number),
            Phase::Running => {
                run.progressed_at.is_some_and(|at| at < asked_at) && !is_listed(run.number)
            }
            _ => false,
        });
        for key in gone {
            let kind = self
                .runs
                .get_mut(&key)
                .map_or(EndKind::Stopped, |run| run.end_as);
            self.finish(now, &key, kind);
        }
    }

    fn stop_stalled(&mut self, now: Instant) {
        let stalled = self.runs.keys(|run| {
            run.phase == Phase::Running
                && run.progressed_at.is_some_and(|at| at + STALL_LIMIT < now)
        });
        for key in stalled {
            self.stop(now, &key, EndKind::Stalled, "no-progress");
        }
    }

    fn leave(&mut self, now: Instant) {
        self.is_leaving = true;
        self.return_waiting(now);
        self.mark_stale();
    }

    fn tick(&mut self, now: Instant) {
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
        self.lapse(now);
    }

    /// Gives up what ran at an endpoint whose every lease is over.
    fn lapse(&mut self, now: Instant) {
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        if endpoint.clock.lapses_at().is_none_or(|at| now <= at) {
            return;
        }
        let lapsed = self.runs.keys(Run::is_at_endpoint);
        if lapsed.is_empty() {
            return;
        }
        endpoint.is_clean = false;
        endpoint.health.failed();
        let info = endpoint.info.clone();
        self.endpoint_news(&info, "silent");
        for key in lapsed {
            self.finish(now, &key, EndKind::Stopped);
        }
        self.mark_stale();
    }

    /// Drops what an entry assigned: it is dead, or replaced.
    fn drop_entry(&mut self, now: Instant, entry: &EntryId) {
        let keys = self.runs.keys(|run| run.key.entry == *entry);
        if let Some(state) = self.entries.get(entry)
            && !keys.is_empty()
        {
            let proven_at = state.proven_at.unwrap_or(now);
            let note = DecisionNote::EntryLost {
                entry: entry.clone(),
                tasks: keys.len(),
                proof_age_ms: millis(now.saturating_duration_since(proven_at)),
            };
            self.note(note);
        }
        for key in keys {
            self.stop(now, &key, EndKind::Stopped, "entry-lost");
        }
    }

    /// Ends a task: what waits at once, what runs by a stop.
    fn stop(&mut self, now: Instant, key: &RunKey, kind: EndKind, why: &'static str) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        match run.phase {
            Phase::Waiting(_) => self.finish(now, key, EndKind::NotStarted),
            Phase::Starting | Phase::Running => {
                run.phase = Phase::Stopping;
                run.end_as = kind;
                let note = DecisionNote::TaskStopped {
                    job: run.task.job.clone(),
                    task: run.task.at,
                    run: run.number,
                    reason: why.into(),
                    percent: run.percent,
                };
                self.note(note);
                self.order_stop(now, key);
            }
            Phase::Stopping | Phase::StopAnswered(_) => {}
        }
    }

    fn order_stop(&mut self, now: Instant, key: &RunKey) {
        let (Some(run), Some(endpoint)) = (self.runs.get_mut(key), &self.endpoint) else {
            return;
        };
        self.actions.push(GuardAction::Stop(StopOrder {
            endpoint: endpoint.info.endpoint.clone(),
            incarnation: endpoint.info.incarnation,
            task: run.task.clone(),
            run: run.number,
            token: self.token,
            answer_by: now + ORDER_TIMEOUT,
        }));
    }

    /// Stops a run that this agent did not start or has given up.
    fn order_foreign_stop(&mut self, now: Instant, task: TaskId, run: RunNumber) {
        if let Some(endpoint) = &self.endpoint {
            self.actions.push(GuardAction::Stop(StopOrder {
                endpoint: endpoint.info.endpoint.clone(),
                incarnation: endpoint.info.incarnation,
                task,
                run,
                token: self.token,
                answer_by: now + ORDER_TIMEOUT,
            }));
        }
    }

    /// Ends a task that is certainly not at the endpoint, and tells its entry.
    fn finish(&mut self, now: Instant, key: &RunKey, kind: EndKind) {
        let Some(run) = self.runs.remove(key) else {
            return;
        };
        let end = run.end(now, kind);
        self.note(DecisionNote::TaskEnded {
            job: run.task.job.clone(),
            task: run.task.at,
            run: run.number,
            how: kind,
            ran_ms: millis(end.ran),
        });
        if let Some(entry) = self.entries.get_mut(&key.entry) {
            entry.ended(now, end);
        }
        self.mark_stale();
    }

    fn return_waiting(&mut self, now: Instant) {
        for key in self.runs.waiting() {
            self.finish(now, &key, EndKind::NotStarted);
        }
    }

    /// Ends everything, since the endpoint is gone.
    fn lose_all(&mut self, now: Instant) {
        for key in self.runs.keys(|_| true) {
            let is_waiting = self
                .runs
                .get_mut(&key)
                .is_some_and(|run| !run.is_at_endpoint());
            let kind = if is_waiting {
                EndKind::NotStarted
            } else {
                EndKind::Stopped
            };
            self.finish(now, &key, kind);
        }
    }

    fn start_waiting(&mut self, now: Instant) {
        if !self.takes_work(now) {
            return;
        }
        let Some(endpoint) = &self.endpoint else {
            return;
        };
        if endpoint.full_until.is_some_and(|until| now < until) {
            return;
        }
        let mut free = endpoint.info.total.minus(self.runs.held());
        for key in self.runs.waiting() {
            if let Some(need) = self.startable(now, &key, free) {
                self.start(now, &key, free);
                free = free.minus(need);
            }
        }
    }

    /// Returns what a waiting task needs, where it may start now.
    fn startable(&mut self, now: Instant, key: &RunKey, free: Room) -> Option<Room> {
        let entry = self.entries.get(&key.entry)?;
        if !entry.is_proven(now, ENTRY_PROOF_LIMIT) {
            return None;
        }
        let run = self.runs.get_mut(key)?;
        let (task, need) = (run.task.clone(), run.assigned.need);
        (free.fits(need) && !self.runs.is_elsewhere(&task, key)).then_some(need)
    }

    fn start(&mut self, now: Instant, key: &RunKey, free: Room) {
        let number = self.next_run;
        self.next_run += 1;
        self.runs.number(key, number);
        let (Some(run), Some(endpoint)) = (self.runs.get_mut(key), &mut self.endpoint) else {
            return;
        };
        run.phase = Phase::Starting;
        run.started_at = Some(now);
        self.actions.push(GuardAction::Start(StartOrder {
            endpoint: endpoint.info.endpoint.clone(),
            incarnation: endpoint.info.incarnation,
            task: run.task.clone(),
            run: number,
            payload: run.payload.clone(),
            until: endpoint.clock.lease(now, RUN_LEASE),
            token: self.token,
            answer_by: now + ORDER_TIMEOUT,
        }));
        let note = DecisionNote::TaskStarted {
            job: run.task.job.clone(),
            task: run.task.at,
            run: number,
            entry: run.key.entry.clone(),
            assignment: run.key.assignment,
            waited_ms: millis(now.saturating_duration_since(run.assigned_at)),
            free_cpu_millis: free.cpu_millis,
        };
        self.note(note);
    }

    /// Keeps one list order out that waits for ends.
    fn poll(&mut self, now: Instant) {
        let is_busy = !self.runs.is_empty();
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        if endpoint.lists.poll {
            return;
        }
        endpoint.lists.poll = true;
        let wait = match (is_busy, endpoint.is_clean) {
            (_, false) => POLL_WAIT / 4,
            (true, true) => POLL_WAIT,
            (false, true) => IDLE_POLL_WAIT,
        };
        self.list(now, wait);
    }

    /// Asks once for what runs, without a wait.
    fn look(&mut self, now: Instant) {
        if let Some(endpoint) = &mut self.endpoint
            && !endpoint.lists.look
        {
            endpoint.lists.look = true;
            self.list(now, Duration::ZERO);
        }
    }

    fn list(&mut self, now: Instant, wait: Duration) {
        let holds_runs = self.runs.iter().any(Run::is_at_endpoint);
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        let until =
            (holds_runs && endpoint.is_heard(now)).then(|| endpoint.clock.lease(now, RUN_LEASE));
        self.actions.push(GuardAction::List(ListOrder {
            endpoint: endpoint.info.endpoint.clone(),
            incarnation: endpoint.info.incarnation,
            until,
            seen: endpoint.seen,
            wait,
            token: self.token,
            sent_at: now,
            answer_by: now + wait + ORDER_TIMEOUT,
        }));
    }

    fn report(&mut self, now: Instant) {
        let room = self.room(now);
        let zone = self.zone();
        for (entry, state) in &mut self.entries {
            let is_due = state
                .report_at(now, &zone, room)
                .is_some_and(|at| at <= now);
            if !state.is_linked || (state.news.is_empty() && !is_due) {
                continue;
            }
            state.is_stale = false;
            state.told = Some((now, room));
            let update = AgentUpdate {
                free: room.free,
                most_tasks: room.most_tasks,
                slowness: room.slowness,
                seen: state.seen,
                ends: std::mem::take(&mut state.news),
            };
            let message = GuardMessage::Update(update);
            self.actions.push(GuardAction::Send(entry.clone(), message));
        }
    }

    /// Returns the room that is free, how many tasks may come, and the slowness.
    fn room(&self, now: Instant) -> RoomToTell {
        let Some(endpoint) = &self.endpoint else {
            return RoomToTell {
                free: Room::default(),
                most_tasks: 0,
                slowness: 1.0,
            };
        };
        let most_tasks = match (self.takes_work(now), endpoint.health.is_suspect()) {
            (false, _) => 0,
            (true, false) => u16::MAX,
            (true, true) => u16::from(self.runs.is_empty()),
        };
        RoomToTell {
            free: endpoint.info.total.minus(self.runs.claimed()),
            most_tasks,
            slowness: endpoint.health.slowness(),
        }
    }

    /// Returns the availability zone of the endpoint.
    fn zone(&self) -> ZoneId {
        self.endpoint
            .as_ref()
            .map_or_else(|| "".into(), |e| e.info.zone.clone())
    }

    /// Takes the clock of an answer; returns whether the endpoint is the
    /// present one.
    fn note_clock<T>(
        &mut self,
        now: Instant,
        incarnation: Incarnation,
        answer: &Answer<T>,
    ) -> bool {
        let Some(endpoint) = &mut self.endpoint else {
            return false;
        };
        if endpoint.info.incarnation != incarnation {
            return false;
        }
        if let Answer::Done(clock, _) | Answer::Refused(Some(clock), _) = answer {
            endpoint.clock.take(now, *clock);
            endpoint.heard_at = now;
        }
        true
    }

    fn announced_info(&self) -> Option<EndpointInfo> {
        let clean = self.endpoint.as_ref().filter(|endpoint| endpoint.is_clean);
        clean.map(|endpoint| endpoint.info.clone())
    }

    fn tell_endpoint(&mut self) {
        let info = self.announced_info();
        for (entry, state) in &self.entries {
            if state.is_linked {
                let message = GuardMessage::Endpoint(info.clone());
                self.actions.push(GuardAction::Send(entry.clone(), message));
            }
        }
    }

    fn note(&mut self, note: DecisionNote) {
        self.actions.push(GuardAction::Note(note));
    }

    fn note_refused_start(&mut self, key: &RunKey, reason: &'static str) {
        if let Some(run) = self.runs.get_mut(key) {
            let note = DecisionNote::StartRefused {
                job: run.task.job.clone(),
                task: run.task.at,
                run: run.number,
                reason: reason.into(),
            };
            self.note(note);
        }
    }

    fn endpoint_news(&mut self, info: &EndpointInfo, news: &'static str) {
        self.note(DecisionNote::EndpointNews {
            endpoint: info.endpoint.clone(),
            incarnation: info.incarnation,
            news: news.into(),
        });
    }

    fn mark_stale(&mut self) {
        for state in self.entries.values_mut() {
            state.is_stale = true;
        }
    }

    fn endpoint_failed(&mut self) {
        if let Some(endpoint) = &mut self.endpoint {
            endpoint.health.failed();
        }
    }
}

/// Returns whole milliseconds, as they are written down.
fn millis(of: Duration) -> u64 {
    u64::try_from(of.as_millis()).unwrap_or(u64::MAX)
}
