//! The cases. Each returns what broke the rule.

use crate::{
    record::Record,
    site::{CANCEL, CONFIG_APPLY, DRAIN, Outcome, Output, Plan, STOP, Site, chain_job, config},
};
use std::{
    thread,
    time::{Duration, Instant},
};

/// The queue of most cases.
const QUEUE: &str = "/desk/";

/// How long the callers of the users' sites wait, which is their routes' timeout too.
const WAIT: Duration = Duration::from_millis(1_500);

/// How long the callers of long jobs wait.
const LONG_WAIT: Duration = Duration::from_secs(18);

/// How long a caller waits for the answer to a request to cancel.
const CANCEL_WAIT: Duration = Duration::from_secs(2);

pub fn run(case: &str, record: &Record, is_troubled: bool) -> Outcome<Vec<String>> {
    match case {
        "cancel-at-cut-entry" => cancel_at_cut_entry(record, is_troubled),
        "cancel-forgotten" => cancel_forgotten(record, is_troubled),
        "cancel-in-removed-queue" => cancel_in_removed_queue(record, is_troubled),
        "drain-after-odd-heartbeat" => drain_after_odd_heartbeat(record, is_troubled),
        "unread-log" => unread_log(record, is_troubled),
        _ => Err(format!("there is no case {case}").into()),
    }
}

/// An entry is cut off from all other machines and the store for 5.5 s, and a caller
/// cancels there a job that another entry holds.
fn cancel_at_cut_entry(record: &Record, is_troubled: bool) -> Outcome<Vec<String>> {
    const CUT: Duration = Duration::from_millis(5_500);
    const CUT_ENTRY: u8 = 3;
    let job = "00000000000000a1";
    let path = format!("{QUEUE}{job}");
    let mut plan = Plan::new(4, 3, config(1, &[("r-desk", QUEUE)], LONG_WAIT));
    plan.cut_entry = Some(CUT_ENTRY);
    let site = Site::start(record, &plan)?;
    thread::sleep(Duration::from_secs(2));
    let caller = site.caller();
    let submission = path.clone();
    let submitted = thread::spawn(move || {
        caller.request(0, "POST", &submission, &chain_job(24, 400), LONG_WAIT)
    });
    thread::sleep(Duration::from_secs(1));
    let cut_at = Instant::now();
    if is_troubled {
        record.write("edge-3 is cut off from the store and from all other machines");
        site.cut.set_on(true);
    }
    thread::sleep(Duration::from_millis(500));
    let status = site.request(CUT_ENTRY, "DELETE", &path, "", CANCEL_WAIT);
    let acknowledged_at = record.now();
    thread::sleep(CUT.saturating_sub(cut_at.elapsed()));
    site.cut.set_on(false);
    if is_troubled {
        record.write("the cut of edge-3 has ended");
    }
    // Joining fails only if the caller's thread panicked.
    submitted.join().map_err(|_| "the caller's thread failed")?;
    Ok(if is_acknowledged(status) {
        late_starts(record, job, acknowledged_at)
    } else {
        Vec::new()
    })
}

/// A job is cancelled, and its caller has both answers; then all entries are killed and
/// started again, and the submission arrives once more, seconds after its answer.
fn cancel_forgotten(record: &Record, is_troubled: bool) -> Outcome<Vec<String>> {
    const DOWN: Duration = Duration::from_secs(1);
    const REPEATED_AFTER: Duration = Duration::from_secs(6);
    let job = "00000000000000a2";
    let path = format!("{QUEUE}{job}");
    let body = chain_job(1, 1_000);
    let plan = Plan::new(2, 3, config(1, &[("r-desk", QUEUE)], WAIT));
    let mut site = Site::start(record, &plan)?;
    thread::sleep(Duration::from_secs(4));
    let caller = site.caller();
    let (submission, first) = (path.clone(), body.clone());
    let submitted = thread::spawn(move || caller.request(0, "POST", &submission, &first, WAIT));
    thread::sleep(Duration::from_millis(500));
    let status = site.request(0, "DELETE", &path, "", CANCEL_WAIT);
    let acknowledged_at = record.now();
    submitted.join().map_err(|_| "the caller's thread failed")?;
    thread::sleep(Duration::from_millis(500));
    if is_troubled {
        site.kill_entries_from(0);
        thread::sleep(DOWN);
        site.start_entries_from(0)?;
        site.until_ready(0)?;
        site.until_ready(1)?;
        record.write("all entries are ready");
    }
    thread::sleep((acknowledged_at + REPEATED_AFTER).saturating_sub(record.now()));
    site.request(1, "POST", &path, &body, WAIT);
    Ok(if is_acknowledged(status) {
        late_starts(record, job, acknowledged_at)
    } else {
        Vec::new()
    })
}

