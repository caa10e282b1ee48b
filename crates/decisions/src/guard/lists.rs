//! Orders that renew the lease and list, and their answers.

use {
    crate::{
        guard::{
            Answer, GuardAction, GuardMachine, ListOrder, ListReply, ListedEnd, OrderFault, RunEnd,
            run::{Phase, Run},
        },
        timing::{
            BROKEN_CONNECTION_PAUSE, IDLE_LONG_POLL_WAIT, IMMEDIATE_LIST_AFTER, LONG_POLL_WAIT,
            NUMBER_STEP, ORDER_TIMEOUT, REFUSED_PAUSE, RUN_LEASE,
        },
    },
    chestnutrun_types::{EndKind, Incarnation},
    std::time::{Duration, Instant},
};

impl GuardMachine {
    pub(super) fn listed(
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
            endpoint.lists.look = None;
        } else {
            endpoint.lists.poll = false;
        }
        match answer {
            Answer::Done(_, reply) => {
                self.note_list(now, order.sent_at, &reply);
            }
            Answer::Refused(_, OrderFault::StaleToken) => self.token += NUMBER_STEP,
            Answer::Refused(_, OrderFault::OtherIncarnation) if !endpoint.is_superseded => {
                self.shut_out_late_orders(now);
            }
            Answer::Refused(..) => endpoint.poll_after = Some(now + REFUSED_PAUSE),
            // After a time-out that moment is over already.
            Answer::Unknown => endpoint.poll_after = Some(order.sent_at + BROKEN_CONNECTION_PAUSE),
        }
    }

    /// Has a later incarnation that has not announced itself refuse orders that
    /// were sent to the earlier one and are still under way.
    fn shut_out_late_orders(&mut self, now: Instant) {
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        endpoint.is_superseded = true;
        endpoint.poll_after = Some(now + REFUSED_PAUSE);
        self.token += NUMBER_STEP;
        self.return_waiting(now);
        self.mark_stale();
        self.list(now, Duration::ZERO);
    }

    pub(super) fn note_list(&mut self, now: Instant, asked_at: Instant, reply: &ListReply) {
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

    pub(super) fn note_end(&mut self, now: Instant, end: &ListedEnd) {
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
            EndKind::Failed | EndKind::Stalled => endpoint.run_failed(now),
            EndKind::NotStarted | EndKind::Stopped => {}
        }
        self.finish(now, &key, kind);
    }

    /// Finishes what a list that was asked for later does not show any more.
    pub(super) fn finish_unlisted(&mut self, now: Instant, asked_at: Instant, reply: &ListReply) {
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

    /// Keeps one list order out that waits for ends.
    pub(super) fn poll(&mut self, now: Instant) {
        let is_busy = !self.runs.is_empty();
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        let must_pause = endpoint.poll_after.is_some_and(|at| now < at);
        if endpoint.lists.poll || must_pause {
            return;
        }
        endpoint.lists.poll = true;
        let wait = match (is_busy, endpoint.is_clean) {
            (_, false) => LONG_POLL_WAIT / 4,
            (true, true) => LONG_POLL_WAIT,
            (false, true) => IDLE_LONG_POLL_WAIT,
        };
        self.list(now, wait);
    }

    /// Asks once for what runs, without a wait.
    pub(super) fn look(&mut self, now: Instant) {
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        let is_out = endpoint
            .lists
            .look
            .is_some_and(|at| now < at + IMMEDIATE_LIST_AFTER);
        if !is_out {
            endpoint.lists.look = Some(now);
            self.list(now, Duration::ZERO);
        }
    }

    /// Returns when a list is due though one that waits is out; none of an
    /// endpoint that has gone silent.
    pub(super) fn look_at(&self, now: Instant) -> Option<Instant> {
        let holds_runs = self.runs.iter().any(Run::is_at_endpoint);
        let endpoint = self.endpoint.as_ref();
        let endpoint = endpoint.filter(|e| holds_runs && e.is_heard(now))?;
        // After a refusal the pause goes first.
        endpoint.lists.look_at().max(endpoint.poll_after)
    }

    /// Asks what runs where the newest order to list may be lost.
    pub(super) fn look_if_due(&mut self, now: Instant) {
        if self.look_at(now).is_some_and(|at| at <= now) {
            self.look(now);
        }
    }

    pub(super) fn list(&mut self, now: Instant, wait: Duration) {
        let holds_runs = self.runs.iter().any(Run::is_at_endpoint);
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        endpoint.lists.sent_at = Some(now);
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
}
