//! Chooses endpoints for the tasks of one job.

use {
    crate::placement::{endpoint_view::EndpointView, held_job::HeldJob, held_task::HeldTask},
    chestnutrun_types::{AgentId, EndpointInfo, Room, StepSpec, StepTask, ZoneId},
    indexmap::IndexMap,
};

/// What a slow endpoint costs against one with less room: an endpoint of twice
/// the expected run time comes after every one that is not full.
const SLOWNESS_WEIGHT: f32 = 1.0;

/// What an endpoint of another availability zone costs: bytes between zones
/// are paid for, so a tenth of an endpoint's room outweighs them.
const OTHER_ZONE_COST: f32 = 0.1;

/// What an endpoint on another rack than the data costs.
const OTHER_RACK_COST: f32 = 0.5;

/// One endpoint while tasks are dealt out.
struct Candidate<'a> {
    agent: &'a AgentId,
    info: &'a EndpointInfo,
    free: Room,
    most_tasks: u16,
    cost: f32,
    given: Vec<StepTask>,
}

/// Chooses endpoints for tasks of one job; where not all find room, returns
/// those that do.
pub(crate) fn choose(
    views: &IndexMap<AgentId, EndpointView>,
    zone: &ZoneId,
    job: &HeldJob,
    tasks: &[HeldTask],
) -> IndexMap<AgentId, Vec<StepTask>> {
    let mut candidates = candidates(views, zone, job);
    for task in tasks {
        let step = job.step(task.at.step);
        give(&mut candidates, task, step);
    }
    let chosen = candidates.into_iter().filter(|c| !c.given.is_empty());
    chosen.map(|c| (c.agent.clone(), c.given)).collect()
}

/// Whether some endpoint of the service could hold each task if it were empty.
pub(crate) fn can_ever_fit(views: &IndexMap<AgentId, EndpointView>, job: &HeldJob) -> bool {
    job.job.steps.iter().all(|step| {
        let usable = views.values().filter_map(|view| view.info.as_ref());
        let mut fitting = usable.filter(|info| info.service == job.route.service);
        fitting.any(|info| info.total.fits(step.need) && has_label(info, step))
    })
}

fn candidates<'a>(
    views: &'a IndexMap<AgentId, EndpointView>,
    zone: &ZoneId,
    job: &HeldJob,
) -> Vec<Candidate<'a>> {
    let mut candidates: Vec<Candidate<'a>> = views
        .iter()
        .filter_map(|(agent, view)| {
            let info = view.usable()?;
            (info.service == job.route.service).then(|| Candidate {
                agent,
                info,
                free: view.free(),
                most_tasks: view.most_tasks(),
                cost: cost(view, info, zone, job),
                given: Vec::new(),
            })
        })
        .collect();
    candidates.sort_by(|a, b| a.cost.total_cmp(&b.cost));
    candidates
}

fn cost(view: &EndpointView, info: &EndpointInfo, zone: &ZoneId, job: &HeldJob) -> f32 {
    let free = fraction(view.free().cpu_millis, info.total.cpu_millis);
    let slowness = (view.slowness() - 1.0).max(0.0) * SLOWNESS_WEIGHT;
    let mut cost = slowness - free;
    if info.zone != *zone {
        cost += OTHER_ZONE_COST;
    }
    let wanted = job.job.steps.iter().filter_map(|step| step.rack.as_ref());
    let mut wanted = wanted.peekable();
    if wanted.peek().is_some() && !wanted.any(|rack| info.labels.contains(rack)) {
        cost += OTHER_RACK_COST;
    }
    cost
}

/// Gives a task to the first candidate that can take it.
fn give(candidates: &mut [Candidate<'_>], task: &HeldTask, step: &StepSpec) {
    let place = candidates.iter_mut().find(|candidate| {
        let of_step = candidate.given.iter().filter(|at| at.step == task.at.step);
        let is_spread = step
            .most_per_endpoint
            .is_none_or(|most| of_step.count() < usize::from(most));
        candidate.most_tasks > 0
            && candidate.free.fits(step.need)
            && has_label(candidate.info, step)
            && !task.avoid.contains(&candidate.info.endpoint)
            && is_spread
    });
    if let Some(candidate) = place {
        candidate.free = candidate.free.minus(step.need);
        candidate.most_tasks -= 1;
        candidate.given.push(task.at);
    }
}

fn has_label(info: &EndpointInfo, step: &StepSpec) -> bool {
    step.requires
        .as_ref()
        .is_none_or(|label| info.labels.contains(label))
}

#[allow(clippy::cast_precision_loss)] // an approximate share is enough
fn fraction(part: u32, whole: u32) -> f32 {
    part as f32 / whole.max(1) as f32
}
