//! Measures the cost of a task on real processes, by the role of the process.

use {
    crate::{
        site::{Site, SiteError, SitePlan},
        slopes::{
            idle_cost::{samples, used},
            usage::{Usage, as_f64},
        },
    },
    serde_json::json,
    std::{
        cell::Cell,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::sync::mpsc::channel,
};

/// Number of endpoints of the measured site.
const ENDPOINTS: u16 = 20;

/// Number of concurrent callers; each submits its jobs one after another.
const CALLERS: u16 = 24;

/// Time under load before the measurement begins.
const WARM_UP: Duration = Duration::from_secs(2);

/// Cost of tasks on real processes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadCost {
    /// Number of tasks in each job.
    pub(crate) job_tasks: u16,
    /// Tasks that ended per second.
    pub(crate) tasks_per_second: f64,
    /// Jobs that ended during the measurement.
    pub(crate) jobs: f64,
    /// Tasks that ended during the measurement.
    pub(crate) tasks: f64,
    /// Usage of the entry that owns the shard.
    pub(crate) owner: Usage,
    /// Processor time of all other entries, in seconds.
    pub(crate) other_entries_seconds: f64,
    /// Processor time of all agents, in seconds.
    pub(crate) agents_seconds: f64,
    /// Growth of the resident memory of all agents, in kilobytes.
    pub(crate) agents_grown_kilobytes: f64,
}

/// Measures a site for `seconds` seconds while callers submit jobs of `job_tasks`
/// tasks of 5 ms through every entry.
pub(crate) async fn measure(job_tasks: u16, seconds: u64) -> Result<LoadCost, SiteError> {
    let plan = SitePlan::builder()
        .endpoints(ENDPOINTS)
        .log_level("warn")
        .build();
    let site = Rc::new(Site::start(plan).await?);
    let contract = Site::contract("load")
        .in_flight_limit(100_000)
        .queue_limit(100_000)
        .build()
        .map_err(|e| SiteError::NotReady(e.to_string()))?;
    site.create_contract(&contract).await?;
    let jobs = Rc::new(Cell::new(0_u64));
    let end = Instant::now() + WARM_UP + Duration::from_secs(seconds);
    let (done, mut all_done) = channel::<()>(1);
    for caller in 0..CALLERS {
        let (site, jobs, done) = (site.clone(), jobs.clone(), done.clone());
        ntex::rt::spawn(async move {
            submit_until(&site, caller, job_tasks, end, &jobs).await;
            drop(done);
        });
    }
    drop(done);
    tokio::time::sleep(WARM_UP).await;
    let (entries, agents) = (samples(&site.entries), samples(&site.agents));
    let (jobs_before, begin) = (jobs.get(), Instant::now());
    // The channel closes when the last caller has ended.
    let _ = all_done.recv().await;
    let elapsed = begin.elapsed().as_secs_f64();
    let jobs = as_f64(jobs.get() - jobs_before);
    let tasks = jobs * f64::from(job_tasks);
    let entries = used(&entries, &site.entries);
    let agents = used(&agents, &site.agents);
    let owner = find_owner(&site).await;
    let all_entries: f64 = entries.iter().map(|u| u.processor_seconds).sum();
    let cost = LoadCost {
        job_tasks,
        tasks_per_second: tasks / elapsed,
        jobs,
        tasks,
        owner: entries[owner],
        other_entries_seconds: all_entries - entries[owner].processor_seconds,
        agents_seconds: agents.iter().map(|u| u.processor_seconds).sum(),
        agents_grown_kilobytes: agents.iter().map(|u| u.grown_kilobytes).sum(),
    };
    if let Ok(site) = Rc::try_unwrap(site) {
        site.close();
    }
    Ok(cost)
}

/// Submits jobs until `end` and counts those that were answered in `jobs`.
async fn submit_until(site: &Site, caller: u16, job_tasks: u16, end: Instant, jobs: &Cell<u64>) {
    let task = json!({"kind": "short", "declared_run_time": "5ms", "input": "{\"run_ms\":5}"});
    let body = json!({"tasks": vec![task; usize::from(job_tasks)]});
    let callers = site.plan.callers_address(caller % site.plan.entries());
    let mut number = 0_u64;
    while Instant::now() < end {
        number += 1;
        let key = format!("job-{caller}-{number}");
        let ended = site.client.submit(callers, "load", &key, &body).await;
        if ended.is_ok_and(|reply| reply.status == 200) {
            jobs.set(jobs.get() + 1);
        }
    }
}

/// Returns the number of the entry that owns the shard; 0 if no owner is found.
async fn find_owner(site: &Site) -> usize {
    for number in 0..site.plan.entries() {
        let status = site.status(number).await;
        let shards = status["shards"].as_array().map_or(0, Vec::len);
        if shards > 0 {
            return usize::from(number);
        }
    }
    0
}
