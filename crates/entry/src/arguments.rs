//! Command-line arguments of the entry.

use {bpaf::Bpaf, std::path::PathBuf};

/// Entry of chestnutrun: accepts jobs and owns shards of its site.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version, generate(arguments))]
pub struct Arguments {
    /// Settings file, in YAML.
    #[bpaf(long("conf"), argument("FILE"))]
    pub conf: PathBuf,
    /// Check the settings file and exit.
    #[bpaf(long("check-config"), switch)]
    pub check_config: bool,
}

impl Arguments {
    /// Parses the arguments of this process; prints the error and exits if they are
    /// not valid.
    #[must_use]
    pub fn parse() -> Self {
        arguments().run()
    }
}
