//! Waits until a change is in force at every entry.

use {
    crate::{
        CliError, Outcome,
        arguments::CommonOptions,
        operators::gather::gather,
        output::{show_line, show_value},
        site::OperatorSite,
    },
    serde_json::{Value, json},
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// Longest wait for a change to be in force at every entry.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay between two reads of the entries' revisions.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Waits until a change is in force at every entry or the timeout is reached, and
/// prints the number of entries at which the change is in force. `what` names the changed
/// object in the output; `page` is the server's answer to the change.
pub(crate) async fn show_in_force(
    site: &OperatorSite,
    common: &CommonOptions,
    what: &str,
    mut page: Value,
) -> Result<Outcome, CliError> {
    let revision = page["revision"].as_u64().unwrap_or_default();
    let until = Instant::now() + IN_FORCE_TIMEOUT;
    let all = site.entries.len();
    let mut in_force = count_entries_at(site, revision).await?;
    while in_force < all && Instant::now() < until {
        sleep(POLL_INTERVAL).await;
        in_force = count_entries_at(site, revision).await?;
    }
    if common.json {
        page["in_force"] = json!({"entries": in_force, "of": all});
        show_value(&page);
    } else {
        show_line(format_args!(
            "{what} is at revision {revision}, in force at {in_force} of {all} entries"
        ));
    }
    Ok(if in_force == all {
        Outcome::Done
    } else {
        Outcome::Unknown
    })
}

/// Counts the entries whose configuration has this revision or a newer one.
async fn count_entries_at(site: &OperatorSite, revision: u64) -> Result<usize, CliError> {
    let entries = site.entries_only();
    let replies = gather(&entries, "/v1/status", "/status").await?;
    let pages = replies.iter().filter_map(|entry| entry.page.as_ref().ok());
    Ok(pages
        .filter_map(|page| page["configuration"].as_u64())
        .filter(|current| *current >= revision)
        .count())
}
