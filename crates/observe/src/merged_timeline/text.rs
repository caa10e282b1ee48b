//! Formats events as lines of text.

use {
    crate::{EventKind, merged_timeline::CausedEvent},
    serde_json::Value,
    std::fmt::Write,
};

/// Formats an event as one line of text; `at` is the time to print.
#[must_use]
pub fn event_line(caused: &CausedEvent, at: impl std::fmt::Display) -> String {
    let event = &caused.event;
    let kind = kind_name(event.kind);
    let mut line = format!(
        "{at} {:<18} {:<6} {kind:<13}",
        event.process, event.sequence
    );
    // Writing to a string cannot fail.
    if let (Some(contract), Some(key)) = (&event.contract, &event.key) {
        let _ = write!(line, " {contract}/{key}");
    }
    if let Some(task) = event.task {
        let _ = write!(line, "#{task}");
    }
    if let Some(endpoint) = &event.endpoint {
        let _ = write!(line, " at {endpoint}");
    }
    if !event.detail.is_empty() {
        let _ = write!(line, " ({})", event.detail);
    }
    if let Some(cause) = &caused.cause {
        let _ = write!(line, " <- {} {}", cause.process, cause.sequence);
    }
    line
}

/// Returns the name of an event kind in JSON.
pub(super) fn kind_name(kind: EventKind) -> String {
    match serde_json::to_value(kind) {
        Ok(Value::String(name)) => name,
        _ => format!("{kind:?}"),
    }
}
