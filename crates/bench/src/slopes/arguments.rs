//! Command-line arguments of `chestnutrun-bench slopes`.

use bpaf::Bpaf;

/// Arguments of the `slopes` command.
#[derive(Bpaf, Clone, Debug)]
pub struct SlopesArguments {
    /// Duration of each measurement, in seconds.
    #[bpaf(argument("SECONDS"), fallback(10), display_fallback)]
    pub seconds: u64,
    /// Number of endpoints of the largest site.
    #[bpaf(argument("COUNT"), fallback(60), display_fallback)]
    pub most_endpoints: u16,
}
