//! A queue that knows each task's work and each endpoint's room and speed.

use {
    crate::overload_site::{Micros, endpoint::EndpointSpec, load::PlayedJob},
    std::{cmp::Reverse, collections::BinaryHeap, ops::Range},
};

struct Job<'a> {
    played: &'a PlayedJob,
    /// Work of the tasks that wait, the longest last.
    waiting: Vec<Micros>,
    ends_at: Micros,
}

/// Returns the processor time of the jobs that arrive within a span of time and that a
/// queue ends in time which knows all: it starts what has the least time left first, each
/// task at the slowest endpoint where it ends in time, and nothing that cannot.
pub fn all_knowing_goodput(
    specs: &[EndpointSpec],
    jobs: &[&PlayedJob],
    within: Range<Micros>,
) -> f64 {
    let mut slowest_first: Vec<usize> = (0..specs.len()).collect();
    slowest_first.sort_by(|a, b| specs[*a].speed.total_cmp(&specs[*b].speed));
    let fastest = specs.iter().map(|spec| spec.speed).fold(0.0, f64::max);
    let mut free: Vec<u32> = specs.iter().map(|spec| spec.cpu).collect();
    let mut ends: BinaryHeap<Reverse<(Micros, usize, u32)>> = BinaryHeap::new();
    let mut arrivals: Vec<&PlayedJob> = jobs.to_vec();
    arrivals.sort_by_key(|job| Reverse(job.arrived_at));
    let mut held: Vec<Job> = Vec::new();
    let mut goodput = 0.0;
    loop {
        let next_arrival = arrivals.last().map(|job| job.arrived_at);
        let next_end = ends.peek().map(|Reverse((at, ..))| *at);
        let Some(now) = next_arrival.into_iter().chain(next_end).min() else {
            return goodput;
        };
        while ends.peek().is_some_and(|Reverse((at, ..))| *at <= now) {
            let Reverse((_, at, cpu)) = ends.pop().unwrap();
            free[at] += cpu;
        }
        while arrivals.last().is_some_and(|job| job.arrived_at <= now) {
            let played = arrivals.pop().unwrap();
            let mut waiting = played.work.clone();
            waiting.sort_unstable();
            held.push(Job {
                played,
                waiting,
                ends_at: 0,
            });
        }
        let time = |work: Micros, speed: f64| scaled(work, speed);
        held.retain(|job| {
            let longest = job.waiting.last().copied().unwrap_or_default();
            now + time(longest, fastest) <= job.played.deadline
        });
        held.sort_by_key(|job| {
            let longest = job.waiting.last().copied().unwrap_or_default();
            job.played.deadline - time(longest, fastest)
        });
        for job in &mut held {
            let cpu = job.played.job.steps[0].need.cpu_millis;
            while let Some(work) = job.waiting.last().copied() {
                let place = slowest_first.iter().copied().find(|at| {
                    let end = now + time(work, specs[*at].speed);
                    free[*at] >= cpu && end <= job.played.deadline
                });
                let Some(at) = place else {
                    break;
                };
                let end = now + time(work, specs[at].speed);
                free[at] -= cpu;
                ends.push(Reverse((end, at, cpu)));
                job.ends_at = job.ends_at.max(end);
                job.waiting.pop();
            }
        }
        held.retain(|job| {
            let is_done = job.waiting.is_empty();
            if is_done && within.contains(&job.played.arrived_at) {
                goodput += job.played.processor_time();
            }
            !is_done
        });
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)] // small and positive
fn scaled(work: Micros, speed: f64) -> Micros {
    (work as f64 / speed) as Micros
}
