//! What a check of a configuration found.

use {
    crate::config_check::{ConfigChange, ConfigProblem, Severity},
    serde::Serialize,
    std::fmt::{self, Display, Formatter},
};

/// What a check of a configuration found.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct ConfigReport {
    /// What is wrong with it.
    pub problems: Vec<ConfigProblem>,
    /// What it changes; empty without a version in force to compare with.
    pub changes: Vec<ConfigChange>,
}

impl ConfigReport {
    /// Returns whether a problem is an error.
    #[must_use]
    pub fn has_errors(&self) -> bool {
        let mut problems = self.problems.iter();
        problems.any(|problem| problem.severity == Severity::Error)
    }
}

impl Display for ConfigReport {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        for problem in &self.problems {
            writeln!(f, "{problem}")?;
        }
        for change in &self.changes {
            writeln!(f, "{change}")?;
        }
        let (problems, changes) = (self.problems.len(), self.changes.len());
        write!(f, "{problems} problems, {changes} changes")
    }
}
