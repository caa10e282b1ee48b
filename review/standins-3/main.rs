//! Runs one case of the review: `standin-3 CASE RECORD`.

#![allow(dead_code)]

mod cases;
mod executor;
mod http;
mod json;
mod link_proxy;
mod proxy;
mod record;
mod site;
mod store;

use std::process::ExitCode;

/// The rule was broken, it held, or the case could not run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standin-3 CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let verdict = match record::Record::create(&path) {
        Ok(record) => {
            record.say(&format!(
                "case {case}, {} the disruption",
                if has_trouble { "with" } else { "without" }
            ));
            let verdict = cases::run(&case, &record, has_trouble).unwrap_or_else(|error| {
                record.say(&format!("the case could not run: {error}"));
                Verdict::CouldNotRun
            });
            record.say(&format!("verdict: {verdict:?}"));
            verdict
        }
        Err(_) => Verdict::CouldNotRun,
    };
    println!("{case}: {verdict:?}");
    ExitCode::from(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::CouldNotRun => 2,
    })
}
