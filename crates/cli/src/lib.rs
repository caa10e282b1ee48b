//! Command line by which callers and operators use a site over HTTP.

pub mod arguments;
mod callers;
mod client;
mod conf;
mod errors;
mod operators;
mod outcome;
mod output;
mod run;
mod site;

pub use {conf::CliConf, errors::CliError, outcome::Outcome, run::run};
