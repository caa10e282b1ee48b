//! Command-line arguments of `chestnutrun-bench experiment`.

use {bpaf::Bpaf, std::path::PathBuf};

/// Arguments of the `experiment` command.
#[derive(Bpaf, Clone, Debug)]
pub struct ExperimentArguments {
    /// Run real processes on loopback instead of the decision code alone.
    #[bpaf(switch)]
    pub real: bool,
    /// Folder to write the JSON reports and the plots to.
    #[bpaf(argument("FOLDER"))]
    pub out: Option<PathBuf>,
    /// Seed to use instead of the seeds in the file.
    #[bpaf(argument("NUMBER"))]
    pub seed: Option<u64>,
    /// YAML files that describe the experiments.
    #[bpaf(positional("FILE"), some("name at least one file"))]
    pub files: Vec<PathBuf>,
}
