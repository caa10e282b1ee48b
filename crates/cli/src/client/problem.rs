//! Problem documents (RFC 9457) that servers send with an error status.

use {
    serde::{Deserialize, Serialize},
    serde_json::{Map, Value},
    std::fmt,
};

/// Prefix of the problem types of entries.
const TYPE_PREFIX: &str = "urn:chestnutrun:problem:";

/// A problem document (RFC 9457).
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Problem {
    /// Stable problem type, a URN.
    #[serde(rename = "type")]
    pub kind: String,
    /// Status code of the answer.
    pub status: u16,
    /// Explanation of this problem, for people.
    pub detail: String,
    /// True if nothing of the request ran and nothing will run.
    pub not_run: bool,
    /// Seconds to wait before the request is repeated, from the `Retry-After` header.
    #[serde(skip)]
    pub retry_after: Option<String>,
    /// Other members of the document.
    #[serde(flatten)]
    pub more: Map<String, Value>,
}

impl Problem {
    /// Returns the problem type without its prefix.
    #[must_use]
    pub fn name(&self) -> &str {
        self.kind.strip_prefix(TYPE_PREFIX).unwrap_or(&self.kind)
    }

    /// Returns true if the server refused the request: either nothing of it ran or will
    /// run, or the status says that the request is at fault.
    #[must_use]
    pub fn is_refusal(&self) -> bool {
        self.not_run || (400..500).contains(&self.status)
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}): {}", self.name(), self.status, self.detail)?;
        if self.not_run {
            write!(f, "\n  nothing ran or changed")?;
        }
        for (key, value) in self.more.iter().filter(|(key, _)| *key != "title") {
            write!(f, "\n  {key}: {value}")?;
        }
        match &self.retry_after {
            Some(seconds) => write!(f, "\n  try again after {seconds} s"),
            None => Ok(()),
        }
    }
}
