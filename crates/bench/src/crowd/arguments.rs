//! Command-line arguments of `chestnutrun-bench crowd`.

use {
    crate::crowd::Shape,
    bpaf::Bpaf,
    std::{net::SocketAddr, path::PathBuf},
};

/// Arguments of the `crowd` command.
#[derive(Bpaf, Clone, Debug)]
pub struct CrowdArguments {
    /// What the clients do; each draws one of those given, or of all.
    #[bpaf(argument("SHAPE"), many)]
    pub shape: Vec<Shape>,
    /// Address of the entry for callers.
    #[bpaf(argument("ADDRESS"))]
    pub callers: SocketAddr,
    /// Further address that clients connect to, such as that of operators or of links.
    #[bpaf(argument("ADDRESS"), many)]
    pub also: Vec<SocketAddr>,
    /// Address at which the process serves its metrics.
    #[bpaf(argument("ADDRESS"), optional)]
    pub metrics: Option<SocketAddr>,
    /// Id of the process whose memory and descriptors are watched.
    #[bpaf(argument("ID"), optional)]
    pub process: Option<u32>,
    /// Most memory of the process, in MB of 2^20 bytes; the command fails if it has more.
    #[bpaf(argument("MB"), optional)]
    pub max_memory_mb: Option<u64>,
    /// Most descriptors of the process; the command fails if it has more.
    #[bpaf(argument("COUNT"), optional)]
    pub max_descriptors: Option<usize>,
    /// File with the requests of the clients; those of the contract `letters` of the demo
    /// without it.
    #[bpaf(argument("FILE"), optional)]
    pub requests: Option<PathBuf>,
    /// Number of clients.
    #[bpaf(argument("COUNT"), fallback(400), display_fallback)]
    pub clients: usize,
    /// How long the crowd stays, in seconds.
    #[bpaf(argument("SECONDS"), fallback(60), display_fallback)]
    pub seconds: u64,
    /// Seed of what each client does and for how long.
    #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
    pub seed: u64,
}
