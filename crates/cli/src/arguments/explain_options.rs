//! Options of explanations.

use {bpaf::Bpaf, humantime::Timestamp, std::path::PathBuf};

/// Which jobs are explained, and from which logs.
#[derive(Bpaf, Clone, Debug)]
pub struct ExplainOptions {
    /// File with log lines of any processes; several may be given. Standard
    /// input where none is.
    #[bpaf(long, argument("FILE"), many, complete_shell(bpaf::ShellComp::File { mask: None }))]
    pub log: Vec<PathBuf>,
    /// List the slowest jobs, this many.
    #[bpaf(long, argument("COUNT"), optional)]
    pub slow: Option<usize>,
    /// List the jobs that were refused, failed or ran out of time.
    #[bpaf(long, switch)]
    pub refused: bool,
    /// Only jobs answered from this moment, such as 2026-01-31T12:00:00Z.
    #[bpaf(long, argument("MOMENT"), optional)]
    pub since: Option<Timestamp>,
    /// Id of a job.
    #[bpaf(positional("ID"), optional)]
    pub job: Option<String>,
}
