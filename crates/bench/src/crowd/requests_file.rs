//! Requests of clients, read from a file.

use {
    crate::crowd::ClientRequests,
    serde::Deserialize,
    std::{fs, io, path::Path},
};

/// Requests that a file in YAML gives as texts; line ends of heads are written out as
/// `\r\n`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestsFile {
    submission_head: String,
    job: String,
    wide_job: String,
    open_head: String,
    page: String,
    cancel: String,
    longest_body: usize,
}

impl RequestsFile {
    /// Reads the requests from a file.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read, or does not hold every request.
    pub fn read(path: &Path) -> io::Result<Self> {
        let named =
            |e: &dyn std::fmt::Display| io::Error::other(format!("{}: {e}", path.display()));
        let text = fs::read_to_string(path).map_err(|e| named(&e))?;
        serde_saphyr::from_str(&text).map_err(|e| named(&e))
    }
}

impl ClientRequests for RequestsFile {
    fn submission_head(&self) -> String {
        self.submission_head.clone()
    }

    fn job(&self) -> String {
        self.job.clone()
    }

    fn wide_job(&self) -> String {
        self.wide_job.clone()
    }

    fn open_head(&self) -> String {
        self.open_head.clone()
    }

    fn page(&self) -> String {
        self.page.clone()
    }

    fn cancel(&self) -> String {
        self.cancel.clone()
    }

    fn longest_body(&self) -> usize {
        self.longest_body
    }
}
