//! How long waiting jobs and refused callers wait for room.

use {
    crate::{
        demand::{AcceptedWork, Forecast, OwnQueue, OwnWork, Supply},
        placement::{Dispatcher, held_job::HeldJob},
    },
    chestnutrun_types::{AgentId, ClassDemand, DemandClass, EndpointInfo, JobId, ServiceId},
    indexmap::IndexMap,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Shortest time after which a refused caller may submit again.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The waiting work of one service and what works on it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Backlog {
    pub(super) queue: OwnQueue,
    /// What the endpoints serve and other entries ask; none without recent reports of the
    /// agents. The entry then knows only of its own work.
    pub(super) supply: Option<Supply>,
    /// Own work, in core-seconds.
    work: f64,
    /// Cores of all endpoints: an upper bound of what this entry can get.
    total: f64,
    /// Cores that tasks of this entry hold.
    held: f64,
}

impl Backlog {
    /// Adds the waiting work of a job.
    pub(super) fn add(&mut self, job: &HeldJob) {
        let work = job.waiting_work();
        self.work += work;
        self.queue.add(job.class(), job.last_start(), work);
    }

    /// Returns how long a further job waits, by the view of the site; none without one.
    pub(super) fn forecast(
        &self,
        now: Instant,
        class: DemandClass,
        own: OwnWork,
        accepted: &AcceptedWork,
    ) -> Option<Forecast> {
        let supply = self.supply.as_ref()?;
        Some(Forecast::new(now, class, own, accepted, supply))
    }

    /// Returns the part of the endpoints' processor that one of them has.
    pub(super) fn part_of(&self, cpu_millis: u32) -> f64 {
        f64::from(cpu_millis) / 1_000.0 / self.total.max(f64::MIN_POSITIVE)
    }

    /// Returns a part of the demand by class; nothing while no work waits.
    pub(super) fn demand(
        &self,
        now: Instant,
        part: f64,
        accepted: Option<&AcceptedWork>,
    ) -> Vec<ClassDemand> {
        if self.work <= 0.0 {
            return Vec::new();
        }
        let mut by_class: BTreeMap<DemandClass, ClassDemand> = BTreeMap::new();
        let of_class = |priority| ClassDemand {
            priority,
            ..ClassDemand::default()
        };
        for (class, work) in self.queue.by_class() {
            let demand = by_class.entry(class).or_insert_with(|| of_class(class));
            demand.waiting_core_ms = thousandths(work * part);
            demand.entries = 1;
        }
        for (class, cores) in accepted.iter().flat_map(|accepted| accepted.rates(now)) {
            let demand = by_class.entry(class).or_insert_with(|| of_class(class));
            demand.accepted_cpu_millis = thousandths(cores * part);
        }
        by_class.into_values().collect()
    }

    /// Returns the shortest time until a job can get room that goes after `work`, if
    /// nobody else asks for room.
    pub(super) fn shortest_wait(&self, work: f64) -> Duration {
        time_of(work, self.total)
    }

    /// Returns the time that the own work takes at the present rate.
    pub(super) fn drain_time(&self) -> Duration {
        let cores = if self.held > 0.0 {
            self.held
        } else {
            self.total
        };
        time_of(self.work, cores)
    }
}

/// Returns the time after which the caller of a refused job may submit it again. Callers are
/// spread over the time that the waiting work takes, so that they do not come back together.
pub(super) fn retry_after(drain_time: Duration, job: &JobId) -> Duration {
    let seconds = drain_time.as_secs_f64().ceil().max(1.0);
    let part = f64::from(u32::try_from(xxh3_64(job.as_bytes()) >> 32).unwrap_or_default())
        / f64::from(u32::MAX);
    let spread = (seconds - 1.0) * part;
    MIN_RETRY_AFTER + Duration::from_secs_f64(spread.round())
}

impl Dispatcher {
    /// Returns the backlog of each service that has an endpoint or a job, before the
    /// waiting jobs are added.
    pub(super) fn empty_backlogs(&self, now: Instant) -> IndexMap<ServiceId, Backlog> {
        let mut endpoints: IndexMap<&ServiceId, Vec<(&AgentId, &EndpointInfo)>> = IndexMap::new();
        for (agent, view) in &self.views {
            if let Some(info) = view.usable() {
                let of_service = endpoints.entry(&info.service).or_default();
                of_service.push((agent, info));
            }
        }
        let mut backlogs: IndexMap<ServiceId, Backlog> = IndexMap::new();
        for (service, endpoints) in endpoints {
            let total: u64 = endpoints
                .iter()
                .map(|(_, info)| u64::from(info.total.cpu_millis))
                .sum();
            let backlog = Backlog {
                total: cores(total),
                supply: self.site.supply(now, endpoints.into_iter()),
                ..Backlog::default()
            };
            backlogs.insert(service.clone(), backlog);
        }
        for job in self.jobs.values() {
            let backlog = backlogs.entry(job.route.service.clone()).or_default();
            backlog.held += cores(job.cpu_millis_at_agents());
        }
        backlogs
    }

    /// Returns the time after which the waiting work of a job's class and of more urgent
    /// ones is done.
    pub(super) fn drain_time(&self, now: Instant, job: &HeldJob) -> Duration {
        let Some(backlog) = self.backlogs.get(&job.route.service) else {
            return Duration::ZERO;
        };
        let (class, accepted) = (job.class(), self.accepted_work(&job.route.service));
        let own = backlog.queue.ahead_of(class, job.deadline());
        let forecast = backlog.forecast(now, class, own, &accepted);
        forecast.map_or_else(|| backlog.drain_time(), |forecast| forecast.wait())
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // saturates at the range
fn thousandths(value: f64) -> u64 {
    (value * 1_000.0).ceil() as u64
}

fn time_of(work: f64, cores: f64) -> Duration {
    if cores > 0.0 {
        Duration::try_from_secs_f64(work / cores).unwrap_or(Duration::MAX)
    } else {
        Duration::ZERO
    }
}

#[allow(clippy::cast_precision_loss)] // far below the precision of f64
fn cores(cpu_millis: u64) -> f64 {
    cpu_millis as f64 / 1_000.0
}
