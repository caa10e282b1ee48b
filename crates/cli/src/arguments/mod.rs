//! Commands and options of the command line.

mod caller_options;
mod check_options;
mod command;
mod contract_terms;
mod explain_options;
mod job_source;
mod operator_options;
mod timeline_options;

pub use {
    caller_options::{CallerOptions, CommonOptions},
    check_options::CheckOptions,
    command::{Command, ContractCommand, command},
    contract_terms::ContractTerms,
    explain_options::ExplainOptions,
    job_source::JobSource,
    operator_options::OperatorOptions,
    timeline_options::{TimelineFormat, TimelineOptions},
};
