//! Measures the processor time and memory of an idle site.

use {
    crate::{
        site::{Site, SiteError, SitePlan, SiteProcess},
        slopes::usage::{Sample, Usage, mean},
    },
    std::time::Duration,
    tokio::time::sleep,
};

/// Time between the start of a site and its measurement.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Cost of an idle site.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IdleCost {
    /// Number of agents of the site.
    pub(crate) agents: u16,
    /// Mean usage of its entries.
    pub(crate) entry: Usage,
    /// Mean usage of its agents.
    pub(crate) agent: Usage,
}

/// Measures an idle site of `agents` agents and 3 entries for `seconds` seconds.
pub(crate) async fn measure(agents: u16, seconds: u64) -> Result<IdleCost, SiteError> {
    let plan = SitePlan::builder()
        .endpoints(agents)
        .log_level("warn")
        .build();
    let site = Site::start(plan).await?;
    sleep(SETTLE_TIME).await;
    let entries = samples(&site.entries);
    let agent_samples = samples(&site.agents);
    sleep(Duration::from_secs(seconds)).await;
    let cost = IdleCost {
        agents,
        entry: mean(&used(&entries, &site.entries)),
        agent: mean(&used(&agent_samples, &site.agents)),
    };
    site.close();
    Ok(cost)
}

/// Reads the current usage of each process.
pub(crate) fn samples(processes: &[SiteProcess]) -> Vec<Sample> {
    processes.iter().map(Sample::take).collect()
}

/// Returns the usage of each process since its sample in `since`.
pub(crate) fn used(since: &[Sample], processes: &[SiteProcess]) -> Vec<Usage> {
    let ends = samples(processes);
    since
        .iter()
        .zip(ends)
        .map(|(begin, end)| begin.until(end))
        .collect()
}
