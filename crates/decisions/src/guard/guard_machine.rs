//! Guards one endpoint for all entries.

use {
    crate::{
        guard::{
            Announcement, Answer, FencingToken, GuardAction, GuardInput, GuardMessage, ListOrder,
            ListReply, ListedEnd, OrderFault, RunEnd, StartOrder, StopOrder,
            endpoint_state::EndpointState,
            entry_state::EntryState,
            run::{Phase, Run, RunKey},
            runs::Runs,
        },
        timing::{
            ENTRY_PROOF_LIMIT, IDLE_POLL_WAIT, NO_ROOM_PAUSE, NUMBER_STEP, ORDER_TIMEOUT,
            POLL_WAIT, REPORT_INTERVAL, RUN_LEASE, STALL_LIMIT,
        },
    },
    chestnutrun_types::{
        AgentUpdate, Assignment, EndKind, EndpointId, EntryId, Incarnation, Now, Resync,
        Revocation, Room, RunNumber,
    },
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
            GuardInput::LinkUp(entry, incarnation) => self.link_up(at, entry, incarnation),
            GuardInput::LinkDown(entry) => self.link_down(&entry),
            GuardInput::Proven(entry, proven_at) => self.proven(&entry, proven_at),
            GuardInput::Assign(entry, assignment) => self.assign(at, &entry, assignment),
            GuardInput::Revoke(entry, revocation) => self.revoke(at, &entry, &revocation),
            GuardInput::Started(endpoint, run, answer) => self.started(at, endpoint, run, answer),
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

    /// Returns when an update that was held back is due.
    #[must_use]
    pub fn report_at(&self) -> Option<Instant> {
        let stale = self.entries.values().filter(|e| e.is_linked && e.is_stale);
        stale
            .filter_map(|e| e.told_at.map(|at| at + REPORT_INTERVAL))
            .min()
    }

    fn announced(&mut self, now: Instant, announcement: Announcement) {
        let Some(endpoint) = &mut self.endpoint else {
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
            self.endpoint = None;
            self.tell_endpoint();
        }
    }

    fn link_up(&mut self, now: Instant, entry: EntryId, incarnation: Incarnation) {
        let known = self.entries.get(&entry).map(|state| state.incarnation);
        if known != Some(incarnation) {
            self.drop_entry(now, &entry);
            self.entries
                .insert(entry.clone(), EntryState::new(incarnation));
        }
        let live = self.runs.iter().filter(|run| run.key.entry == entry);
        let live = live.map(|run| (run.key.assignment, run.key.at)).collect();
        let info = self.announced_info();
        let Some(state) = self.entries.get_mut(&entry) else {
            return;
        };
        state.is_linked = true;
        state.is_stale = true;
        state.told_at = None;
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
            let task = chestnutrun_types::TaskId {
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
            self.stop(now, &key, EndKind::Stopped);
        }
    }

    fn revoke(&mut self, now: Instant, entry: &EntryId, revocation: &Revocation) {
        let revoked = self.runs.keys(|run| {
            run.key.entry == *entry && revocation.assignments.contains(&run.key.assignment)
        });
        for key in revoked {
            self.stop(now, &key, EndKind::Stopped);
        }
    }

    fn started(
        &mut self,
        now: Instant,
        endpoint: Incarnation,
        number: RunNumber,
        answer: Answer<()>,
    ) {
        if !self.note_clock(now, endpoint, &answer) {
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
                self.endpoint_failed();
                self.stop(now, &key, EndKind::Stopped);
            }
            Answer::Refused(_, fault) => self.start_refused(now, &key, fault),
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
            endpoint.is_looked_at = false;
        } else {
            endpoint.is_polled = false;
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
            self.stop(now, &key, EndKind::Stalled);
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
            .keys(|run| matches!(run.phase, Phase::Waiting(by) if by < now));
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
        for key in lapsed {
            self.finish(now, &key, EndKind::Stopped);
        }
        self.mark_stale();
    }

    /// Drops what an entry assigned: it is dead, or replaced.
    fn drop_entry(&mut self, now: Instant, entry: &EntryId) {
        for key in self.runs.keys(|run| run.key.entry == *entry) {
            self.stop(now, &key, EndKind::Stopped);
        }
    }

    /// Ends a task: what waits at once, what runs by a stop.
    fn stop(&mut self, now: Instant, key: &RunKey, kind: EndKind) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        match run.phase {
            Phase::Waiting(_) => self.finish(now, key, EndKind::NotStarted),
            Phase::Starting | Phase::Running => {
                run.phase = Phase::Stopping;
                run.end_as = kind;
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
    fn order_foreign_stop(
        &mut self,
        now: Instant,
        task: chestnutrun_types::TaskId,
        run: RunNumber,
    ) {
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
        if let Some(entry) = self.entries.get_mut(&key.entry) {
            entry.ended(now, run.end(now, kind));
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
                free = free.minus(need);
                self.start(now, &key);
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

    fn start(&mut self, now: Instant, key: &RunKey) {
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
    }

    /// Keeps one list order out that waits for ends.
    fn poll(&mut self, now: Instant) {
        let is_busy = !self.runs.is_empty();
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        if endpoint.is_polled {
            return;
        }
        endpoint.is_polled = true;
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
            && !endpoint.is_looked_at
        {
            endpoint.is_looked_at = true;
            self.list(now, std::time::Duration::ZERO);
        }
    }

    fn list(&mut self, now: Instant, wait: std::time::Duration) {
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
        let (free, most_tasks, slowness) = self.room(now);
        for (entry, state) in &mut self.entries {
            let is_due = state.told_at.is_none_or(|at| at + REPORT_INTERVAL <= now);
            let has_news = !state.news.is_empty() || (state.is_stale && is_due);
            if !state.is_linked || !has_news {
                continue;
            }
            state.is_stale = false;
            state.told_at = Some(now);
            let update = AgentUpdate {
                free,
                most_tasks,
                slowness,
                seen: state.seen,
                ends: std::mem::take(&mut state.news),
            };
            let message = GuardMessage::Update(update);
            self.actions.push(GuardAction::Send(entry.clone(), message));
        }
    }

    /// Returns the room that is free, how many tasks may come, and the slowness.
    fn room(&self, now: Instant) -> (Room, u16, f32) {
        let Some(endpoint) = &self.endpoint else {
            return (Room::default(), 0, 1.0);
        };
        let free = endpoint.info.total.minus(self.runs.claimed());
        let most_tasks = match (self.takes_work(now), endpoint.health.is_suspect()) {
            (false, _) => 0,
            (true, false) => u16::MAX,
            (true, true) => u16::from(self.runs.is_empty()),
        };
        (free, most_tasks, endpoint.health.slowness())
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

    fn announced_info(&self) -> Option<chestnutrun_types::EndpointInfo> {
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
