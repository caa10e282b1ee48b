//! An entry's view of the demand for its agents.

use {
    crate::demand::AcceptedWork,
    chestnutrun_types::{AgentId, AgentUpdate, ClassDemand, DemandClass, EndpointInfo},
    indexmap::IndexMap,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// How long a report counts: an agent that is short of room reports whenever a task ends.
const REPORT_KEPT: Duration = Duration::from_secs(1);

/// Least part of the linked endpoints whose reports make a view.
const LEAST_REPORTED: f64 = 0.5;

/// What one agent reported.
#[derive(Debug)]
struct Reported {
    at: Instant,
    demand: Vec<ClassDemand>,
    rate_cpu_millis: u32,
}

/// An entry's view of the demand for its agents; at most one report of each.
#[derive(Debug, Default)]
pub(crate) struct SiteView {
    by_agent: IndexMap<AgentId, Reported>,
}

/// Demand of one class in relation to what the endpoints serve.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ClassLoad {
    /// Time that the endpoints need for what waits.
    pub(crate) waiting_seconds: f64,
    /// Part of what the endpoints serve that accepted work takes.
    pub(crate) accepted_part: f64,
    /// Mean number of entries with waiting work at an endpoint.
    pub(crate) entries: f64,
}

/// What the linked endpoints of a service serve, and what other entries ask of them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Supply {
    /// Rate of all linked endpoints, in cores at the expected run times.
    pub(crate) cores: f64,
    /// Demand of the other entries.
    pub(crate) others: BTreeMap<DemandClass, ClassLoad>,
    /// Mean age of the reports.
    pub(crate) age: Duration,
}

impl SiteView {
    pub(crate) fn update(&mut self, now: Instant, agent: &AgentId, update: &AgentUpdate) {
        let Some(rate_cpu_millis) = update.rate_cpu_millis else {
            return;
        };
        let reported = Reported {
            at: now,
            demand: update.demand.clone(),
            rate_cpu_millis,
        };
        self.by_agent.insert(agent.clone(), reported);
    }

    pub(crate) fn remove(&mut self, agent: &AgentId) {
        self.by_agent.swap_remove(agent);
    }

    /// Returns what these endpoints serve; none without recent reports of half of them.
    pub(crate) fn supply<'a>(
        &self,
        now: Instant,
        endpoints: impl Iterator<Item = (&'a AgentId, &'a EndpointInfo)>,
    ) -> Option<Supply> {
        let (mut total, mut reported_total) = (0.0, 0.0);
        let (mut rate, mut ages) = (0.0, 0.0);
        let mut sums: BTreeMap<DemandClass, ClassLoad> = BTreeMap::new();
        for (agent, info) in endpoints {
            let cores = f64::from(info.total.cpu_millis) / 1_000.0;
            total += cores;
            let reported = self.by_agent.get(agent);
            let Some(reported) = reported.filter(|report| now < report.at + REPORT_KEPT) else {
                continue;
            };
            reported_total += cores;
            rate += f64::from(reported.rate_cpu_millis) / 1_000.0;
            ages += now.saturating_duration_since(reported.at).as_secs_f64() * cores;
            for of_class in &reported.demand {
                let sum = sums.entry(of_class.class()).or_default();
                sum.waiting_seconds += thousandths(of_class.waiting_core_ms);
                sum.accepted_part += thousandths(of_class.accepted_cpu_millis);
                sum.entries += f64::from(of_class.entries) * cores;
            }
        }
        if rate <= 0.0 || reported_total < LEAST_REPORTED * total {
            return None;
        }
        for sum in sums.values_mut() {
            sum.waiting_seconds /= rate;
            sum.accepted_part /= rate;
            sum.entries /= reported_total;
        }
        Some(Supply {
            cores: rate * total / reported_total,
            others: sums,
            age: Duration::from_secs_f64(ages / reported_total),
        })
    }
}

impl Supply {
    /// Returns the part of what the endpoints serve that work before a class takes.
    pub(crate) fn accepted_before(
        &self,
        now: Instant,
        class: DemandClass,
        own: &AcceptedWork,
    ) -> f64 {
        let others = self.others.range(..class);
        let others: f64 = others.map(|(_, load)| load.accepted_part).sum();
        let own = own.rates(now).filter(|(of, _)| *of < class);
        others + own.map(|(_, cores)| cores / self.cores).sum::<f64>()
    }
}

#[allow(clippy::cast_precision_loss)] // far below the precision of f64
fn thousandths(value: u64) -> f64 {
    value as f64 / 1_000.0
}
