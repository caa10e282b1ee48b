//! Shows recent events of all processes.

use {
    crate::{
        CliError, Outcome,
        arguments::{CommonOptions, OperatorOptions, TimelineFormat, TimelineOptions},
        operators::gather::{ProcessReply, gather},
        output::show_line,
        site::OperatorSite,
    },
    chestnutrun_observe::{
        Event,
        merged_timeline::{CausedEvent, EventFilter, event_line, order, trace_file},
    },
    humantime::format_rfc3339_micros,
    serde_json::json,
    std::{fs, path::Path, time::SystemTime},
};

/// Shows recent events of all processes, ordered by cause and time.
pub(crate) async fn timeline(
    operator: OperatorOptions,
    common: &CommonOptions,
    options: TimelineOptions,
) -> Result<Outcome, CliError> {
    let site = OperatorSite::new(operator, common)?;
    let replies = gather(&site, "/v1/timeline", "/timeline").await?;
    let is_complete = replies.iter().all(|process| process.page.is_ok());
    let mut events = Vec::new();
    for process in replies {
        events.extend(events_of(process)?);
    }
    let filter = event_filter(&options);
    let mut events = order(events);
    events.retain(|caused| filter.matches(&caused.event));
    let format = options.format.unwrap_or(if common.json {
        TimelineFormat::Json
    } else {
        TimelineFormat::Text
    });
    write_output(options.out.as_deref(), &format_events(&events, format))?;
    Ok(if is_complete {
        Outcome::Done
    } else {
        Outcome::Unknown
    })
}

/// Returns the events of a process. If the process did not answer, returns no events
/// and reports this on standard error.
fn events_of(process: ProcessReply) -> Result<Vec<Event>, CliError> {
    match process.page {
        Ok(page) => serde_json::from_value(page).map_err(|error| {
            CliError::Invalid(format!(
                "cannot parse the events of {}: {error}",
                process.address
            ))
        }),
        Err(error) => {
            eprintln!("events of a process are missing: {error}");
            Ok(Vec::new())
        }
    }
}

fn event_filter(options: &TimelineOptions) -> EventFilter {
    let last = options.last.map(|last| SystemTime::now() - *last);
    let since = options.since.map(SystemTime::from);
    EventFilter::builder()
        .contract(options.contract.clone())
        .key(options.job.clone())
        .endpoint(options.endpoint.clone())
        .since(last.max(since))
        .until(options.until.map(SystemTime::from))
        .build()
}

fn format_events(events: &[CausedEvent], format: TimelineFormat) -> String {
    match format {
        TimelineFormat::Text => events
            .iter()
            .map(|event| event_line(event, format_rfc3339_micros(event.event.at)) + "\n")
            .collect(),
        TimelineFormat::Json => format!("{:#}\n", json!(events)),
        TimelineFormat::Trace => format!("{}\n", trace_file(events)),
    }
}

fn write_output(out: Option<&Path>, text: &str) -> Result<(), CliError> {
    match out {
        None => {
            show_line(text.trim_end());
            Ok(())
        }
        Some(path) => fs::write(path, text).map_err(|source| CliError::File {
            path: path.to_owned(),
            source,
        }),
    }
}
