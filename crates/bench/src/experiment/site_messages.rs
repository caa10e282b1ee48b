//! Messages between a site's processes.

use {crate::site::Site, ntex::http::Method, serde_json::Value};

/// Name of the counter, with the label of messages that were sent.
const SENT: &str = "direction=\"sent\"";

/// Name of the counter of messages.
const COUNTER: &str = "chestnutrun_messages";

/// Returns how many messages the entries sent to each other and to agents, and
/// received from agents.
pub async fn messages(site: &Site) -> u64 {
    let mut count = 0;
    for number in 0..site.plan.entries() {
        let operators = site.plan.entry_operators_address(number);
        let asked = site
            .client
            .send_as_operator(Method::GET, operators, "/metrics", String::new())
            .await;
        let Ok(reply) = asked else {
            continue;
        };
        if let Value::String(text) = reply.body {
            count += count_messages(&text);
        }
    }
    count
}

fn count_messages(text: &str) -> u64 {
    text.lines()
        .filter(|line| line.starts_with(COUNTER))
        .filter(|line| line.contains(SENT) || line.contains("kind=\"agent\""))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok())
        .sum()
}
