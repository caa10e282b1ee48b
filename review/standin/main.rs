//! Stand-ins and drivers of the review's scripts.

mod cases;
mod executor;
mod http;
mod json;
mod record;
mod site;
mod store;

use std::{env, io, panic, path::Path, process::ExitCode};

/// Exit code of a case that could not run.
const NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [case, folder] = &arguments[..] else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(NOT_RUN);
    };
    let is_troubled = env::var("TROUBLE").map_or(true, |value| value != "0");
    let played = panic::catch_unwind(|| cases::run(case, Path::new(folder), is_troubled));
    let played = played.unwrap_or_else(|_| Err(io::Error::other("the driver panicked")));
    match played {
        Ok(broken) if broken.is_empty() => {
            println!("{case}: the rule held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            for line in broken {
                println!("{case}: {line}");
            }
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("{case}: the case could not run: {error}");
            ExitCode::from(NOT_RUN)
        }
    }
}
