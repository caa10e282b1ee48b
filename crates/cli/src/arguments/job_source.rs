//! Options for the body of a job.

use {bpaf::Bpaf, humantime::Duration, std::path::PathBuf};

/// Body of the job: a file, or options for identical tasks.
#[derive(Bpaf, Clone, Debug)]
pub enum JobSource {
    /// The body is read from a file.
    File {
        /// File with the job's body in JSON; `-` for standard input.
        #[bpaf(long, argument("FILE"), complete_shell(bpaf::ShellComp::File { mask: None }))]
        file: PathBuf,
    },
    /// The body is built from options and has identical tasks.
    Tasks {
        /// Kind of each task.
        #[bpaf(long, argument("KIND"))]
        kind: String,
        /// Expected run time of each task, such as 50ms.
        #[bpaf(long, argument("TIME"), fallback(std::time::Duration::from_millis(100).into()), display_fallback)]
        run_time: Duration,
        /// Input of each task.
        #[bpaf(long, argument("TEXT"), fallback(String::new()))]
        input: String,
        /// Number of tasks.
        #[bpaf(long, argument("COUNT"), fallback(1), display_fallback)]
        count: usize,
        /// The tasks are idempotent: it does no harm if one runs twice.
        #[bpaf(long, switch)]
        idempotent: bool,
    },
}
