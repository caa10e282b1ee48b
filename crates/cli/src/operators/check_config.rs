//! Checks settings files.

use {
    crate::{CliConf, CliError, Outcome, output::show_line},
    chestnutrun_settings::{AgentConf, ConfError, EntryConf, load},
    std::{
        fs,
        path::{Path, PathBuf},
    },
};

/// Checks settings files; prints the problems of each.
pub(crate) fn check_config(files: &[PathBuf]) -> Result<Outcome, CliError> {
    let mut outcome = Outcome::Done;
    for file in files {
        match check(file)? {
            Ok(program) => show_line(format_args!(
                "{}: valid settings of {program}",
                file.display()
            )),
            Err(error) => {
                eprintln!("{error}");
                outcome = Outcome::WrongUsage;
            }
        }
    }
    Ok(outcome)
}

/// Recognises the program by keys that only its settings have, and checks the
/// file. Returns the program's name, or the problems of the settings.
fn check(path: &Path) -> Result<Result<&'static str, ConfError>, CliError> {
    let text = fs::read_to_string(path).map_err(|source| CliError::File {
        path: path.to_owned(),
        source,
    })?;
    let has = |key: &str| text.lines().any(|line| line.starts_with(key));
    Ok(if has("endpoint:") || has("endpoint_address:") {
        load::<AgentConf>(path).map(|_| "an agent")
    } else if has("inner:") || has("table:") {
        load::<EntryConf>(path).map(|_| "an entry")
    } else {
        load::<CliConf>(path).map(|_| "the command line")
    })
}
