//! Errors of reading and checking settings.

use {
    std::path::{Path, PathBuf},
    thiserror::Error,
};

/// Error of loading a settings file.
#[derive(Debug, Error)]
pub enum ConfError {
    /// The file could not be read.
    #[error("{path}: cannot read the settings file: {source}", path = .path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is not valid YAML, or a key is unknown, missing or duplicate, or a
    /// value has the wrong type.
    #[error("{path}: {message}", path = .path.display())]
    Parse {
        /// The file.
        path: PathBuf,
        /// Message of the parser, with line and column.
        message: String,
    },
    /// Values are outside the accepted ranges or contradict each other.
    #[error("{}", problem_lines(.path, .problems))]
    Check {
        /// The file.
        path: PathBuf,
        /// One text for each problem, with the key and the accepted values.
        problems: Vec<String>,
    },
}

/// Formats the problems, each on a line of its own after the file's path.
fn problem_lines(path: &Path, problems: &[String]) -> String {
    let lines: Vec<String> = problems
        .iter()
        .map(|problem| format!("{}: {problem}", path.display()))
        .collect();
    lines.join("\n")
}
