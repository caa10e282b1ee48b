//! Converts events to the trace event format, which browsers' trace viewers read.

use {
    crate::{
        Event, EventKind, ProcessId,
        merged_timeline::{CausedEvent, EventRef, text::kind_name},
    },
    indexmap::{IndexMap, IndexSet},
    serde::Serialize,
    serde_json::{Value, json},
    std::time::SystemTime,
};

/// A file in the trace event format.
#[derive(Debug, Serialize)]
struct TraceFile {
    #[serde(rename = "traceEvents")]
    events: Vec<TraceEvent>,
    #[serde(rename = "displayTimeUnit")]
    unit: &'static str,
}

/// One event of a [`TraceFile`].
#[derive(Debug, Serialize)]
struct TraceEvent {
    name: String,
    #[serde(rename = "cat")]
    category: &'static str,
    #[serde(rename = "ph")]
    phase: &'static str,
    /// Wall clock, in microseconds since the Unix epoch.
    #[serde(rename = "ts")]
    at: u64,
    #[serde(rename = "pid")]
    process: usize,
    #[serde(rename = "tid")]
    thread: usize,
    #[serde(skip_serializing_if = "Option::is_none")]
    id: Option<String>,
    #[serde(rename = "args")]
    arguments: Value,
}

/// Returns the events as JSON for a browser's trace viewer.
///
/// Each process has its own track. A bar shows a run from its start to its end or
/// a job from its submission to its reply. An arrow leads from a cause to its
/// effect in another process.
#[must_use]
pub fn trace_file(events: &[CausedEvent]) -> Value {
    let processes: IndexSet<&ProcessId> = events.iter().map(|e| &e.event.process).collect();
    let number = |process: &ProcessId| processes.get_index_of(process).unwrap_or(0) + 1;
    let mut trace: Vec<TraceEvent> = processes
        .iter()
        .map(|process| process_name_event(number(process), process))
        .collect();
    let by_ref: IndexMap<(&str, u64), &Event> = events
        .iter()
        .map(|e| ((&*e.event.process, e.event.sequence), &e.event))
        .collect();
    for caused in events {
        let event = &caused.event;
        let process = number(&event.process);
        trace.push(instant_event(event, process));
        trace.extend(bar_end(event, process));
        let cause = caused.cause.as_ref();
        let cause = cause.and_then(|cause| by_ref.get(&(&*cause.process, cause.sequence)));
        if let Some(cause) = cause.filter(|cause| cause.process != event.process) {
            trace.extend(arrow_ends(cause, number(&cause.process), event, process));
        }
    }
    json!(TraceFile {
        events: trace,
        unit: "ms",
    })
}

/// Returns the event that names the track of a process.
fn process_name_event(process: usize, name: &str) -> TraceEvent {
    TraceEvent {
        name: "process_name".to_owned(),
        category: "metadata",
        phase: "M",
        at: 0,
        process,
        thread: 1,
        id: None,
        arguments: json!({ "name": name }),
    }
}

/// Returns the mark of an event on its process's track.
fn instant_event(event: &Event, process: usize) -> TraceEvent {
    TraceEvent {
        name: kind_name(event.kind),
        category: "event",
        phase: "i",
        at: microseconds(event.at),
        process,
        thread: 1,
        id: None,
        arguments: json!(event),
    }
}

/// Returns the begin or end of the bar of a run or a job; none for other events.
fn bar_end(event: &Event, process: usize) -> Option<TraceEvent> {
    let (category, phase) = match event.kind {
        EventKind::Submitted => ("job", "b"),
        EventKind::Answered | EventKind::Declined => ("job", "e"),
        EventKind::Started => ("run", "b"),
        EventKind::Ended => ("run", "e"),
        _ => return None,
    };
    let mut name = format!("{}/{}", event.contract.as_ref()?, event.key.as_ref()?);
    if let Some(task) = event.task {
        name = format!("{name}#{task}");
    }
    Some(TraceEvent {
        id: Some(format!("{process} {name}")),
        name,
        category,
        phase,
        at: microseconds(event.at),
        process,
        thread: 1,
        arguments: json!({ "detail": event.detail }),
    })
}

/// Returns the begin and the end of the arrow from a cause to its effect.
fn arrow_ends(cause: &Event, from: usize, effect: &Event, to: usize) -> [TraceEvent; 2] {
    let id = EventRef {
        process: effect.process.clone(),
        sequence: effect.sequence,
    };
    let end = |phase, at, process| TraceEvent {
        name: "causes".to_owned(),
        category: "cause",
        phase,
        at: microseconds(at),
        process,
        thread: 1,
        id: Some(format!("{} {}", id.process, id.sequence)),
        arguments: json!({}),
    };
    [end("s", cause.at, from), end("f", effect.at, to)]
}

fn microseconds(at: SystemTime) -> u64 {
    let since_epoch = at.duration_since(SystemTime::UNIX_EPOCH);
    u64::try_from(since_epoch.unwrap_or_default().as_micros()).unwrap_or(u64::MAX)
}
