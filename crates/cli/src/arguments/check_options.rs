//! Options of the check-config command.

use {bpaf::Bpaf, std::path::PathBuf};

/// Files to check, and what to compare them with.
#[derive(Bpaf, Clone, Debug)]
pub struct CheckOptions {
    /// Contracts in force, as `contract list --json` prints them: also show what changes.
    #[bpaf(long, argument("FILE"), optional, complete_shell(bpaf::ShellComp::File { mask: None }))]
    pub in_force: Option<PathBuf>,
    /// Number of tasks that the site can run at a time, to find limits out of reach.
    #[bpaf(long, argument("COUNT"), optional)]
    pub slots: Option<u32>,
    /// Print JSON.
    #[bpaf(long, switch)]
    pub json: bool,
    /// Settings files, or contracts in the form of `contract list --json`.
    #[bpaf(positional("FILE"), some("give at least one file"), complete_shell(bpaf::ShellComp::File { mask: None }))]
    pub files: Vec<PathBuf>,
}
