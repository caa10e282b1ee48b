//! What the endpoint says of itself.

use {
    crate::{
        guard::{
            Announcement, Answer, GuardAction, GuardMachine, GuardMessage,
            endpoint_state::EndpointState,
            run::{Phase, Run, RunKey},
        },
        timing::NUMBER_STEP,
    },
    chestnutrun_types::{DecisionEvent, EndKind, EndpointId, EndpointInfo, Incarnation, RunNumber},
    std::time::Instant,
};

impl GuardMachine {
    pub(super) fn announced(&mut self, now: Instant, announcement: Announcement) {
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
            self.replaced(now, announcement);
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

    /// Takes another endpoint, or the same one after a start.
    ///
    /// Under the same id an order for the earlier incarnation may have reached
    /// the new one, or may still do so: what was started is stopped there, under
    /// a token that shuts out what comes later.
    fn replaced(&mut self, now: Instant, announcement: Announcement) {
        let is_same_id = self
            .endpoint
            .as_ref()
            .is_some_and(|endpoint| endpoint.info.endpoint == announcement.info.endpoint);
        if is_same_id {
            self.return_waiting(now);
        } else {
            self.lose_all(now);
        }
        self.endpoint_news(&announcement.info, "replaced");
        self.endpoint = Some(EndpointState::new(now, announcement));
        self.token += NUMBER_STEP;
        for key in self.runs.keys(|_| true) {
            if let Some(run) = self.runs.get_mut(&key) {
                run.phase = Phase::Stopping;
                run.end_as = EndKind::Stopped;
            }
            self.order_stop(now, &key);
        }
        self.tell_endpoint();
    }

    pub(super) fn endpoint_ended(&mut self, now: Instant, ended: &EndpointId) {
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

    /// Ends everything, since the endpoint is gone.
    pub(super) fn lose_all(&mut self, now: Instant) {
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

    /// Gives up what ran at an endpoint whose every lease is over.
    pub(super) fn lapse(&mut self, now: Instant) {
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

    /// Takes the clock of an answer; returns whether the endpoint is the
    /// present one.
    pub(super) fn note_clock<T>(
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

    /// Takes the clock of an answer; returns the run that it is about, unless
    /// that is over.
    pub(super) fn answered_run(
        &mut self,
        now: Instant,
        endpoint: Incarnation,
        number: RunNumber,
        answer: &Answer<()>,
    ) -> Option<RunKey> {
        if !self.note_clock(now, endpoint, answer) {
            return None;
        }
        self.runs.numbered(number).map(|run| run.key.clone())
    }

    pub(super) fn announced_info(&self) -> Option<EndpointInfo> {
        let clean = self.endpoint.as_ref().filter(|endpoint| endpoint.is_clean);
        clean.map(|endpoint| endpoint.info.clone())
    }

    pub(super) fn tell_endpoint(&mut self) {
        let info = self.announced_info();
        for (entry, state) in &self.entries {
            if state.is_linked {
                let message = GuardMessage::Endpoint(info.clone());
                self.actions.push(GuardAction::Send(entry.clone(), message));
            }
        }
    }

    pub(super) fn endpoint_news(&mut self, info: &EndpointInfo, news: &'static str) {
        self.note(DecisionEvent::EndpointLifecycle {
            endpoint: info.endpoint.clone(),
            incarnation: info.incarnation,
            news: news.into(),
        });
    }

    pub(super) fn endpoint_failed(&mut self) {
        if let Some(endpoint) = &mut self.endpoint {
            endpoint.health.failed();
        }
    }
}
