//! Measures how the cost of each process role grows with the site and its load.
//!
//! The capacity page of the documentation is based on these figures.

mod arguments;
mod frame_sizes;
mod idle_cost;
mod load_cost;
mod run_slopes;
mod usage;

pub use {
    arguments::{SlopesArguments, slopes_arguments},
    run_slopes::run,
};
