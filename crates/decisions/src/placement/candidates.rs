//! Chooses endpoints for the tasks of jobs.

use {
    crate::{
        placement::{
            endpoint_view::EndpointView,
            held_job::{HeldJob, TaskCounts},
            held_task::HeldTask,
        },
        speeds::ServiceSpeeds,
    },
    chestnutrun_types::{
        AgentId, EndpointInfo, EndpointSpeed, JobId, Label, Reserve, Resources, ServiceId,
        StepSpec, TaskPosition, ZoneId,
    },
    indexmap::{IndexMap, IndexSet},
    std::time::Instant,
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// Weight of slowness against free room in the cost while all endpoints are free: one whose
/// tasks take twice the mean run time is chosen after every other that is not full. The
/// less room the faster endpoints have, the less it counts, so that they keep room for the
/// tasks that need them.
const SLOWNESS_WEIGHT: f32 = 1.0;

/// Cost of an endpoint in another availability zone: orders and answers take longer, and
/// a cut between the zones would end the job; a tenth of an endpoint's room outweighs that.
const OTHER_ZONE_COST: f32 = 0.1;

/// Cost of an endpoint on another rack than the job's data.
const OTHER_RACK_COST: f32 = 0.5;

/// Largest part of the cost that differs by job, so that entries with the same
/// reports from agents do not all choose the same endpoint.
const JOB_SPREAD: f32 = 0.25;

/// One endpoint with the room that is left during one placement.
#[derive(Debug)]
struct Candidate<'a> {
    agent: &'a AgentId,
    info: &'a EndpointInfo,
    free: Resources,
    /// Free room before a job that gets whole endpoints was placed.
    free_before: Option<Resources>,
    reserve: Reserve,
    most_tasks: u16,
    speed: &'a EndpointSpeed,
    /// Factor on the run time of the present job's tasks.
    slowness: f32,
    is_other_zone: bool,
    /// Whether the agent reported since the last placement.
    has_changed: bool,
    /// Cost of placing the present job at the endpoint.
    cost: f32,
    /// Half of the free room before the present job was placed, less the room
    /// that the job has taken since.
    half: Resources,
}

/// The endpoints of all services that have room, during one placement of the
/// waiting jobs.
#[derive(Debug)]
pub(crate) struct Candidates<'a> {
    candidates: Vec<Candidate<'a>>,
    speeds: &'a IndexMap<ServiceId, ServiceSpeeds>,
}

/// Tasks of one job by the agent that they are placed at.
pub(crate) type Choice = IndexMap<AgentId, Vec<TaskPosition>>;

impl<'a> Candidates<'a> {
    /// Collects the usable endpoints that have room: all of them, or those whose
    /// agents are `changed`.
    pub(crate) fn new(
        views: &'a IndexMap<AgentId, EndpointView>,
        zone: &ZoneId,
        speeds: &'a IndexMap<ServiceId, ServiceSpeeds>,
        changed: &'a IndexSet<AgentId>,
        only_changed: bool,
    ) -> Self {
        let to_candidate = |(agent, view): (&'a AgentId, &'a EndpointView), has_changed| {
            let info = view.usable()?;
            let (free, most_tasks) = (view.free(), view.most_tasks());
            let is_open = most_tasks > 0 && free.cpu_millis > 0;
            is_open.then(|| Candidate {
                agent,
                info,
                free,
                free_before: None,
                reserve: view.reserve(),
                most_tasks,
                speed: view.speed(),
                slowness: 1.0,
                is_other_zone: info.zone != *zone,
                has_changed,
                cost: 0.0,
                half: Resources::default(),
            })
        };
        let candidates = if only_changed {
            let views = changed
                .iter()
                .filter_map(|agent| views.get_key_value(agent));
            views.filter_map(|view| to_candidate(view, true)).collect()
        } else {
            let views = views.iter();
            let to_candidate = |view| to_candidate(view, changed.contains(view.0));
            views.filter_map(to_candidate).collect()
        };
        Self { candidates, speeds }
    }

    /// Returns whether no endpoint has room.
    pub(crate) fn is_full(&self) -> bool {
        self.candidates.is_empty()
    }

