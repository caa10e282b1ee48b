//! Checks settings files, and contracts before they are sent.

use {
    crate::{
        CliConf, CliError, Outcome,
        arguments::CheckOptions,
        operators::check_contracts::{check_contracts, read_contracts},
        output::{show_line, show_value},
    },
    chestnutrun_settings::{AgentConf, ConfError, EntryConf, load},
    chestnutrun_types::{ConfigProblem, ConfigReport, Configuration},
    serde_json::json,
    std::{fs, path::Path},
};

/// Checks files; prints the problems of each, and what contracts change.
pub(crate) fn check_config(options: &CheckOptions) -> Result<Outcome, CliError> {
    let in_force = match &options.in_force {
        Some(path) => Some(read_contracts(path, &read(path)?)?),
        None => None,
    };
    let mut outcome = Outcome::Done;
    let mut pages = Vec::new();
    for path in &options.files {
        let (what, report) = check(path, options, in_force.as_ref())?;
        if report.has_errors() {
            outcome = Outcome::WrongUsage;
        }
        if options.json {
            pages.push(json!({"file": path, "what": what, "report": report}));
        } else {
            show(path, what, &report);
        }
    }
    if options.json {
        show_value(&json!(pages));
    }
    Ok(outcome)
}

/// Prints the report of one file.
fn show(path: &Path, what: &str, report: &ConfigReport) {
    let path = path.display();
    for problem in &report.problems {
        eprintln!("{path}: {problem}");
    }
    for change in &report.changes {
        show_line(format_args!("{path}: {change}"));
    }
    if !report.has_errors() {
        show_line(format_args!("{path}: valid {what}"));
    }
}

/// Recognises what a file contains by keys that only this kind of file has, and checks
/// it. Returns what it contains and what was found.
fn check(
    path: &Path,
    options: &CheckOptions,
    in_force: Option<&Configuration>,
) -> Result<(&'static str, ConfigReport), CliError> {
    let text = read(path)?;
    let has = |key: &str| text.lines().any(|line| line.starts_with(key));
    Ok(if text.trim_start().starts_with('{') {
        let report = check_contracts(path, &text, options.slots, in_force)?;
        ("contracts", report)
    } else if has("endpoint:") || has("endpoint_address:") {
        let result = load::<AgentConf>(path).map(drop);
        ("settings of an agent", settings_report(result))
    } else if has("inner:") || has("table:") {
        let result = load::<EntryConf>(path).map(drop);
        ("settings of an entry", settings_report(result))
    } else {
        let result = load::<CliConf>(path).map(drop);
        ("settings of the command line", settings_report(result))
    })
}

/// Returns the problems for which a process would refuse its settings.
fn settings_report(result: Result<(), ConfError>) -> ConfigReport {
    let error = |text: String| ConfigProblem::error("settings", text);
    let problems = match result {
        Ok(()) => Vec::new(),
        Err(ConfError::Check { problems, .. }) => problems.into_iter().map(error).collect(),
        Err(other) => vec![error(other.to_string())],
    };
    ConfigReport {
        problems,
        changes: Vec::new(),
    }
}

fn read(path: &Path) -> Result<String, CliError> {
    fs::read_to_string(path).map_err(|source| CliError::File {
        path: path.to_owned(),
        source,
    })
}
