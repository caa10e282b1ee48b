//! Measures the cost that events and metrics add to each task.

mod run_observation;

pub use run_observation::run;