/// The operator removes a queue whose prefix begins with that of another one, and a
/// caller cancels its job of the removed queue.
fn cancel_in_removed_queue(record: &Record, is_troubled: bool) -> Outcome<Vec<String>> {
    let queues = [("r-desk", QUEUE), ("r-urgent", "/desk/urgent/")];
    let job = "00000000000000a3";
    let path = format!("/desk/urgent/{job}");
    let plan = Plan::new(2, 3, config(1, &queues, LONG_WAIT));
    let site = Site::start(record, &plan)?;
    thread::sleep(Duration::from_secs(4));
    let caller = site.caller();
    let submission = path.clone();
    let submitted = thread::spawn(move || {
        caller.request(0, "POST", &submission, &chain_job(24, 400), LONG_WAIT)
    });
    thread::sleep(Duration::from_millis(500));
    let kept = if is_troubled {
        &queues[..1]
    } else {
        &queues[..]
    };
    site.store.write_config(&config(2, kept, LONG_WAIT));
    let names: Vec<&str> = kept.iter().map(|(_, prefix)| *prefix).collect();
    record.write(&format!(
        "version 2 of the configuration has the queues {}",
        names.join(" ")
    ));
    thread::sleep(CONFIG_APPLY + Duration::from_millis(200));
    let status = site.request(0, "DELETE", &path, "", CANCEL_WAIT);
    let acknowledged_at = record.now();
    submitted.join().map_err(|_| "the caller's thread failed")?;
    // Everything that the rule forbids is seen by then.
    let seen_at = acknowledged_at + CANCEL + STOP + Duration::from_millis(500);
    thread::sleep(seen_at.saturating_sub(record.now()));
    let mut findings = Vec::new();
    if is_acknowledged(status) {
        findings = late_starts(record, job, acknowledged_at);
        findings.extend(late_runs(record, job, acknowledged_at));
    }
    Ok(findings)
}

/// Nobody reads the logs of the processes while all entries are killed a few times.
fn unread_log(record: &Record, is_troubled: bool) -> Outcome<Vec<String>> {
    const KILLS: usize = 4;
    const DOWN: Duration = Duration::from_millis(9_500);
    const UP: Duration = Duration::from_secs(2);
    const RECOVERY: Duration = Duration::from_secs(12);
    const REQUESTS: usize = 40;
    let mut plan = Plan::new(4, 3, config(1, &[("r-desk", QUEUE)], WAIT));
    if is_troubled {
        plan.output = Output::Unread;
        record.write("nobody reads the logs");
    }
    let mut site = Site::start(record, &plan)?;
    let serve = |site: &Site, first: usize| {
        let entry = |n: usize| u8::try_from(n % 4).unwrap_or_default();
        let served = (0..REQUESTS).filter(|n| {
            thread::sleep(Duration::from_millis(100));
            let path = format!("{QUEUE}{:016x}", first + n);
            site.request(entry(*n), "POST", &path, &chain_job(1, 50), WAIT) == Some(200)
        });
        served.count()
    };
    let before = serve(&site, 0xb000);
    record.write(&format!(
        "before: {before} of {REQUESTS} requests are served"
    ));
    for _ in 0..KILLS {
        site.kill_entries_from(0);
        thread::sleep(DOWN);
        site.start_entries_from(0)?;
        thread::sleep(UP);
    }
    thread::sleep(RECOVERY);
    let after = serve(&site, 0xc000);
    record.write(&format!("after: {after} of {REQUESTS} requests are served"));
    let is_broken = before * 4 >= REQUESTS && after * 4 < REQUESTS;
    let finding = format!("RECOVER: {after} of {REQUESTS} requests are served, {before} before");
    Ok(is_broken.then_some(finding).into_iter().collect())
}

