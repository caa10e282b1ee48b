//! Explains from the logs of all processes how jobs ended.

use {
    crate::{CliError, Outcome, arguments::ExplainOptions, output::show_line},
    chestnutrun_observe::{JobHistory, JobSummary, LogLine, summarize_jobs},
    std::{
        fs,
        io::{Read, stdin},
        time::{Duration, SystemTime},
    },
};

/// Outcome of a job whose tasks all completed.
const COMPLETED: &str = "completed";

/// Explains one job, or lists the slow or unsuccessful jobs.
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
    for summary in select_summaries(options, summarize_jobs(&lines)) {
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

fn select_summaries(options: &ExplainOptions, mut summaries: Vec<JobSummary>) -> Vec<JobSummary> {
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
    let history = JobHistory::of(job, lines);
    let history =
        history.ok_or_else(|| CliError::Invalid(format!("no log line is about job {job}")))?;
    let begin = history.lines().first().map_or(0, |line| line.at_us);
    for line in history.lines() {
        let after = line.at_us.saturating_sub(begin) / 1_000;
        show_line(format_args!(
            "{after:>7} ms  {:<20} {}",
            line.process,
            describe(line)
        ));
    }
    if let Some((length, from, to)) = history.longest_gap() {
        show_line(format_args!(
            "Longest time without a log line: {} ms, from {} at {} to {} at {}.",
            length.as_millis(),
            from.event.name(),
            from.process,
            to.event.name(),
            to.process,
        ));
    }
    for agent in history.agents_without_lines() {
        show_line(format_args!(
            "Missing: {agent} got tasks, but there is no log line from it."
        ));
    }
    for (process, count) in history.left_out() {
        show_line(format_args!(
            "Missing: {process} left out {count} log lines."
        ));
    }
    show_line(format_args!("Cause: {}.", history.cause()));
    Ok(Outcome::Done)
}

/// Formats the decision and the fields of a log line. The job is left out because it is
/// the same in all lines.
fn describe(line: &LogLine) -> String {
    let Ok(serde_json::Value::Object(fields)) = serde_json::to_value(&line.event) else {
        return line.event.name().to_owned();
    };
    let details = fields
        .iter()
        .filter(|(name, _)| *name != "event" && *name != "job");
    let details: Vec<String> = details
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    format!("{} {}", line.event.name(), details.join(" "))
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
        read.map_err(|e| CliError::Invalid(format!("cannot read standard input: {e}")))?;
    }
    Ok(parse_lines(&text))
}

/// Parses the log lines in a text. A prefix before the JSON of a line, such as a
/// host name, and lines of other programs are skipped.
fn parse_lines(text: &str) -> Vec<LogLine> {
    let lines = text.lines().filter_map(|line| {
        let begin = line.find("{\"at_us\"")?;
        serde_json::from_str(&line[begin..]).ok()
    });
    lines.collect()
}
