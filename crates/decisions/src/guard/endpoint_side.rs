//! Announcements, end and clock of the endpoint, and the lapse of its leases.

use {
    crate::{
        guard::{
            Announcement, Answer, EndpointTime, GuardAction, GuardMachine, GuardMessage,
            OrderFault,
            endpoint_state::{EndpointState, ProcessState},
            run::{Phase, Run, RunKey},
            run_over::RunOver,
        },
        timing::NUMBER_STEP,
    },
    chestnutrun_types::{
        DecisionEvent, EndKind, EndpointCrash, EndpointId, EndpointInfo, Incarnation, RunNumber,
    },
    std::time::Instant,
};

impl GuardMachine {
    pub(super) fn handle_announcement(&mut self, now: Instant, announcement: Announcement) {
        let Some(endpoint) = &mut self.endpoint else {
            self.record_endpoint_event(&announcement.info, "announced");
            self.endpoint = Some(EndpointState::new(now, announcement, self.conf));
            return;
        };
        let is_same_id = endpoint.info.endpoint == announcement.info.endpoint;
        if !is_same_id || endpoint.info.incarnation != announcement.info.incarnation {
            // If another process answers the orders, the known one may be an invention
            // of another writer, with a later start than the real one.
            let is_later = announcement.info.incarnation > endpoint.info.incarnation;
            if !is_later && endpoint.process != ProcessState::Superseded {
                return;
            }
            if is_same_id {
                self.replace_endpoint(now, EndpointState::new(now, announcement, self.conf));
            } else {
                endpoint.keep_successor(announcement);
            }
            return;
        }
        // An endpoint that leaves does not stay after all, so that this holds in whatever
        // order the announcements arrive.
        let starts_leaving = announcement.leaving && !endpoint.is_leaving;
        endpoint.is_leaving |= announcement.leaving;
        let is_first = !endpoint.is_announced();
        let is_newest = endpoint.accept_announcement(announcement.sequence);
        let is_changed = is_first || is_newest && endpoint.info != announcement.info;
        if is_changed {
            endpoint.info = announcement.info;
        }
        if starts_leaving {
            let info = endpoint.info.clone();
            self.record_endpoint_event(&info, "leaving");
            self.return_waiting(now);
            self.mark_stale();
        }
        if is_changed {
            self.mark_stale();
            self.send_endpoint_info();
        }
    }

    /// Switches to the endpoint that announced itself in place of the present one, once
    /// another process answers there or the present one is silent and its leases are over.
    /// An announcement alone, which may come from another writer, ends no run.
    pub(super) fn adopt_successor(&mut self, now: Instant) {
        let may_run = self.runs.iter().any(Run::is_at_endpoint);
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        let is_gone = endpoint.process == ProcessState::Superseded
            || !(may_run || endpoint.is_responsive(now));
        if is_gone && let Some(successor) = endpoint.successor.take() {
            self.replace_endpoint(now, EndpointState::new(now, successor, self.conf));
        }
    }

    /// Switches to another incarnation of the endpoint, which answered an order and has not
    /// announced itself. It may have taken starts that were sent to the earlier one.
    pub(super) fn adopt_incarnation(
        &mut self,
        now: Instant,
        incarnation: Incarnation,
        reading: EndpointTime,
    ) {
        let Some(endpoint) = &self.endpoint else {
            return;
        };
        let info = EndpointInfo {
            incarnation,
            ..endpoint.info.clone()
        };
        let next = EndpointState::unannounced(now, info, reading, self.conf);
        self.replace_endpoint(now, next);
        self.mark_stale();
        self.send_immediate_list(now);
    }

    /// Switches to another endpoint, or to a new incarnation of the same one.
    ///
    /// A new incarnation of the same endpoint may receive orders that were sent
    /// to the earlier one. Every started run is therefore stopped there, under a
    /// higher token that fences orders still on their way.
    fn replace_endpoint(&mut self, now: Instant, mut next: EndpointState) {
        let earlier = self.endpoint.as_ref();
        let replaced = earlier.filter(|earlier| earlier.info.endpoint != next.info.endpoint);
        let replaced = replaced.map(|earlier| earlier.process);
        self.record_crash(now);
        if let Some(process) = replaced {
            self.end_runs_of_replaced(now, process);
        } else {
            next.clock.expect_earlier_leases(now);
            self.return_waiting(now);
        }
        self.record_endpoint_event(&next.info, "replaced");
        self.endpoint = Some(next);
        self.token += NUMBER_STEP;
        for key in self.runs.keys_where(|_| true) {
            if let Some(run) = self.runs.get_mut(&key) {
                run.phase = Phase::Stopping;
                run.end_kind = EndKind::Stopped;
            }
            self.send_stop_order(now, &key);
        }
        self.send_endpoint_info();
    }

    /// Handles the endpoint's word that it ends. It names no incarnation and may arrive late,
    /// so that it ends no run: a list tells whether the present incarnation is still there.
    pub(super) fn handle_endpoint_end(&mut self, now: Instant, ended: &EndpointId) {
        let named = self.endpoint.as_mut();
        let Some(endpoint) = named.filter(|endpoint| endpoint.info.endpoint == *ended) else {
            return;
        };
        endpoint.end_reported_at = Some(now);
        let info = endpoint.info.clone();
        self.record_endpoint_event(&info, "reported-end");
        self.return_waiting(now);
        self.mark_stale();
        self.send_immediate_list(now);
    }