/// Another writer announces an executor with a number that is too large; later the
/// executor drains.
fn drain_after_odd_heartbeat(record: &Record, is_troubled: bool) -> Outcome<Vec<String>> {
    /// The largest whole number that every JSON decoder keeps exact.
    const TOO_LARGE: u64 = (1 << 53) - 1;
    const SERVED_LONGER: Duration = Duration::from_secs(4);
    let plan = Plan::new(2, 2, config(1, &[("r-desk", QUEUE)], WAIT));
    let site = Site::start(record, &plan)?;
    thread::sleep(Duration::from_secs(4));
    let executor = &site.executors[0];
    if is_troubled {
        executor.announce_odd_sequence(TOO_LARGE);
    }
    thread::sleep(Duration::from_secs(2));
    let status = executor.drain();
    let acknowledged_at = record.now();
    let mut number = 0xd000;
    while record.now() < acknowledged_at + DRAIN + SERVED_LONGER {
        number += 1;
        let path = format!("{QUEUE}{number:016x}");
        let entry = u8::from(number % 2 == 1);
        site.request(entry, "POST", &path, &chain_job(1, 50), WAIT);
    }
    let late = record.run_events().into_iter().filter(|event| {
        event.end.is_none() && event.executor == "i-0" && event.at > acknowledged_at + DRAIN
    });
    let findings = late.map(|event| {
        let after = (event.at - acknowledged_at).as_millis();
        format!(
            "DRAIN: task {} starts at executor i-0 {after} ms after `draining` was acknowledged",
            event.task
        )
    });
    Ok(if status == Some(200) {
        findings.collect()
    } else {
        Vec::new()
    })
}

/// Returns whether a request to cancel was answered 2xx or 410.
fn is_acknowledged(status: Option<u16>) -> bool {
    status.is_some_and(|status| (200..300).contains(&status) || status == 410)
}

/// Returns the starts of a job later than `cancel_ms` after its cancelling was
/// acknowledged. All agents and the store run undisturbed in every case.
fn late_starts(record: &Record, job: &str, acknowledged_at: Duration) -> Vec<String> {
    let events = record.run_events().into_iter();
    let late = events.filter(|event| {
        event.end.is_none() && is_of(&event.task, job) && event.at > acknowledged_at + CANCEL
    });
    late.map(|event| {
        let after = (event.at - acknowledged_at).as_millis();
        format!(
            "UNASKED: task {} starts at executor {} {after} ms after the cancelling of its job was acknowledged",
            event.task, event.executor
        )
    })
    .collect()
}

/// Returns the runs of a job that were not over `cancel_ms` and `stop_ms` after its
/// cancelling was acknowledged, and began before that.
fn late_runs(record: &Record, job: &str, acknowledged_at: Duration) -> Vec<String> {
    let until = acknowledged_at + CANCEL + STOP;
    let events = record.run_events();
    let starts = events
        .iter()
        .filter(|event| event.end.is_none() && is_of(&event.task, job));
    let late = starts.filter(|start| {
        let end = events.iter().find(|event| {
            event.end.is_some() && event.run == start.run && event.executor == start.executor
        });
        start.at < until && end.is_none_or(|end| end.at > until)
    });
    late.map(|start| {
        format!(
            "UNASKED: task {} runs on {} ms after the acknowledgement",
            start.task,
            (CANCEL + STOP).as_millis()
        )
    })
    .collect()
}

fn is_of(task: &str, job: &str) -> bool {
    task.split('.').next() == Some(job)
}
