//! Commands.

use {
    crate::arguments::{
        CallerOptions, Common, ContractTerms, ExplainOptions, JobSource, OperatorOptions,
        TimelineOptions,
        caller_options::{caller_options, common},
        contract_terms::contract_terms,
        explain_options::explain_options,
        job_source::job_source,
        operator_options::operator_options,
        timeline_options::timeline_options,
    },
    bpaf::Bpaf,
    humantime::Duration,
    std::path::PathBuf,
};

/// Longest wait for an answer where none is given.
const DEFAULT_WAIT: std::time::Duration = std::time::Duration::from_mins(1);

/// Meaning of the exit codes, for the help.
const EXIT_CODES: &str = "Exit codes: 0 done; 1 the job ended, but not every task completed; 2 wrong \
    arguments, settings or file; 3 refused; 4 a change met a newer one; 5 no \
    answer, or one that claims nothing: ask again; 6 the job goes on.";

/// Submits jobs to chestnutrun and operates its sites.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version, generate(command), footer(EXIT_CODES))]
pub enum Command {
    /// Submit a job and wait for its answer.
    #[bpaf(command)]
    Submit {
        /// Contract, address and token
        #[bpaf(external(caller_options))]
        caller: CallerOptions,
        /// Settings and output
        #[bpaf(external)]
        common: Common,
        /// Key of the job; the same key never runs twice. Made up where none is given.
        #[bpaf(long, argument("KEY"), optional)]
        key: Option<String>,
        /// Longest wait for the answer; 0s to wait for the receipt alone.
        #[bpaf(long, argument("TIME"), fallback(DEFAULT_WAIT.into()), display_fallback)]
        wait: Duration,
        /// The job
        #[bpaf(external(job_source))]
        source: JobSource,
    },
    /// Show a job's answer or its state.
    #[bpaf(command)]
    Result {
        /// Contract, address and token
        #[bpaf(external(caller_options))]
        caller: CallerOptions,
        /// Settings and output
        #[bpaf(external)]
        common: Common,
        /// Longest wait for the answer.
        #[bpaf(long, argument("TIME"), fallback(std::time::Duration::ZERO.into()), display_fallback)]
        wait: Duration,
        /// Key of the job.
        #[bpaf(positional("KEY"))]
        key: String,
    },
    /// Cancel what has not started of a job.
    #[bpaf(command)]
    Cancel {
        /// Contract, address and token
        #[bpaf(external(caller_options))]
        caller: CallerOptions,
        /// Settings and output
        #[bpaf(external)]
        common: Common,
        /// Key of the job.
        #[bpaf(positional("KEY"))]
        key: String,
    },
    /// List, show, create or change contracts.
    #[bpaf(command)]
    Contract(#[bpaf(external(contract_command))] ContractCommand),
    /// Give an endpoint no new work.
    #[bpaf(command)]
    Drain {
        /// Processes of the site and the token
        #[bpaf(external(operator_options))]
        operator: OperatorOptions,
        /// Settings and output
        #[bpaf(external)]
        common: Common,
        /// Endpoint.
        #[bpaf(positional("ENDPOINT"))]
        endpoint: String,
    },
    /// Return a drained endpoint to service.
    #[bpaf(command, long("return"))]
    Undrain {
        /// Processes of the site and the token
        #[bpaf(external(operator_options))]
        operator: OperatorOptions,
        /// Settings and output
        #[bpaf(external)]
        common: Common,
        /// Endpoint.
        #[bpaf(positional("ENDPOINT"))]
        endpoint: String,
    },
    /// Show the state of every entry and agent.
    #[bpaf(command)]
    Status {
        /// Processes of the site and the token
        #[bpaf(external(operator_options))]
        operator: OperatorOptions,
        /// Settings and output
        #[bpaf(external)]
        common: Common,
    },
    /// Show recent events of all processes, ordered by cause and time.
    #[bpaf(command)]
    Timeline {
        /// Processes of the site and the token
        #[bpaf(external(operator_options))]
        operator: OperatorOptions,
        /// Settings and output
        #[bpaf(external)]
        common: Common,
        /// Which events, and how they are shown
        #[bpaf(external(timeline_options))]
        options: TimelineOptions,
    },
    /// Explain from logs why a best-effort job ended as it did, or list jobs.
    #[bpaf(command)]
    Explain(#[bpaf(external(explain_options))] ExplainOptions),
    /// Check settings files of entries, agents and this command.
    #[bpaf(command("check-config"))]
    CheckConfig {
        /// Settings files.
        #[bpaf(positional("FILE"), some("give at least one file"), complete_shell(bpaf::ShellComp::File { mask: None }))]
        files: Vec<PathBuf>,
    },
}

/// Commands on contracts.
#[derive(Bpaf, Clone, Debug)]
pub enum ContractCommand {
    /// List every contract.
    #[bpaf(command)]
    List {
        /// Processes of the site and the token
        #[bpaf(external(operator_options))]
        operator: OperatorOptions,
        /// Settings and output
        #[bpaf(external)]
        common: Common,
    },
    /// Show one contract.
    #[bpaf(command)]
    Show {
        /// Processes of the site and the token
        #[bpaf(external(operator_options))]
        operator: OperatorOptions,
        /// Settings and output
        #[bpaf(external)]
        common: Common,
        /// Contract.
        #[bpaf(positional("CONTRACT"))]
        contract: String,
    },
    /// Show the latest changes of a contract.
    #[bpaf(command)]
    History {
        /// Processes of the site and the token
        #[bpaf(external(operator_options))]
        operator: OperatorOptions,
        /// Settings and output
        #[bpaf(external)]
        common: Common,
        /// Contract.
        #[bpaf(positional("CONTRACT"))]
        contract: String,
    },
    /// Create a contract.
    #[bpaf(command)]
    Create {
        /// Processes of the site and the token
        #[bpaf(external(operator_options))]
        operator: OperatorOptions,
        /// Settings and output
        #[bpaf(external)]
        common: Common,
        /// Terms
        #[bpaf(external(contract_terms))]
        terms: ContractTerms,
        /// Contract.
        #[bpaf(positional("CONTRACT"))]
        contract: String,
    },
    /// Change a contract.
    #[bpaf(command)]
    Change {
        /// Processes of the site and the token
        #[bpaf(external(operator_options))]
        operator: OperatorOptions,
        /// Settings and output
        #[bpaf(external)]
        common: Common,
        /// Terms
        #[bpaf(external(contract_terms))]
        terms: ContractTerms,
        /// Revision that is changed; the present one where none is given.
        #[bpaf(long, argument("REVISION"), optional)]
        revision: Option<u64>,
        /// Contract.
        #[bpaf(positional("CONTRACT"))]
        contract: String,
    },
}