    /// Reserves room for the ready tasks of one job; tasks that find no room are
    /// left out. A job that found no room before is tried only at endpoints that
    /// have changed. Tasks that run beside no other job (`is_alone`) get whole
    /// endpoints, the emptiest first.
    pub(crate) fn choose(
        &mut self,
        now: Instant,
        job: &HeldJob,
        only_changed: bool,
        is_alone: bool,
    ) -> Choice {
        let mut chosen = Choice::new();
        let rack = job.job.steps.iter().find_map(|step| step.rack.as_ref());
        let mut fitting: Vec<&mut Candidate> = self
            .candidates
            .iter_mut()
            .filter(|candidate| {
                candidate.info.service == job.route.service
                    && (candidate.has_changed || !only_changed)
                    && job
                        .ready_tasks()
                        .any(|task| candidate.has_room_for(job, task))
            })
            .collect();
        if fitting.is_empty() {
            return chosen;
        }
        let speeds = self.speeds.get(&job.route.service).copied();
        let speeds = speeds.unwrap_or_default();
        for candidate in &mut fitting {
            candidate.slowness = speeds.slowness(candidate.speed, Some(&job.route.id));
            candidate.cost = candidate.cost(rack, &job.job.id, speeds.free());
            candidate.half = candidate.usable(job).half();
            if is_alone {
                candidate.free_before = Some(candidate.free);
                candidate.free = candidate.info.total;
                candidate.half = candidate.info.total;
            }
        }
        fitting.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        let mut held = job.limited_tasks();
        let limits = job.end_limits();
        for task in job.ready_tasks() {
            let step = job.step(task.at.step);
            // Endpoints where the task is expected to end within the target come first.
            // Half of an endpoint's room is left to other entries, which do not
            // know of this choice yet, unless the job finds no room elsewhere.
            let find = |in_target: bool, room: &dyn Fn(&Candidate) -> Resources| {
                fitting.iter().position(|candidate| {
                    room(candidate).fits(step.need)
                        && candidate.can_take(task, step, &held)
                        && limits.may_start(now, task.at.step, candidate.slowness)
                        && in_target == limits.meets_target(now, task.at.step, candidate.slowness)
                })
            };
            let place = [true, false].into_iter().find_map(|in_target| {
                find(in_target, &|candidate| candidate.half)
                    .or_else(|| find(in_target, &|candidate| candidate.usable(job)))
            });
            if let Some(candidate) = place.map(|at| &mut fitting[at]) {
                candidate.free = candidate.free.minus(step.need);
                candidate.half = candidate.half.minus(step.need);
                candidate.most_tasks -= 1;
                if step.most_per_endpoint.is_some() {
                    let of_step = (candidate.agent.clone(), task.at.step);
                    *held.entry(of_step).or_default() += 1;
                }
                chosen
                    .entry(candidate.agent.clone())
                    .or_default()
                    .push(task.at);
            }
        }
        for candidate in &mut self.candidates {
            if let Some(free_before) = candidate.free_before.take() {
                candidate.free = if chosen.contains_key(candidate.agent) {
                    Resources::default()
                } else {
                    free_before
                };
            }
        }
        self.candidates
            .retain(|c| c.most_tasks > 0 && c.free.cpu_millis > 0);
        chosen
    }
}

impl Candidate<'_> {
    fn cost(&self, rack: Option<&Label>, job: &JobId, free_of_service: f32) -> f32 {
        let free = fraction(self.free.cpu_millis, self.info.total.cpu_millis);
        let slowness = (self.slowness - 1.0).max(0.0);
        let mut cost = slowness * SLOWNESS_WEIGHT * free_of_service - free;
        cost += self.spread(job) * JOB_SPREAD;
        if self.is_other_zone {
            cost += OTHER_ZONE_COST;
        }
        if rack.is_some_and(|rack| !self.info.labels.contains(rack)) {
            cost += OTHER_RACK_COST;
        }
        cost
    }

    /// Returns a hash of the job and the agent, between 0 and 1.
    fn spread(&self, job: &JobId) -> f32 {
        let hash = xxh3_64_with_seed(self.agent.as_bytes(), xxh3_64(job.as_bytes()));
        let part = u16::try_from(hash >> 48).unwrap_or_default();
        f32::from(part) / f32::from(u16::MAX)
    }

    fn has_room_for(&self, job: &HeldJob, task: &HeldTask) -> bool {
        self.usable(job).fits(job.step(task.at.step).need)
    }

    /// Returns the free room that the job may use.
    fn usable(&self, job: &HeldJob) -> Resources {
        self.reserve.usable(self.free, job.priority())
    }

    fn can_take(&self, task: &HeldTask, step: &StepSpec, held: &TaskCounts) -> bool {
        let is_spread = step.most_per_endpoint.is_none_or(|most| {
            let of_step = held.get(&(self.agent.clone(), task.at.step));
            of_step.is_none_or(|count| *count < usize::from(most))
        });
        self.most_tasks > 0
            && self.free.fits(step.need)
            && has_label(self.info, step)
            && !task.avoid.contains(&self.info.endpoint)
            && is_spread
    }
}

/// Returns whether each task would fit at one of the endpoints if it were empty.
pub(crate) fn can_ever_fit<'a>(
    endpoints: &(impl Iterator<Item = &'a EndpointInfo> + Clone),
    job: &HeldJob,
) -> bool {
    job.job.steps.iter().all(|step| {
        let mut of_service = endpoints
            .clone()
            .filter(|info| info.service == job.route.service);
        of_service.any(|info| info.total.fits(step.need) && has_label(info, step))
    })
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
