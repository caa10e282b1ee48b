//! All processes are killed right after a cancel was acknowledged; a copy of the submission
//! arrives seconds later.

use super::ms;
use crate::{
    Verdict,
    record::Record,
    site::{Process, SIGKILL, Site, job},
};
use std::{
    io::Result,
    thread::{self, sleep},
    time::Instant,
};

/// Bound of the rule, in milliseconds.
const CANCEL_MS: u64 = 3_000;

/// Time from the acknowledgement to the copy of the submission, in milliseconds: more than
/// `contact_ms` after the processes are back.
const COPY_AFTER_MS: u64 = 6_500;

const JOB: &str = "5c0e7a21d94b36f8";

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict> {
    let site = Site::start(record)?;
    site.configure(1);
    let seeds = [1, 2];
    let mut entries = vec![site.entry(1, &seeds)?, site.entry(2, &seeds)?];
    let mut agents = vec![site.agent(11, &seeds)?, site.agent(12, &seeds)?];
    sleep(ms(300));
    let _executors = [site.executor(11)?, site.executor(12)?];
    if !site.until_ready(1, 2, ms(8_000)) || !site.until_ready(2, 2, ms(8_000)) {
        return Ok(Verdict::CouldNotRun);
    }
    let body = job("ms=3000", 4, 3_000, 3_000);
    let (handed_in, cancelled) = thread::scope(|scope| {
        let submission = scope.spawn(|| site.post(1, JOB, &body, ms(8_000)));
        sleep(ms(500));
        let cancelled = site.delete(1, JOB);
        (submission.join(), cancelled)
    });
    let (acked_at, acked_ms) = (Instant::now(), record.now_ms());
    let is_acked = matches!(cancelled, Ok((200..=299 | 410, _)));
    if !is_acked || !matches!(handed_in, Ok(Ok((200, _)))) {
        return Ok(Verdict::CouldNotRun);
    }
    if has_trouble {
        record.say("all processes of the system are killed");
        for process in entries.iter_mut().chain(&mut agents) {
            process.signal(SIGKILL);
        }
        entries
            .iter_mut()
            .chain(&mut agents)
            .for_each(Process::wait);
        sleep(ms(1_500));
        entries = vec![site.entry(1, &seeds)?, site.entry(2, &seeds)?];
        agents = vec![site.agent(11, &seeds)?, site.agent(12, &seeds)?];
        if !site.until_ready(2, 2, ms(4_000)) {
            return Ok(Verdict::CouldNotRun);
        }
    }
    sleep(ms(COPY_AFTER_MS).saturating_sub(acked_at.elapsed()));
    record.say("a copy of the submission arrives");
    let _ = site.post(2, JOB, &body, ms(4_000));
    drop((entries, agents));
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
