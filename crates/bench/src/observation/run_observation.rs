//! Times events and metrics in a loop.

use {
    chestnutrun_observe::{EventKind, Metrics, Timeline},
    chestnutrun_types::{EndpointId, JobRef},
    std::{
        io,
        time::{Duration, Instant, SystemTime},
    },
};

/// How often each thing is done.
const ROUNDS: u32 = 1_000_000;

/// Times events and metrics, and prints what each costs.
///
/// # Errors
/// Returns an error where metrics cannot be kept.
pub fn run() -> io::Result<()> {
    let metrics = Metrics::new().map_err(io::Error::other)?;
    let mut timeline = Timeline::new("process");
    let endpoint: EndpointId = "endpoint-0".into();
    let job = JobRef {
        contract: "letters".into(),
        key: "job".into(),
    };
    let task = job.task(0);
    let event = time(|| {
        let at = SystemTime::now();
        timeline.add_task_event(at, EventKind::Started, &task, &endpoint, "");
    });
    let message = time(|| metrics.count_sent("agent", "start"));
    let stopwatch = time(|| metrics.time_run().close("completed"));
    show("an event of a task", event);
    show("a counted message", message);
    show("a timed run", stopwatch);
    Ok(())
}

fn time(mut work: impl FnMut()) -> Duration {
    let begin = Instant::now();
    for _ in 0..ROUNDS {
        work();
    }
    begin.elapsed() / ROUNDS
}

fn show(what: &str, each: Duration) {
    println!("{what:<20} {} ns", each.as_nanos());
}
