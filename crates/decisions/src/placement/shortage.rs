//! Refuses the jobs that cannot start in time, and tells agents what waits.

use {
    crate::{
        demand::{AcceptedWork, CERTAIN_PART, Forecast, OwnWork, SURE_PART},
        placement::{
            CallerId, DispatchAction, Dispatcher, RefusalReason,
            backlog::Backlog,
            held_job::HeldJob,
            turn::{Turn, TurnKey},
        },
        timing::OTHER_ZONE_REPORT_INTERVAL,
    },
    chestnutrun_types::{ClassDemand, DemandClass, ServiceId},
    indexmap::IndexMap,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// How long before its last start by the forecast a job counts as due: other entries learn
/// of the same free room, so that a job takes it only after some reports of the agents.
const DUE_EARLIER: Duration = Duration::from_millis(400);

/// A wait that is not told apart from none: the reports of a full endpoint are older.
const NO_WAIT: Duration = OTHER_ZONE_REPORT_INTERVAL;

/// Jobs that wait, by class and last start.
type WaitingByClass = BTreeMap<(DemandClass, Instant, CallerId), f64>;

impl Dispatcher {
    /// Returns why a job that arrives is refused at once: by the view of the site it cannot
    /// start in time behind what goes first.
    pub(super) fn refusal_at_arrival(
        &mut self,
        now: Instant,
        job: &HeldJob,
    ) -> Option<RefusalReason> {
        let service = &job.route.service;
        let backlog = self.backlogs.get(service)?;
        let (class, last_start) = (job.class(), job.last_start());
        let own = backlog.queue.ahead_of(class, last_start);
        let forecast = backlog.forecast(now, class, own, &self.accepted_work(service))?;
        if now + forecast.wait().div_f64(SURE_PART) <= last_start.max(now + NO_WAIT) {
            return None;
        }
        self.record(forecast.refusal_event(now, job.job.id.clone(), last_start));
        Some(RefusalReason::Overload)
    }

    /// Counts the work of a job that was accepted.
    pub(super) fn record_accepted(&mut self, now: Instant, job: &HeldJob) {
        let of_service = self.accepted.entry(job.route.service.clone());
        let accepted = of_service.or_default();
        accepted.record(now, job.class(), job.waiting_work());
    }

    /// Adds a job to the backlog of its service if a part of it found no room.
    pub(super) fn queue_submitted(&mut self) {
        let submitted = self.submitted.take();
        let Some(job) = submitted.and_then(|caller| self.jobs.get(&caller)) else {
            return;
        };
        if job.has_ready_task()
            && let Some(backlog) = self.backlogs.get_mut(&job.route.service)
        {
            backlog.add(job);
        }
    }

    /// Refuses the jobs without a start that no endpoint can serve, or not before the
    /// caller's deadline.
    pub(super) fn refuse_unservable(&mut self, now: Instant) {
        let mut backlogs = self.empty_backlogs(now);
        let mut waiting: IndexMap<ServiceId, WaitingByClass> = IndexMap::new();
        let mut without_view: Vec<TurnKey> = Vec::new();
        for (caller, job) in &self.jobs {
            if !job.has_ready_task() {
                continue;
            }
            let service = &job.route.service;
            if backlogs.get(service).is_some_and(|b| b.supply.is_some()) {
                let of_service = waiting.entry(service.clone()).or_default();
                let key = (job.class(), job.last_start(), *caller);
                of_service.insert(key, job.waiting_work());
            } else {
                without_view.push(Turn::new(job).key(now, *caller));
            }
        }
        without_view.sort_unstable();
        let mut refused = self.unservable_without_view(now, &without_view, &mut backlogs);
        for (service, waiting) in waiting {
            if let Some(backlog) = backlogs.get_mut(&service) {
                refused.extend(self.unservable_by_view(now, &waiting, &service, backlog));
            }
        }
        self.backlogs = backlogs;
        for (caller, reason) in refused {
            self.end_without_result(now, caller, reason);
        }
    }

    /// Returns the jobs that wait behind more own work than all endpoints can do in time.
    fn unservable_without_view(
        &self,
        now: Instant,
        waiting: &[TurnKey],
        backlogs: &mut IndexMap<ServiceId, Backlog>,
    ) -> Vec<(CallerId, RefusalReason)> {
        let mut work: IndexMap<&ServiceId, f64> = IndexMap::new();
        let mut refused = Vec::new();
        for (.., caller) in waiting {
            let Some(job) = self.jobs.get(caller) else {
                continue;
            };
            let service = &job.route.service;
            let backlog = backlogs.entry(service.clone()).or_default();
            let work = work.entry(service).or_default();
            let refusal = self.refusal_reason(now, job).or_else(|| {
                let is_late = job.last_start() < now + backlog.shortest_wait(*work);
                is_late.then_some(RefusalReason::Overload)
            });
            if let Some(reason) = refusal.filter(|_| !job.may_have_run()) {
                refused.push((*caller, reason));
            } else {
                *work += job.waiting_work();
                backlog.add(job);
            }
        }
        refused
    }

    /// Returns the jobs that by the view of the site cannot start in time, and marks those
    /// that can only if they go before all that have more time.
    fn unservable_by_view(
        &mut self,
        now: Instant,
        waiting: &WaitingByClass,
        service: &ServiceId,
        backlog: &mut Backlog,
    ) -> Vec<(CallerId, RefusalReason)> {
        let accepted = self.accepted_work(service);
        let mut refused = Vec::new();
        let mut own = OwnWork::default();
        let mut present = None;
        for ((class, last_start, caller), work) in waiting {
            if present != Some(*class) {
                present = Some(*class);
                own = OwnWork {
                    before: own.before + own.ahead,
                    ahead: 0.0,
                };
            }
            let Some(job) = self.jobs.get(caller) else {
                continue;
            };
            let forecast = backlog.forecast(now, *class, own, &accepted);
            let refusal = self.refusal_reason(now, job).or_else(|| {
                let forecast = forecast.filter(|f| is_certainly_late(now, f, *last_start));
                forecast.map(|_| RefusalReason::Overload)
            });
            if let Some(reason) = refusal.filter(|_| !job.may_have_run()) {
                if let Some(forecast) = forecast {
                    let event = forecast.refusal_event(now, job.job.id.clone(), *last_start);
                    self.record(event);
                }
                refused.push((*caller, reason));
                continue;
            }
            backlog.add(job);
            own.ahead += work;
            let wait = forecast.map_or(Duration::ZERO, |forecast| forecast.wait());
            if let Some(job) = self.jobs.get_mut(caller) {
                job.is_due = *last_start <= now + wait + DUE_EARLIER;
            }
        }
        refused
    }

    pub(super) fn accepted_work(&self, service: &ServiceId) -> AcceptedWork {
        self.accepted.get(service).cloned().unwrap_or_default()
    }

    /// Tells the agents what waits for them, each a part by its endpoint's processor.
    pub(super) fn tell_demand(&mut self, now: Instant) {
        for accepted in self.accepted.values_mut() {
            accepted.forget_old(now);
        }
        self.accepted.retain(|_, accepted| !accepted.is_empty());
        for (agent, view) in &self.views {
            let Some(info) = view.usable() else {
                continue;
            };
            let Some(backlog) = self.backlogs.get(&info.service) else {
                continue;
            };
            let part = backlog.part_of(info.total.cpu_millis);
            let accepted = self.accepted.get(&info.service);
            let demand: Vec<ClassDemand> = backlog.demand(now, part, accepted);
            if self.teller.is_due(now, agent, &demand) {
                self.actions
                    .push(DispatchAction::TellDemand(agent.clone(), demand));
            }
        }
    }
}

/// Returns whether a job is late even if the view is wrong by as much as can be expected, or
/// its last moment has passed.
fn is_certainly_late(now: Instant, forecast: &Forecast, last_start: Instant) -> bool {
    last_start < now + forecast.wait().mul_f64(CERTAIN_PART)
}