    /// Forgets an endpoint that reported its end, once it no longer answers and no run may
    /// be left there.
    pub(super) fn forget_ended_endpoint(&mut self, now: Instant) {
        let may_run = self.runs.iter().any(Run::is_at_endpoint);
        let known = self.endpoint.as_ref();
        if may_run || known.is_none_or(|endpoint| !endpoint.is_gone(now)) {
            return;
        }
        // An order that is still on its way may reach a later incarnation, which
        // then refuses it for its token.
        self.token += NUMBER_STEP;
        if let Some(ended) = self.endpoint.take() {
            self.record_endpoint_event(&ended.info, "gone");
            if let Some(successor) = ended.successor {
                self.handle_announcement(now, successor);
            }
        }
        self.send_endpoint_info();
        self.mark_stale();
    }

    /// Ends the runs of an endpoint in whose place another one answers.
    fn end_runs_of_replaced(&mut self, now: Instant, process: ProcessState) {
        let is_over =
            |run: &Run| RunOver::not_sent(run).or_else(|| RunOver::process_ended(run, process));
        for over in self.runs.over(is_over) {
            self.finish_run(now, over);
        }
    }

    /// Ends the runs at the endpoint once every lease is over: the endpoint has
    /// stopped them by itself.
    pub(super) fn end_lapsed_runs(&mut self, now: Instant) {
        let Some(endpoint) = &mut self.endpoint else {
            return;
        };
        let lapsed = self.runs.over(|run| RunOver::lapsed(run, now, endpoint));
        if lapsed.is_empty() {
            return;
        }
        endpoint.is_clean = false;
        endpoint.health.record_failure();
        let info = endpoint.info.clone();
        let has_ended = endpoint.has_ended();
        // One that answers lost its lease to a stop that it left unanswered.
        let news = if endpoint.is_responsive(now) {
            "lease-withheld"
        } else {
            "silent"
        };
        self.record_endpoint_event(&info, news);
        if has_ended {
            self.record_crash(now);
        } else {
            let tasks = self.runs.tasks_at_endpoint();
            if let Some(endpoint) = &mut self.endpoint {
                endpoint.lapsed = tasks;
            }
        }
        for over in lapsed {
            self.finish_run(now, over);
        }
        self.mark_stale();
    }

    /// Records and reports that the endpoint crashed, with the tasks that were there. An
    /// endpoint that had announced its end did not crash.
    fn record_crash(&mut self, now: Instant) {
        let Some(endpoint) = self.endpoint.as_mut().filter(|e| !e.is_ending()) else {
            return;
        };
        let mut at_work = std::mem::take(&mut endpoint.lapsed);
        at_work.extend(self.runs.tasks_at_endpoint());
        if at_work.is_empty() {
            return;
        }
        let crash = EndpointCrash {
            endpoint: endpoint.info.endpoint.clone(),
            incarnation: endpoint.info.incarnation,
            tasks: at_work,
        };
        self.runs.mark_crashed();
        self.record_decision(DecisionEvent::EndpointCrashed {
            endpoint: crash.endpoint.clone(),
            incarnation: crash.incarnation,
            at_work: crash.tasks.clone(),
        });
        self.crashes.add(now, crash);
        self.mark_stale();
    }

    /// Whether this is the incarnation that orders are sent to now.
    pub(super) fn is_present(&self, incarnation: Incarnation) -> bool {
        let endpoint = self.endpoint.as_ref();
        endpoint.is_some_and(|endpoint| endpoint.info.incarnation == incarnation)
    }

    /// Updates the endpoint's clock from an answer; returns whether the answer
    /// is from the current incarnation.
    pub(super) fn update_clock<T>(
        &mut self,
        now: Instant,
        incarnation: Incarnation,
        answer: &Answer<T>,
    ) -> bool {
        if !self.is_present(incarnation) {
            return false;
        }
        let Some(endpoint) = &mut self.endpoint else {
            return false;
        };
        let process = endpoint.process;
        match answer {
            Answer::Done(clock, _) | Answer::Refused(Some(clock), _) => {
                endpoint.clock.update(now, *clock);
                endpoint.record_contact(now);
            }
            Answer::Refused(None, OrderFault::Unreachable) => endpoint.record_unreachable(),
            Answer::Refused(None, _) | Answer::Unknown => endpoint.record_sent_order(),
        }
        if endpoint.process != process {
            self.mark_stale();
        }
        true
    }

    /// Updates the endpoint's clock from an answer; returns the run that the
    /// answer concerns, or none if the run has ended.
    pub(super) fn answered_run(
        &mut self,
        now: Instant,
        endpoint: Incarnation,
        number: RunNumber,
        answer: &Answer<()>,
    ) -> Option<RunKey> {
        if !self.update_clock(now, endpoint, answer) {
            return None;
        }
        self.runs
            .get_by_number_mut(number)
            .map(|run| run.key.clone())
    }

    /// Returns the endpoint as reported to entries; none until it is clean and has
    /// announced itself.
    pub(super) fn clean_endpoint_info(&self) -> Option<EndpointInfo> {
        let clean = self.endpoint.as_ref();
        let clean = clean.filter(|endpoint| endpoint.is_clean && endpoint.is_announced());
        clean.map(|endpoint| endpoint.info.clone())
    }

    pub(super) fn send_endpoint_info(&mut self) {
        let info = self.clean_endpoint_info();
        for (entry, state) in &self.entries {
            if state.is_linked {
                let message = GuardMessage::Endpoint(info.clone());
                self.actions.push(GuardAction::Send(entry.clone(), message));
            }
        }
    }

    pub(super) fn record_endpoint_event(&mut self, info: &EndpointInfo, event: &'static str) {
        self.record_decision(DecisionEvent::EndpointLifecycle {
            endpoint: info.endpoint.clone(),
            incarnation: info.incarnation,
            news: event.into(),
        });
    }

    pub(super) fn record_endpoint_failure(&mut self) {
        if let Some(endpoint) = &mut self.endpoint {
            endpoint.health.record_failure();
        }
    }
}
