//! Runs one case of the review: `standins CASE FOLDER`, from the root of the repository.
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
//! With `TROUBLE=0` in the environment the case runs without its disruption.

mod cases;
mod executor;
mod http;
mod json;
mod record;
mod relay;
mod site;
mod store;

use record::Record;
use site::Outcome;
use std::{env, path::Path, process::ExitCode};

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

/// Runs the case; returns whether the rule was broken.
fn run() -> Outcome<bool> {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        return Err("usage: standins CASE FOLDER".into());
    };
    let folder = Path::new(folder);
    let is_troubled = env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&folder.join("record.txt"))?;
    record.write(&format!("case {case}, disruption: {is_troubled}"));
    let findings = cases::run(case, &record, is_troubled)?;
    for finding in &findings {
        record.write(&format!("BROKEN: {finding}"));
    }
    if findings.is_empty() {
        record.write("the rule held");
    }
    Ok(!findings.is_empty())
}
