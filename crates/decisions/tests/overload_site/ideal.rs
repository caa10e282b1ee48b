//! An all-knowing queue: one for the whole site, which knows how long each task runs, and
//! whose room is not divided among endpoints.

use {
    super::{Micros, load::PlayedJob},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap},
    },
};

/// Returns which of the jobs an all-knowing queue serves before their deadlines with so
/// much processor, in thousandths of a core. Jobs start by priority, then by the least time
/// left; a job whose tasks cannot all start in time is given up before any of them starts.
pub fn serve<'a>(jobs: impl Iterator<Item = &'a PlayedJob>, cpu_millis: u64) -> Vec<u64> {
    let mut arrivals: Vec<&PlayedJob> = jobs.collect();
    arrivals.sort_by_key(|job| job.arrived_at);
    let mut waiting: BTreeMap<(u32, Micros, u64), &PlayedJob> = BTreeMap::new();
    let mut ends: BinaryHeap<Reverse<(Micros, u64)>> = BinaryHeap::new();
    let (mut free, mut served) = (cpu_millis, Vec::new());
    let mut arrivals = arrivals.into_iter().peekable();
    loop {
        let next_end = ends.peek().map(|Reverse((at, _))| *at);
        let next_arrival = arrivals.peek().map(|job| job.arrived_at);
        let Some(now) = next_end.into_iter().chain(next_arrival).min() else {
            return served;
        };
        while let Some(Reverse((at, cpu))) = ends.peek().copied()
            && at <= now
        {
            ends.pop();
            free += cpu;
        }
        while let Some(job) = arrivals.next_if(|job| job.arrived_at <= now) {
            waiting.insert(
                (job.spec.priority, job.last_possible_start(), job.number),
                job,
            );
        }
        while let Some(first) = waiting.first_entry() {
            let ((_, last_start, number), job) = (*first.key(), *first.get());
            let need = u64::from(job.job.steps[0].need.cpu_millis);
            if last_start < now {
                first.remove();
            } else if need * job.work.len() as u64 <= free {
                first.remove();
                free -= need * job.work.len() as u64;
                ends.extend(job.work.iter().map(|work| Reverse((now + work, need))));
                served.push(number);
            } else {
                break;
            }
        }
    }
}
