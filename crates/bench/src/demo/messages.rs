//! Counts the messages between the processes of a site, from their metrics.

use {
    crate::site::{Site, SiteError},
    ntex::http::Method,
};

/// Counts of the messages that the processes of a site have sent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Messages {
    /// Messages about jobs and tasks.
    pub(crate) work: u64,
    /// Messages that maintain links, ownership and configuration.
    pub(crate) upkeep: u64,
    /// Messages that did not advance any task.
    pub(crate) wasted: u64,
}

/// Kinds of messages that are sent even when there are no jobs.
const UPKEEP: [&str; 8] = [
    "configuration",
    "confirm",
    "confirmation",
    "fence",
    "fence-reply",
    "hello",
    "members",
    "owner",
];

impl Messages {
    /// Reads and adds up the metrics of every entry and agent.
    pub(crate) async fn read(site: &Site) -> Result<Self, SiteError> {
        let mut sum = Self::default();
        let plan = &site.plan;
        let entries = (0..plan.entries()).map(|number| plan.entry_operators_address(number));
        let agents = (0..plan.endpoints()).map(|number| plan.agent_operators_address(number));
        for operators in entries.chain(agents) {
            let page = site
                .client
                .send_as_operator(Method::GET, operators, "/metrics", String::new())
                .await?;
            let text = page.body.as_str().unwrap_or_default();
            text.lines().for_each(|line| sum.add_line(line));
        }
        Ok(sum)
    }

    /// Returns the messages sent since an earlier reading.
    pub(crate) fn since(self, earlier: Self) -> Self {
        Self {
            work: self.work - earlier.work,
            upkeep: self.upkeep - earlier.upkeep,
            wasted: self.wasted - earlier.wasted,
        }
    }

    fn add_line(&mut self, line: &str) {
        let Some((name, value)) = line.rsplit_once(' ') else {
            return;
        };
        let count = value.parse::<u64>().unwrap_or_default();
        if name.starts_with("chestnutrun_wasted_messages_total") {
            self.wasted += count;
        }
        let is_sent = name.contains("direction=\"sent\"");
        if !is_sent || !name.starts_with("chestnutrun_messages_total") {
            return;
        }
        let is_kind = |kind: &&str| name.contains(&format!("kind=\"{kind}\""));
        if UPKEEP.iter().any(is_kind) {
            self.upkeep += count;
        } else {
            self.work += count;
        }
    }
}
