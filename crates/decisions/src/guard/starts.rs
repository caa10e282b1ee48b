//! Start orders and their answers.

use {
    crate::{
        guard::{
            Answer, GuardAction, GuardMachine, OrderFault, StartOrder,
            run::{Phase, RunKey},
            run_over::RunOver,
        },
        timing::{ENTRY_PROOF_LIMIT, NO_ROOM_PAUSE, NUMBER_STEP, ORDER_TIMEOUT, RUN_LEASE, millis},
    },
    chestnutrun_types::{DecisionEvent, EndKind, Incarnation, Reserve, Resources, RunNumber},
    std::time::Instant,
};

impl GuardMachine {
    pub(super) fn handle_start_answer(
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
        if run.phase != Phase::Starting {
            return;
        }
        match answer {
            Answer::Done(..) => {
                run.phase = Phase::Running;
                run.progressed_at = Some(now);
                run.end_kind = EndKind::Stopped;
            }
            // What another incarnation answered, it has carried out.
            Answer::Unknown | Answer::Refused(_, OrderFault::AnsweredBy(_)) => {
                self.record_refused_start(&key, "no-answer");
                self.record_endpoint_failure();
                self.stop_run(now, &key, EndKind::Stopped, "no-answer");
            }
            Answer::Refused(_, fault) => {
                self.record_refused_start(&key, fault.name());
                self.handle_start_refusal(now, &key, *fault);
            }
        }
    }

    pub(super) fn handle_start_refusal(&mut self, now: Instant, key: &RunKey, fault: OrderFault) {
        let over = self.runs.get(key);
        let over = over.and_then(|run| RunOver::refused(run, fault));
        match fault {
            OrderFault::StaleToken => self.token += NUMBER_STEP,
            OrderFault::OldRun => self.next_run += NUMBER_STEP,
            OrderFault::NoRoom => {
                if let Some(endpoint) = &mut self.endpoint {
                    endpoint.full_until = Some(now + NO_ROOM_PAUSE);
                }
            }
            OrderFault::Unhealthy | OrderFault::Unreachable | OrderFault::OtherIncarnation => {
                self.record_endpoint_failure();
            }
            OrderFault::LeaseOver | OrderFault::Invalid | OrderFault::AnsweredBy(_) => {}
        }
        if let Some(over) = over {
            self.finish_run(now, over);
        } else if let Some(run) = self.runs.get_mut(key) {
            let start_by = run.started_at.unwrap_or(now) + RUN_LEASE;
            run.phase = Phase::Waiting(start_by);
            run.started_at = None;
        }
    }

    pub(super) fn start_waiting(&mut self, now: Instant) {
        self.return_evacuated(now);
        if !self.takes_work(now) {
            return;
        }
        let Some(endpoint) = &self.endpoint else {
            return;
        };
        if endpoint.full_until.is_some_and(|until| now < until) {
            return;
        }
        let mut free = endpoint.info.total.minus(self.runs.held_room());
        let reserve = self.contention.reserve(now);
        for key in self.runs.waiting() {
            if let Some(need) = self.need_if_startable(now, &key, free, reserve) {
                self.start_run(now, &key, free);
                free = free.minus(need);
            }
        }
    }

    /// Returns the room that a waiting task needs; none if it may not start now.
    pub(super) fn need_if_startable(
        &mut self,
        now: Instant,
        key: &RunKey,
        free: Resources,
        reserve: Reserve,
    ) -> Option<Resources> {
        let entry = self.entries.get(&key.entry)?;
        if !entry.is_proven(now, ENTRY_PROOF_LIMIT) {
            return None;
        }
        let run = self.runs.get_mut(key)?;
        let (task, need, priority) = (run.task.clone(), run.assigned.need, run.priority);
        if !free.fits(need) {
            self.contention.record(now, priority, need);
        }
        let may_start = reserve.usable(free, priority).fits(need)
            && !self.runs.has_other_run(&task, key)
            && self.runs.may_start_beside_others(key);
        may_start.then_some(need)
    }

    pub(super) fn start_run(&mut self, now: Instant, key: &RunKey, free: Resources) {
        let number = self.next_run;
        self.next_run += 1;
        self.runs.assign_number(key, number);
        let limit = self.lease_limit(now);
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
            until: endpoint.clock.extend_lease(now, RUN_LEASE, limit),
            token: self.token,
            answer_by: now + ORDER_TIMEOUT,
        }));
        let event = DecisionEvent::TaskStarted {
            job: run.task.job.clone(),
            task: run.task.at,
            run: number,
            entry: run.key.entry.clone(),
            assignment: run.key.assignment,
            waited_ms: millis(now.saturating_duration_since(run.assigned_at)),
            free_cpu_millis: free.cpu_millis,
        };
        self.record_decision(event);
    }

    pub(super) fn record_refused_start(&mut self, key: &RunKey, reason: &'static str) {
        if let Some(run) = self.runs.get_mut(key) {
            let event = DecisionEvent::StartRefused {
                job: run.task.job.clone(),
                task: run.task.at,
                run: run.number,
                reason: reason.into(),
            };
            self.record_decision(event);
        }
    }
}
