//! Entry point of the `observation` command.

use {
    chestnutrun_observe::{EventKind, Metrics, Timeline},
    chestnutrun_types::{EndpointId, JobRef},
    std::{
        io,
        time::{Duration, Instant, SystemTime},
    },
};

/// Number of repetitions of each measured operation.
const ROUNDS: u32 = 1_000_000;

/// Measures and prints the mean time to record an event and to update metrics.
///
/// # Errors
/// Returns an error if the metrics cannot be registered.
pub fn run() -> io::Result<()> {
    let metrics = Metrics::new().map_err(io::Error::other)?;
    let mut timeline = Timeline::new("process");
    let endpoint: EndpointId = "endpoint-0".into();
    let job = JobRef {
        contract: "letters".into(),
        key: "job".into(),
    };
    let task = job.task(0);
    let event = mean_time(|| {
        let at = SystemTime::now();
        timeline.add_task_event(at, EventKind::Started, &task, &endpoint, "");
    });
    let message = mean_time(|| metrics.count_sent("agent", "start"));
    let stopwatch = mean_time(|| metrics.time_run().close("completed"));
    print_cost("an event of a task", event);
    print_cost("a counted message", message);
    print_cost("a timed run", stopwatch);
    Ok(())
}

/// Returns the mean time of one call of `work`.
fn mean_time(mut work: impl FnMut()) -> Duration {
    let started_at = Instant::now();
    for _ in 0..ROUNDS {
        work();
    }
    started_at.elapsed() / ROUNDS
}

fn print_cost(operation: &str, each: Duration) {
    println!("{operation:<20} {} ns", each.as_nanos());
}
