//! Commands of the command line.

use {
    crate::arguments::{
        CallerOptions, CheckOptions, CommonOptions, ContractTerms, ExplainOptions, JobSource,
        OperatorOptions, TimelineOptions,
        caller_options::{caller_options, common},
        check_options::check_options,
        contract_terms::contract_terms,
        explain_options::explain_options,
        job_source::job_source,
        operator_options::operator_options,
        timeline_options::timeline_options,
    },
    bpaf::Bpaf,
    humantime::Duration,
};

/// Default of `submit --wait`.
const DEFAULT_WAIT: std::time::Duration = std::time::Duration::from_mins(1);

/// Meaning of the exit codes, at the end of the help text.
const EXIT_CODES: &str = "Exit codes: 0 done; 1 the job ended, but not every task completed; 2 wrong \
    arguments, settings or file; 3 refused; 4 another change was made \
    first; 5 no answer, or one that leaves open what happened: ask again; 6 the job has not ended.";

/// Submits jobs to chestnutrun and operates its sites.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version, generate(command), footer(EXIT_CODES))]
pub enum Command {
    /// Submit a job and wait for its answer.
    #[bpaf(command)]
    Submit {
        /// Contract, address of an entry, and the contract's token
        #[bpaf(external(caller_options))]
        caller: CallerOptions,
        /// Settings file and output format
        #[bpaf(external)]
        common: CommonOptions,
        /// Key of the job; a job with the same key never runs twice. Generated if not given.
        #[bpaf(long, argument("KEY"), optional)]
        key: Option<String>,
        /// Longest wait for the answer; 0s waits only until the job is accepted.
        #[bpaf(long, argument("TIME"), fallback(DEFAULT_WAIT.into()), display_fallback)]
        wait: Duration,
        /// Body of the job
        #[bpaf(external(job_source))]
        source: JobSource,
    },
    /// Show a job's answer, or its state if it has not ended.
    #[bpaf(command)]
    Result {
        /// Contract, address of an entry, and the contract's token
        #[bpaf(external(caller_options))]
        caller: CallerOptions,
        /// Settings file and output format
        #[bpaf(external)]
        common: CommonOptions,
        /// Longest wait for the answer.
        #[bpaf(long, argument("TIME"), fallback(std::time::Duration::ZERO.into()), display_fallback)]
        wait: Duration,
        /// Key of the job.
        #[bpaf(positional("KEY"))]
        key: String,
    },
    /// Cancel the tasks of a job that have not started.
    #[bpaf(command)]
    Cancel {
        /// Contract, address of an entry, and the contract's token
        #[bpaf(external(caller_options))]
        caller: CallerOptions,
        /// Settings file and output format
        #[bpaf(external)]
        common: CommonOptions,
        /// Key of the job.
        #[bpaf(positional("KEY"))]
        key: String,
    },
    /// List, show, create or change contracts.
    #[bpaf(command)]
    Contract(#[bpaf(external(contract_command))] ContractCommand),
    /// Drain an endpoint: it gets no new tasks, and running ones end.
    #[bpaf(command)]
    Drain {
        /// Addresses of the site's processes, and the operators' token
        #[bpaf(external(operator_options))]
        operator: OperatorOptions,
        /// Settings file and output format
        #[bpaf(external)]
        common: CommonOptions,
        /// Name of the endpoint.
        #[bpaf(positional("ENDPOINT"))]
        endpoint: String,
    },
    /// Return a drained endpoint to service.
    #[bpaf(command, long("return"))]
    Undrain {
        /// Addresses of the site's processes, and the operators' token
        #[bpaf(external(operator_options))]
        operator: OperatorOptions,
        /// Settings file and output format
        #[bpaf(external)]
        common: CommonOptions,
        /// Name of the endpoint.
        #[bpaf(positional("ENDPOINT"))]
        endpoint: String,
    },
    /// Show the state of every entry and agent.
    #[bpaf(command)]
    Status {
        /// Addresses of the site's processes, and the operators' token
        #[bpaf(external(operator_options))]
        operator: OperatorOptions,
        /// Settings file and output format
        #[bpaf(external)]
        common: CommonOptions,
    },
    /// Show recent events of all processes, ordered by cause and time.
    #[bpaf(command)]
    Timeline {
        /// Addresses of the site's processes, and the operators' token
        #[bpaf(external(operator_options))]
        operator: OperatorOptions,
        /// Settings file and output format
        #[bpaf(external)]
        common: CommonOptions,
        /// Events to show and their format
        #[bpaf(external(timeline_options))]
        options: TimelineOptions,
    },
    /// Explain from logs why a best-effort job ended as it did, or list jobs.
    #[bpaf(command)]
    Explain(#[bpaf(external(explain_options))] ExplainOptions),
    /// Check settings files of entries, agents and this command, and contracts before they
    /// are sent.
    #[bpaf(command("check-config"))]
    CheckConfig(#[bpaf(external(check_options))] CheckOptions),
}

/// Commands for contracts.
#[derive(Bpaf, Clone, Debug)]
pub enum ContractCommand {
    /// List every contract.
    #[bpaf(command)]
    List {
        /// Addresses of the site's processes, and the operators' token
        #[bpaf(external(operator_options))]
        operator: OperatorOptions,
        /// Settings file and output format
        #[bpaf(external)]
        common: CommonOptions,
    },
    /// Show one contract.
    #[bpaf(command)]
    Show {
        /// Addresses of the site's processes, and the operators' token
        #[bpaf(external(operator_options))]
        operator: OperatorOptions,
        /// Settings file and output format
        #[bpaf(external)]
        common: CommonOptions,
        /// Id of the contract.
        #[bpaf(positional("CONTRACT"))]
        contract: String,
    },
    /// Show the latest changes of a contract.
    #[bpaf(command)]
    History {
        /// Addresses of the site's processes, and the operators' token
        #[bpaf(external(operator_options))]
        operator: OperatorOptions,
        /// Settings file and output format
        #[bpaf(external)]
        common: CommonOptions,
        /// Id of the contract.
        #[bpaf(positional("CONTRACT"))]
        contract: String,
    },
    /// Create a contract.
    #[bpaf(command)]
    Create {
        /// Addresses of the site's processes, and the operators' token
        #[bpaf(external(operator_options))]
        operator: OperatorOptions,
        /// Settings file and output format
        #[bpaf(external)]
        common: CommonOptions,
        /// Terms of the contract
        #[bpaf(external(contract_terms))]
        terms: ContractTerms,
        /// Id of the contract.
        #[bpaf(positional("CONTRACT"))]
        contract: String,
    },
    /// Change the terms of a contract.
    #[bpaf(command)]
    Change {
        /// Addresses of the site's processes, and the operators' token
        #[bpaf(external(operator_options))]
        operator: OperatorOptions,
        /// Settings file and output format
        #[bpaf(external)]
        common: CommonOptions,
        /// Terms of the contract
        #[bpaf(external(contract_terms))]
        terms: ContractTerms,
        /// Revision that the change is based on; the current one if not given.
        #[bpaf(long, argument("REVISION"), optional)]
        revision: Option<u64>,
        /// Id of the contract.
        #[bpaf(positional("CONTRACT"))]
        contract: String,
    },
}
