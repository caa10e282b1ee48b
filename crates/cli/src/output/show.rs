//! Prints answers and errors, as text or as JSON.

use {
    crate::{CliError, Outcome, output::show_line},
    console::style,
    serde_json::{Value, json},
};

/// Prints a value as JSON.
pub(crate) fn show_value(value: &Value) {
    show_line(format_args!("{value:#}"));
}

/// Prints a job's page; returns the exit code for the job's state.
pub(crate) fn show_job(page: &Value, as_json: bool) -> Outcome {
    let outcome = outcome_of(page);
    if as_json {
        show_value(page);
        return outcome;
    }
    let name = format!("{}/{}", text(&page["contract"]), text(&page["key"]));
    match outcome {
        Outcome::Done => show_line(format_args!("{name}: {}", style("complete").green())),
        Outcome::JobFailed => show_line(format_args!("{name}: {}", style("failed").red())),
        _ => show_line(format_args!(
            "{name}: {}, not ended yet",
            text(&page["state"])
        )),
    }
    for (index, task) in page["tasks"].as_array().into_iter().flatten().enumerate() {
        show_line(format_args!("  {index}: {}", task_line(task)));
    }
    outcome
}

/// Prints an error: to standard output as JSON, or to standard error as text.
pub(crate) fn show_error(error: &CliError, as_json: bool) {
    match error {
        CliError::Problem(problem) if as_json => show_value(&json!(problem)),
        _ if as_json => show_value(&json!({"error": error.to_string()})),
        _ => eprintln!("{} {error}", style("error:").red().for_stderr()),
    }
}

fn outcome_of(page: &Value) -> Outcome {
    if page["state"] != "ended" {
        Outcome::JobPending
    } else if page["status"] == "complete" {
        Outcome::Done
    } else {
        Outcome::JobFailed
    }
}

fn task_line(task: &Value) -> String {
    let outcome = text(&task["outcome"]);
    let details = ["output", "error", "reason"];
    match details.iter().find_map(|key| task[*key].as_str()) {
        Some(detail) => format!("{outcome}: {detail}"),
        None => outcome,
    }
}

fn text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
