//! Checks contracts before they are sent.

use {
    crate::CliError,
    chestnutrun_types::{ConfigProblem, ConfigReport, Configuration},
    serde_json::Value,
    std::path::Path,
};

/// Checks the contracts of a file, and compares them with those in force.
pub(super) fn check_contracts(
    path: &Path,
    text: &str,
    slots: Option<u32>,
    in_force: Option<&Configuration>,
) -> Result<ConfigReport, CliError> {
    Ok(match read_contracts(path, text) {
        Ok(contracts) => contracts.check(slots, in_force),
        Err(CliError::Invalid(text)) => ConfigReport {
            problems: vec![ConfigProblem::error("contracts", text)],
            changes: Vec::new(),
        },
        Err(error) => return Err(error),
    })
}

/// Reads contracts as the list of contracts shows them, each with its revision.
pub(super) fn read_contracts(path: &Path, text: &str) -> Result<Configuration, CliError> {
    let invalid = |error: serde_json::Error| {
        let path = path.display();
        CliError::Invalid(format!("{path}: contracts cannot be read: {error}"))
    };
    let mut page: Value = serde_json::from_str(text).map_err(invalid)?;
    let contracts = page["contracts"].as_object_mut();
    for contract in contracts.into_iter().flat_map(|all| all.values_mut()) {
        if let Some(fields) = contract.as_object_mut() {
            fields.remove("revision");
        }
    }
    serde_json::from_value(page).map_err(invalid)
}
