//! Stops of runs and their answers.

use {
    crate::{
        guard::{
            Answer, GuardAction, GuardMachine, OrderFault, StopOrder,
            run::{Phase, RunKey},
        },
        timing::{BROKEN_CONNECTION_PAUSE, NUMBER_STEP, REFUSED_PAUSE, STALL_LIMIT, START_TIMEOUT},
    },
    chestnutrun_types::{DecisionEvent, EndKind, Incarnation, RunNumber, TaskId},
    std::time::Instant,
};

impl GuardMachine {
    pub(super) fn stopped(
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
                self.look(now);
            }
            Answer::Done(..) => {}
            Answer::Refused(_, OrderFault::StaleToken) => {
                self.token += NUMBER_STEP;
                self.order_stop(now, &key);
            }
            Answer::Refused(..) => run.stop_again_at = Some(now + REFUSED_PAUSE),
            Answer::Unknown => {
                let again_at = run
                    .stop_sent_at
                    .map_or(now, |at| at + BROKEN_CONNECTION_PAUSE);
                if now < again_at {
                    run.stop_again_at = Some(again_at);
                } else {
                    self.order_stop(now, &key);
                }
            }
        }
    }

    /// Ends a task: what waits at once, what runs by a stop.
    pub(super) fn stop(&mut self, now: Instant, key: &RunKey, kind: EndKind, why: &'static str) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        match run.phase {
            Phase::Waiting(_) => self.finish(now, key, EndKind::NotStarted),
            Phase::Starting | Phase::Running => {
                run.phase = Phase::Stopping;
                run.end_as = kind;
                let note = DecisionEvent::TaskStopped {
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

    /// Sends stops again that were refused a while ago.
    pub(super) fn stop_again(&mut self, now: Instant) {
        let due = self
            .runs
            .keys(|run| run.stop_again_at().is_some_and(|at| at <= now));
        for key in due {
            if let Some(run) = self.runs.get_mut(&key) {
                run.stop_again_at = None;
            }
            self.order_stop(now, &key);
        }
    }

    pub(super) fn order_stop(&mut self, now: Instant, key: &RunKey) {
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
            answer_by: now + START_TIMEOUT,
        }));
    }

    /// Stops a run that this agent did not start or has given up.
    pub(super) fn order_foreign_stop(&mut self, now: Instant, task: TaskId, run: RunNumber) {
        if let Some(endpoint) = &self.endpoint {
            self.actions.push(GuardAction::Stop(StopOrder {
                endpoint: endpoint.info.endpoint.clone(),
                incarnation: endpoint.info.incarnation,
                task,
                run,
                token: self.token,
                answer_by: now + START_TIMEOUT,
            }));
        }
    }

    pub(super) fn stop_stalled(&mut self, now: Instant) {
        let stalled = self.runs.keys(|run| {
            run.phase == Phase::Running
                && run.progressed_at.is_some_and(|at| at + STALL_LIMIT < now)
        });
        for key in stalled {
            self.stop(now, &key, EndKind::Stalled, "no-progress");
        }
    }
}
