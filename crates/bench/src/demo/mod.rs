//! The demo: starts a whole site and sends it the load of a market's opening.

mod arguments;
mod cli_settings;
mod endpoint_alone;
mod job_result;
mod judge;
mod messages;
mod opening;
mod progress;
mod report;
mod run_demo;
mod send_opening;
mod site_profile;
mod usage;

pub use {
    arguments::{DemoArguments, SiteName, demo_arguments},
    job_result::{JobResult, Verdict},
    judge::{Judgement, judge},
    opening::{Opening, PlannedJob, Resubmission},
    run_demo::run,
    site_profile::{KindProfile, SiteProfile},
};
