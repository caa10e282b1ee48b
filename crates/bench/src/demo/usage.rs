//! Reads memory and processor time of the processes of a site.

use crate::site::{ProcessUsage, Site, SiteProcess};

/// Memory and processor time of one process.
#[derive(Clone, Debug)]
pub(crate) struct Usage {
    /// Name of the process.
    pub(crate) process: String,
    /// Usage since the start of the process.
    pub(crate) used: ProcessUsage,
}

impl Usage {
    /// Reads the usage of every process of a site.
    pub(crate) fn of_site(site: &Site) -> Vec<Self> {
        let processes = site.entries.iter().chain(&site.agents);
        processes
            .chain(&site.endpoints)
            .chain([&site.table])
            .map(Self::of_process)
            .collect()
    }

    fn of_process(process: &SiteProcess) -> Self {
        Self {
            process: process.name().to_owned(),
            used: process.usage(),
        }
    }
}
