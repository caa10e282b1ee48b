//! Starts and stops a whole site of real processes on loopback.

mod block_on;
mod client;
mod errors;
mod launch;
mod lookup;
mod process;
mod relay;
mod site_plan;

pub(crate) use launch::SITE_TOKEN;
pub use {
    block_on::block_on,
    client::{HttpReply, SiteClient},
    errors::SiteError,
    launch::Site,
    process::{ProcessUsage, SiteProcess},
    relay::Relay,
    site_plan::{SitePlan, SitePlanBuilder},
};
