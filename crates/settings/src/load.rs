//! Reads and checks a settings file.

use {
    crate::ConfError,
    serde::de::DeserializeOwned,
    std::{fs, path::Path},
};

/// Settings of one program, read from a YAML file.
pub trait Conf: DeserializeOwned {
    /// Checks the values and returns a text for each problem, with the key and the
    /// accepted values.
    fn problems(&self) -> Vec<String>;
}

/// Reads and checks a settings file.
///
/// # Errors
/// Returns an error if the file cannot be read or parsed, or if its values have
/// problems; the error names the file and every problem.
pub fn load<C: Conf>(path: impl AsRef<Path>) -> Result<C, ConfError> {
    let path = path.as_ref();
    let text = fs::read_to_string(path).map_err(|source| ConfError::Read {
        path: path.to_owned(),
        source,
    })?;
    let conf: C = serde_saphyr::from_str(&text).map_err(|error| ConfError::Parse {
        path: path.to_owned(),
        message: error.to_string(),
    })?;
    let problems = conf.problems();
    if problems.is_empty() {
        Ok(conf)
    } else {
        Err(ConfError::Check {
            path: path.to_owned(),
            problems,
        })
    }
}
