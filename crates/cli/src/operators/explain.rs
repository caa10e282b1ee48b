//! Explains jobs from the logs of all processes.

use {
    crate::{CliError, Outcome, arguments::ExplainOptions, output::show_line},
    chestnutrun_observe::{JobSummary, LogLine, Story, summaries},
    std::{
        fs,
        io::{Read, stdin},
        time::{Duration, SystemTime},
    },
};

/// Name of the outcome of a job that went well.
const COMPLETED: &str = "completed";

/// Explains one job, or lists those that are worth a look.
pub(crate) fn explain(options: &ExplainOptions) -> Result<Outcome, CliError> {
    let lines = read_lines(options)?;
    if let Some(job) = &options.job {
        return explain_job(job, &lines);
    }
    if options.slow.is_none() && !options.refused {
        return Err(CliError::Missing(
            "give the ID of a job, --slow or --refused",
        ));
    }
    for summary in chosen(options, summaries(&lines)) {
        let at = SystemTime::UNIX_EPOCH + Duration::from_micros(summary.at_us);
        let at = humantime::format_rfc3339_millis(at);
        let took = summary.took.as_millis();
        show_line(format_args!(
            "{at}  {}  {took:>6} ms  {}",
            summary.job, summary.outcome
        ));
    }
    Ok(Outcome::Done)
}

fn chosen(options: &ExplainOptions, mut summaries: Vec<JobSummary>) -> Vec<JobSummary> {
    if let Some(since) = options.since {
        let since: SystemTime = since.into();
        summaries.retain(|s| SystemTime::UNIX_EPOCH + Duration::from_micros(s.at_us) >= since);
    }
    if options.refused {
        summaries.retain(|summary| summary.outcome != COMPLETED);
    }
    if let Some(count) = options.slow {
        summaries.sort_by_key(|summary| std::cmp::Reverse(summary.took));
        summaries.truncate(count);
    }
    summaries
}

fn explain_job(job: &str, lines: &[LogLine]) -> Result<Outcome, CliError> {
    let story = Story::of(job, lines);
    let story = story.ok_or_else(|| CliError::Invalid(format!("no line is about job {job}")))?;
    let begin = story.lines().first().map_or(0, |line| line.at_us);
    for line in story.lines() {
        let after = line.at_us.saturating_sub(begin) / 1_000;
        show_line(format_args!(
            "{after:>7} ms  {:<20} {}",
            line.process,
            told(line)
        ));
    }
    if let Some((length, from, to)) = story.longest_gap() {
        show_line(format_args!(
            "Most time without a line: {} ms, from {} at {} to {} at {}.",
            length.as_millis(),
            from.note.name(),
            from.process,
            to.note.name(),
            to.process,
        ));
    }
    for agent in story.missing() {
        show_line(format_args!(
            "Missing: {agent} got tasks, and there is no line of it."
        ));
    }
    for (process, count) in story.left_out() {
        show_line(format_args!("Missing: {process} left out {count} lines."));
    }
    show_line(format_args!("Cause: {}.", story.cause()));
    Ok(Outcome::Done)
}

/// Shows a decision with what it was made on, without what the line shows
/// beside it.
fn told(line: &LogLine) -> String {
    let Ok(serde_json::Value::Object(fields)) = serde_json::to_value(&line.note) else {
        return line.note.name().to_owned();
    };
    let shown = fields
        .iter()
        .filter(|(name, _)| *name != "event" && *name != "job");
    let shown: Vec<String> = shown
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    format!("{} {}", line.note.name(), shown.join(" "))
}

fn read_lines(options: &ExplainOptions) -> Result<Vec<LogLine>, CliError> {
    let mut text = String::new();
    for file in &options.log {
        let read = fs::read_to_string(file).map_err(|source| CliError::File {
            path: file.clone(),
            source,
        })?;
        text.push_str(&read);
        text.push('\n');
    }
    if options.log.is_empty() {
        let read = stdin().read_to_string(&mut text);
        read.map_err(|e| CliError::Invalid(format!("standard input cannot be read: {e}")))?;
    }
    Ok(parse(&text))
}

/// Takes the log lines out of a text; whatever stands before a line, such as
/// the name of a machine, and lines of other programs are passed over.
fn parse(text: &str) -> Vec<LogLine> {
    let lines = text.lines().filter_map(|line| {
        let begin = line.find("{\"at_us\"")?;
        serde_json::from_str(&line[begin..]).ok()
    });
    lines.collect()
}
