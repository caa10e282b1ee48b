//! Checks a configuration before it is in force: what is wrong with it, and what it changes.

mod config_change;
mod config_problem;
mod config_report;
mod contract_check;
mod routing_check;

pub use {
    config_change::ConfigChange,
    config_problem::{ConfigProblem, Severity},
    config_report::ConfigReport,
};
