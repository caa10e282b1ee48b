//! Options of every command, and options of callers' commands.

use {
    bpaf::Bpaf,
    std::{net::SocketAddr, path::PathBuf},
};

/// Options of every command.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(common))]
pub struct CommonOptions {
    /// Settings file with addresses and token files, in YAML.
    #[bpaf(long, env("CHESTNUTRUN_CONF"), argument("FILE"), optional, complete_shell(bpaf::ShellComp::File { mask: None }))]
    pub conf: Option<PathBuf>,
    /// Print JSON instead of text.
    #[bpaf(long, switch)]
    pub json: bool,
}

/// Options of callers' commands.
#[derive(Bpaf, Clone, Debug)]
pub struct CallerOptions {
    /// Contract of the job.
    #[bpaf(long, env("CHESTNUTRUN_CONTRACT"), argument("CONTRACT"))]
    pub contract: String,
    /// Address of an entry, or of a load balancer before the entries, for callers.
    #[bpaf(long, env("CHESTNUTRUN_CALLERS"), argument("ADDRESS"), optional)]
    pub callers: Option<SocketAddr>,
    /// File with the contract's token.
    #[bpaf(
        long,
        env("CHESTNUTRUN_TOKEN_FILE"),
        argument("FILE"),
        optional,
        complete_shell(bpaf::ShellComp::File { mask: None })
    )]
    pub token_file: Option<PathBuf>,
}
