//! Crashes of endpoints: agents report the tasks that were there, and entries count
//! the crashes under each task.

mod crash_counts;
mod crash_reports;

pub(crate) use {
    crash_counts::CrashCounts,
    crash_reports::{CrashNumber, CrashReports},
};

use std::time::Duration;

/// How long a crash is remembered: a job may be submitted again and wait for room
/// several times in between.
const CRASH_KEPT: Duration = Duration::from_secs(30);
