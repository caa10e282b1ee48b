//! Executors carry out half of their orders late, also the stops of an entry's tasks that
//! was killed, while tasks of another entry keep their leases renewed.

use super::{judge_twice, ms};
use crate::{
    Verdict,
    executor::LATE_PERCENT,
    record::Record,
    site::{SIGKILL, Site, job},
};
use std::{
    io::Result,
    sync::atomic::Ordering,
    thread::{self, sleep},
    time::{Duration, Instant},
};

/// Machines with an executor, of 32 cores each.
const MACHINES: [u8; 11] = [11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21];

/// Share of the orders that get no answer and are carried out late, in percent.
const LATE: u64 = 50;

/// Longest time for which rounds begin.
const ROUNDS_BEGIN: Duration = Duration::from_secs(90);

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict> {
    let site = Site::start(record)?;
    site.configure(1);
    let seeds = [1, 2];
    let mut first = site.entry(1, &seeds)?;
    let _second = site.entry(2, &seeds)?;
    let _agents = MACHINES.map(|machine| site.agent(machine, &seeds));
    sleep(ms(300));
    let _executors = MACHINES.map(|machine| site.executor(machine));
    let begun = Instant::now();
    for round in 0.. {
        let all = MACHINES.len() as u64;
        if !site.until_ready(1, all, ms(8_000)) || !site.until_ready(2, all, ms(8_000)) {
            return Ok(Verdict::CouldNotRun);
        }
        thread::scope(|scope| {
            let site = &site;
            // Tasks of the entry that stays, one or two at each executor.
            for number in 0..2 {
                let id = format!("{:016x}", round * 1_000 + 900 + number);
                scope.spawn(move || site.post(2, &id, &job("ms=4500", 12, 620, 4_500), ms(7_000)));
            }
            sleep(ms(200));
            for number in 0..40 {
                let id = format!("{:016x}", round * 1_000 + number);
                scope.spawn(move || hand_in(site, &id));
            }
            sleep(ms(800));
            if has_trouble {
                record.say(&format!(
                    "{LATE} percent of the orders are carried out late"
                ));
                LATE_PERCENT.store(LATE, Ordering::SeqCst);
                record.say("edge-1 is killed");
                first.signal(SIGKILL);
                first.wait();
                sleep(ms(5_500));
                LATE_PERCENT.store(0, Ordering::SeqCst);
                record.say("all orders are answered");
            }
        });
        let verdict = judge_twice(record);
        if verdict == Verdict::Broken || begun.elapsed() > ROUNDS_BEGIN || !has_trouble {
            return Ok(verdict);
        }
        first = site.entry(1, &seeds)?;
        warm_up(&site, round);
    }
    Ok(Verdict::Held)
}

/// Hands in a job, and again after the time that the pages set when the connection breaks.
fn hand_in(site: &Site, id: &str) {
    let body = job("ms=3500", 12, 620, 3_500);
    let answer = site.post(1, id, &body, ms(6_000));
    if matches!(answer, Ok((502 | 504, _)) | Err(_)) {
        sleep(ms(1_300));
        let _ = site.post(2, id, &body, ms(5_000));
    }
}

/// Runs short tasks at all executors, which agents use less after unanswered orders.
fn warm_up(site: &Site, round: u64) {
    sleep(ms(500));
    let until = Instant::now() + ms(3_000);
    thread::scope(|scope| {
        for client in 0..11 {
            scope.spawn(move || {
                for number in 0.. {
                    if Instant::now() > until {
                        return;
                    }
                    let id = format!("{:04x}{client:04x}{number:08x}", 0xa000 + round);
                    let _ = site.post(2, &id, &job("ms=30", 12, 620, 30), ms(1_500));
                }
            });
        }
    });
    sleep(ms(500));
}
