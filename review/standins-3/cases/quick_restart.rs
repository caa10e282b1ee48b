//! An executor crashes and starts again at once under its id; its next heartbeat comes when
//! it is due.

use super::{judge_twice, ms};
use crate::{
    Verdict,
    executor::Executor,
    record::Record,
    site::{Site, job},
};
use std::{
    io::Result,
    thread::{self, sleep},
};

/// Machines with an executor beside the one that crashes.
const OTHERS: [u8; 10] = [12, 13, 14, 15, 16, 17, 18, 19, 20, 21];

/// Time without the executor's process, in milliseconds. The supervisor keeps its listening
/// socket open.
const GAP_MS: u64 = 50;

/// Time from the start of the process to its first heartbeat: `heartbeat_ms`.
const FIRST_HEARTBEAT_MS: u64 = 1_500;

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict> {
    let site = Site::start(record)?;
    site.configure(1);
    let _entry = site.entry(1, &[1])?;
    let mut agents = vec![site.agent(11, &[1])?];
    for machine in OTHERS {
        agents.push(site.agent(machine, &[1])?);
    }
    sleep(ms(300));
    let first = site.executor(11)?;
    let mut others = Vec::new();
    for machine in OTHERS {
        others.push(site.executor(machine)?);
    }
    if !site.until_ready(1, 1 + OTHERS.len() as u64, ms(8_000)) {
        return Ok(Verdict::CouldNotRun);
    }
    let mut second = None;
    thread::scope(|scope| -> Result<()> {
        // A job every 5 ms, around the crash.
        for number in 0..14u64 {
            let site = &site;
            scope.spawn(move || {
                sleep(ms(535 + number * 5));
                let id = format!("{:016x}", number + 1);
                let _ = site.post(1, &id, &job_near_machine_11(), ms(8_000));
            });
        }
        sleep(ms(560));
        if has_trouble {
            let listener = first.end_keeping_listener("crashed");
            sleep(ms(GAP_MS));
            let conf = site.executor_conf(11);
            let heartbeat = ms(FIRST_HEARTBEAT_MS);
            second = Some(Executor::start_as(conf, record, listener, heartbeat)?);
        }
        Ok(())
    })?;
    drop((second, others));
    Ok(judge_twice(record))
}

/// Returns a job of one task, whose data are on the rack of machine 11.
fn job_near_machine_11() -> String {
    let near = "\"mem_mb\":64,\"affinity\":\"r1-11\"";
    job("ms=2500", 1, 1_500, 2_500).replace("\"mem_mb\":64", near)
}
