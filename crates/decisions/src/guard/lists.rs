//! List orders, which also renew the lease of the runs, and their answers.

use {
    crate::{
        guard::{
            Answer, GuardAction, GuardMachine, ListOrder, ListReply, ListedEnd, OrderFault,
            endpoint_clock::latest_end,
            endpoint_state::ProcessState,
            run::{Phase, Run},
            run_over::RunOver,
        },
        timing::{
            BROKEN_CONNECTION_PAUSE, ENTRY_PROOF_LIMIT, IDLE_LONG_POLL_WAIT, IMMEDIATE_LIST_AFTER,
            LONG_POLL_WAIT, NUMBER_STEP, ORDER_TIMEOUT, REFUSED_PAUSE, RUN_LEASE,
        },
    },
    chestnutrun_types::{EndKind, Incarnation},
    std::time::{Duration, Instant},
};

impl GuardMachine {
    pub(super) fn handle_list_answer(
        &mut self,
        now: Instant,
        incarnation: Incarnation,
        order: &ListOrder,
        answer: Answer<ListReply>,
    ) {
        if let Answer::Refused(Some(reading), OrderFault::AnsweredBy(other)) = answer {
            if self.is_present(incarnation) {
                self.adopt_incarnation(now, other, reading);
            }
            return;
        }
        let is_present = self.update_clock(now, incarnation, &answer);
        let Some(endpoint) = self.endpoint.as_mut().filter(|_| is_present) else {
            return;
        };
        if order.wait.is_zero() {
            endpoint.lists.immediate_sent_at = None;
        } else {
            endpoint.lists.long_poll = false;
        }
        match answer {
            Answer::Done(_, reply) => {
                if endpoint.disprove_end(order.sent_at) {
                    let info = endpoint.info.clone();
                    self.record_endpoint_event(&info, "still-there");
                    self.mark_stale();
                }
                self.apply_list(now, order.sent_at, &reply);
            }
            Answer::Refused(_, OrderFault::StaleToken) => self.token += NUMBER_STEP,
            Answer::Refused(_, OrderFault::OtherIncarnation)
                if endpoint.process != ProcessState::Superseded =>
            {
                self.fence_late_orders(now);
            }
            Answer::Refused(..) => endpoint.lists_paused_until = Some(now + REFUSED_PAUSE),
            // The pause counts from the send time, so none is left after a timeout.
            Answer::Unknown => {
                endpoint.lists_paused_until = Some(order.sent_at + BROKEN_CONNECTION_PAUSE);
            }
        }
    }

    /// Sends a list with a higher token to the endpoint that answers at the address. If it
    /// is an incarnation of the known one, it then refuses delayed orders that were sent to
    /// the earlier incarnation.
    fn fence_late_orders(&mut self, now: Instant) {
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        endpoint.process = ProcessState::Superseded;
        endpoint.lists_paused_until = Some(now + REFUSED_PAUSE);
        self.token += NUMBER_STEP;
        self.return_waiting(now);
        self.mark_stale();
        self.send_list_order(now, Duration::ZERO);
    }

    pub(super) fn apply_list(&mut self, now: Instant, requested_at: Instant, reply: &ListReply) {
        for end in &reply.ended {
            self.apply_end(now, end);
        }
        for listed in &reply.running {
            match self.runs.get_by_number_mut(listed.run) {
                Some(run) => {
                    run.record_progress(now, listed.percent);
                    if run.phase == Phase::Starting {
                        run.phase = Phase::Running;
                        run.end_kind = EndKind::Stopped;
                    }
                }
                None => self.send_foreign_stop_order(now, listed.task.clone(), listed.run),
            }
        }
        self.finish_unlisted(now, requested_at, reply);
        self.stop_stalled(now);
        let is_clean = reply
            .running
            .iter()
            .all(|l| self.runs.get_by_number_mut(l.run).is_some());
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        endpoint.foreign_over_by = if is_clean {
            None
        } else {
            let over_by = latest_end(now, RUN_LEASE);
            endpoint.foreign_over_by.or(Some(over_by))
        };
        if is_clean && !endpoint.is_clean {
            endpoint.is_clean = true;
            let info = endpoint.info.clone();
            self.record_endpoint_event(&info, "usable");
            self.send_endpoint_info();
            self.mark_stale();
        }
    }

