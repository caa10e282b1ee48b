//! The entry that holds a job is cut off from the other entries; another one acknowledges a
//! request to cancel the job.

use super::ms;
use crate::{Verdict, link_proxy::LinkProxy, record::Record, site::Site};
use std::{
    io::Result,
    thread::{self, sleep},
};

/// Bound of the rule, in milliseconds.
const CANCEL_MS: u64 = 3_000;

/// How long the entry is cut off, in milliseconds.
const CUT_MS: u64 = 5_500;

/// Steps of the job, one after another.
const STEPS: usize = 24;

const JOB: &str = "5c0e7a21d94b36f8";

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict> {
    let site = Site::start(record)?;
    site.configure(1);
    // Machines 41 to 43 stand for the links to the entries of machines 1 to 3.
    let mut links = Vec::new();
    let mut entries = Vec::new();
    for number in [1, 2, 3] {
        links.push(LinkProxy::start(
            site.at(40 + number, 7720),
            site.at(number, 7720),
        )?);
    }
    let seeds = [41, 42, 43];
    for number in [1, 2, 3] {
        entries.push(site.entry_behind(number, &seeds, site.at(40 + number, 7720))?);
    }
    let _agents = [
        site.agent(11, &seeds)?,
        site.agent(12, &seeds)?,
        site.agent(13, &seeds)?,
    ];
    sleep(ms(300));
    let _executors = [site.executor(11)?, site.executor(12)?, site.executor(13)?];
    if ![1, 2, 3]
        .iter()
        .all(|number| site.until_ready(*number, 3, ms(8_000)))
    {
        return Ok(Verdict::CouldNotRun);
    }
    let (acked, acked_ms) = thread::scope(|scope| {
        scope.spawn(|| site.post(1, JOB, &chain(), ms(18_000)));
        sleep(ms(500));
        if has_trouble {
            record.say("edge-1 is cut off from the other entries");
            // Each connection between entries that begins or ends at edge-1.
            links[0].cut_entries(None);
            links[1].cut_entries(Some("edge-1"));
            links[2].cut_entries(Some("edge-1"));
        }
        sleep(ms(500));
        let acked = site.delete(2, JOB);
        let acked_ms = record.now_ms();
        if has_trouble {
            sleep(ms(CUT_MS - 500));
            record.say("the cut is over");
            links.iter().for_each(LinkProxy::heal);
        }
        (acked, acked_ms)
    });
    if !matches!(acked, Ok((200..=299 | 410, _))) {
        return Ok(Verdict::CouldNotRun);
    }
    let runs = record.runs();
    let late: Vec<_> = runs
        .iter()
        .filter(|run| run.from_ms > acked_ms + CANCEL_MS)
        .collect();
    for run in &late {
        record.say(&format!(
            "UNASKED: {} began at {} {} ms after its cancelling was acknowledged",
            run.task,
            run.executor,
            run.from_ms - acked_ms
        ));
    }
    Ok(if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}

/// Returns a best-effort job whose steps run one after another, 400 ms each.
fn chain() -> String {
    let step = "\"count\":1,\"cpu\":500,\"mem_mb\":64,\"estimate_ms\":400";
    let steps: Vec<String> = (0..STEPS)
        .map(|number| match number.checked_sub(1) {
            Some(before) => format!("{{{step},\"after\":[{before}]}}"),
            None => format!("{{{step}}}"),
        })
        .collect();
    format!(
        "{{\"spec\":\"ms=400\",\"best_effort\":true,\"steps\":[{}]}}",
        steps.join(",")
    )
}
