//! Stop orders and their answers.

use {
    crate::{
        guard::{
            Answer, GuardAction, GuardMachine, OrderFault, StopOrder,
            run::{Phase, RunKey},
        },
        timing::{BROKEN_CONNECTION_PAUSE, NUMBER_STEP, ORDER_TIMEOUT, REFUSED_PAUSE},
    },
    chestnutrun_types::{DecisionEvent, EndKind, Incarnation, RunNumber, TaskId},
    std::time::Instant,
};

impl GuardMachine {
    pub(super) fn handle_stop_answer(
        &mut self,
        now: Instant,
        endpoint: Incarnation,
        number: RunNumber,
        answer: &Answer<()>,
    ) {
        let Some(key) = self.answered_run(now, endpoint, number, answer) else {
            return;
        };
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        match answer {
            Answer::Done(..) if run.is_stopping() => {
                run.phase = Phase::StopAnswered(now);
                self.send_immediate_list(now);
            }
            Answer::Done(..) => {}
            Answer::Refused(_, OrderFault::StaleToken) => {
                self.token += NUMBER_STEP;
                self.send_stop_order(now, &key);
            }
            Answer::Refused(..) => run.resend_stop_at = Some(now + REFUSED_PAUSE),
            Answer::Unknown => {
                let again_at = run
                    .stop_sent_at
                    .map_or(now, |at| at + BROKEN_CONNECTION_PAUSE);
                if now < again_at {
                    run.resend_stop_at = Some(again_at);
                } else {
                    self.send_stop_order(now, &key);
                }
            }
        }
    }

    /// Ends a waiting task at once, and sends a stop order for a started one.
    pub(super) fn stop_run(
        &mut self,
        now: Instant,
        key: &RunKey,
        kind: EndKind,
        reason: &'static str,
    ) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        match run.phase {
            Phase::Waiting(_) => self.finish_waiting(now, key),
            Phase::Starting | Phase::Running => {
                run.phase = Phase::Stopping;
                run.end_kind = kind;
                let event = DecisionEvent::TaskStopped {
                    job: run.task.job.clone(),
                    task: run.task.at,
                    run: run.number,
                    reason: reason.into(),
                    percent: run.percent,
                };
                self.record_decision(event);
                self.send_stop_order(now, key);
            }
            Phase::Stopping | Phase::StopAnswered(_) => {}
        }
    }

    /// Resends the stops whose pause after a refusal or broken connection is over.
    pub(super) fn resend_refused_stops(&mut self, now: Instant) {
        let due = self
            .runs
            .keys_where(|run| run.resend_stop_at().is_some_and(|at| at <= now));
        for key in due {
            if let Some(run) = self.runs.get_mut(&key) {
                run.resend_stop_at = None;
            }
            self.send_stop_order(now, &key);
        }
    }

    pub(super) fn send_stop_order(&mut self, now: Instant, key: &RunKey) {
        let (Some(run), Some(endpoint)) = (self.runs.get_mut(key), &self.endpoint) else {
            return;
        };
        run.stop_sent_at = Some(now);
        self.actions.push(GuardAction::Stop(StopOrder {
            endpoint: endpoint.info.endpoint.clone(),
            incarnation: endpoint.info.incarnation,
            task: run.task.clone(),
            run: run.number,
            token: self.token,
            answer_by: now + ORDER_TIMEOUT,
        }));
    }

    /// Stops a run that this agent did not start or no longer tracks.
    pub(super) fn send_foreign_stop_order(&mut self, now: Instant, task: TaskId, run: RunNumber) {
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

    pub(super) fn stop_stalled(&mut self, now: Instant) {
        let stalled = self.runs.keys_where(|run| {
            run.phase == Phase::Running && run.stalls_at().is_some_and(|at| at < now)
        });
        for key in stalled {
            self.stop_run(now, &key, EndKind::Stalled, "no-progress");
        }
    }
}