    pub(super) fn apply_end(&mut self, now: Instant, end: &ListedEnd) {
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        if end.number <= endpoint.last_end {
            return;
        }
        endpoint.last_end = end.number;
        let Some(run) = self.runs.get_by_number(end.run) else {
            return;
        };
        let Some(over) = RunOver::listed(run, end) else {
            return;
        };
        let expected = run.assigned.expected.as_secs_f32().max(f32::MIN_POSITIVE);
        let ratio = run.run_time(now).as_secs_f32() / expected;
        match over.kind() {
            EndKind::Done => endpoint.health.record_completion(ratio),
            EndKind::Failed | EndKind::Stalled => endpoint.record_failed_run(now),
            EndKind::NotStarted | EndKind::Stopped => {}
        }
        self.finish_run(now, over);
    }

    /// Finishes the runs that are missing from a list.
    pub(super) fn finish_unlisted(
        &mut self,
        now: Instant,
        requested_at: Instant,
        reply: &ListReply,
    ) {
        let is_over = |run: &Run| RunOver::unlisted(run, requested_at, reply);
        for over in self.runs.over(is_over) {
            self.finish_run(now, over);
        }
    }

    /// Sends a long poll unless one is unanswered or lists are paused.
    pub(super) fn send_long_poll(&mut self, now: Instant) {
        let is_busy = !self.runs.is_empty();
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        let must_pause = endpoint.lists_paused_until.is_some_and(|at| now < at);
        if endpoint.lists.long_poll || must_pause {
            return;
        }
        endpoint.lists.long_poll = true;
        let wait = match (is_busy, endpoint.is_clean) {
            (_, false) => LONG_POLL_WAIT / 4,
            (true, true) => LONG_POLL_WAIT,
            (false, true) => IDLE_LONG_POLL_WAIT,
        };
        self.send_list_order(now, wait);
    }

    /// Sends an immediate list unless a recent one is unanswered.
    pub(super) fn send_immediate_list(&mut self, now: Instant) {
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        let is_unanswered = endpoint
            .lists
            .immediate_sent_at
            .is_some_and(|at| now < at + IMMEDIATE_LIST_AFTER);
        if !is_unanswered {
            endpoint.lists.immediate_sent_at = Some(now);
            self.send_list_order(now, Duration::ZERO);
        }
    }

    /// Returns when an immediate list is due beside the long poll; none for an
    /// endpoint without runs or without a recent answer.
    pub(super) fn immediate_list_at(&self, now: Instant) -> Option<Instant> {
        let holds_runs = self.runs.iter().any(Run::is_at_endpoint);
        let endpoint = self.endpoint.as_ref();
        let endpoint = endpoint.filter(|e| holds_runs && e.is_responsive(now))?;
        // The pause after a refusal takes precedence.
        endpoint
            .lists
            .immediate_list_at()
            .max(endpoint.lists_paused_until)
    }

    /// Sends an immediate list when the last list order may be lost.
    pub(super) fn send_immediate_list_if_due(&mut self, now: Instant) {
        if self.immediate_list_at(now).is_some_and(|at| at <= now) {
            self.send_immediate_list(now);
        }
    }

    /// Sends a list order. It renews the lease while the endpoint runs a task of an entry
    /// that is known to be alive now, whatever was known when the agent last looked.
    pub(super) fn send_list_order(&mut self, now: Instant, wait: Duration) {
        let holds_runs = self
            .runs
            .iter()
            .any(|run| run.is_at_endpoint() && self.is_of_proven_entry(now, run));
        let limit = self.lease_limit(now);
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        endpoint.lists.last_sent_at = Some(now);
        // A lease that is not renewed ends soon, and so does the wait of the runs that
        // were lost with the endpoint's process.
        let is_there = endpoint.is_responsive(now) && endpoint.process != ProcessState::Unreachable;
        let until = (holds_runs && is_there && endpoint.clock.is_confirmed())
            .then(|| endpoint.clock.extend_lease(now, RUN_LEASE, limit));
        self.actions.push(GuardAction::List(ListOrder {
            endpoint: endpoint.info.endpoint.clone(),
            incarnation: endpoint.info.incarnation,
            until,
            last_processed_end: endpoint.last_end,
            wait,
            token: self.token,
            sent_at: now,
            answer_by: now + wait + ORDER_TIMEOUT,
        }));
    }

    fn is_of_proven_entry(&self, now: Instant, run: &Run) -> bool {
        let entry = self.entries.get(&run.key.entry);
        entry.is_some_and(|entry| {
            entry.incarnation == run.key.incarnation && entry.is_proven(now, ENTRY_PROOF_LIMIT)
        })
    }
}
