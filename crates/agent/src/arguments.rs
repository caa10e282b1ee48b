//! Arguments of the daemon.

use {bpaf::Bpaf, std::path::PathBuf};

/// Guards one endpoint of chestnutrun and runs its tasks.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version, generate(arguments))]
pub struct Arguments {
    /// Settings file, in YAML.
    #[bpaf(long("conf"), argument("FILE"))]
    pub conf: PathBuf,
    /// Check the settings file and stop.
    #[bpaf(long("check-config"), switch)]
    pub check_config: bool,
}

impl Arguments {
    /// Reads the arguments of this process; stops it where they are wrong.
    #[must_use]
    pub fn parse() -> Self {
        arguments().run()
    }
}
