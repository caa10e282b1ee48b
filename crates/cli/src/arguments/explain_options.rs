//! Options of the explain command.

use {bpaf::Bpaf, humantime::Timestamp, std::path::PathBuf};

/// Jobs to explain or list, and the logs to read.
#[derive(Bpaf, Clone, Debug)]
pub struct ExplainOptions {
    /// File with log lines of one or more processes; may be repeated. Without it,
    /// standard input is read.
    #[bpaf(long, argument("FILE"), many, complete_shell(bpaf::ShellComp::File { mask: None }))]
    pub log: Vec<PathBuf>,
    /// List this many of the slowest jobs.
    #[bpaf(long, argument("COUNT"), optional)]
    pub slow: Option<usize>,
    /// List the jobs that did not complete: refused, failed, expired and others.
    #[bpaf(long, switch)]
    pub refused: bool,
    /// List only jobs answered since this time, such as 2026-01-31T12:00:00Z.
    #[bpaf(long, argument("MOMENT"), optional)]
    pub since: Option<Timestamp>,
    /// Id of the job to explain.
    #[bpaf(positional("ID"), optional)]
    pub job: Option<String>,
}
