//! Counts the messages between the processes of a site.

use {crate::site::Site, ntex::http::Method, serde_json::Value};

/// Label of sent messages in the metrics.
const SENT_LABEL: &str = "direction=\"sent\"";

/// Prefix of the metrics that count messages.
const COUNTER: &str = "chestnutrun_messages";

/// Returns the number of messages that the entries have sent to each other and to
/// agents, and received from agents. An entry that does not answer is left out.
pub async fn messages(site: &Site) -> u64 {
    let mut count = 0;
    for number in 0..site.plan.entries() {
        let operators = site.plan.entry_operators_address(number);
        let response = site
            .client
            .send_as_operator(Method::GET, operators, "/metrics", String::new())
            .await;
        let Ok(reply) = response else {
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
        .filter(|line| line.contains(SENT_LABEL) || line.contains("kind=\"agent\""))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok())
        .sum()
}
