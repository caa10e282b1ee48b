//! Waits until a change is in force.

use {
    crate::{
        CliError, Outcome,
        arguments::Common,
        operators::gather::gather,
        output::{show_line, show_value},
        site::OperatorSite,
    },
    serde_json::{Value, json},
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// How long a change may take until it is in force at every entry.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(5);

/// Time between two looks at the entries.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Waits until a change is in force at every entry, and shows it.
pub(crate) async fn show_in_force(
    site: &OperatorSite,
    common: &Common,
    what: &str,
    mut page: Value,
) -> Result<Outcome, CliError> {
    let revision = page["revision"].as_u64().unwrap_or_default();
    let until = Instant::now() + IN_FORCE_WITHIN;
    let all = site.entries.len();
    let mut in_force = entries_at(site, revision).await?;
    while in_force < all && Instant::now() < until {
        sleep(LOOK_INTERVAL).await;
        in_force = entries_at(site, revision).await?;
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

/// Returns how many entries have a configuration of this revision or a newer.
async fn entries_at(site: &OperatorSite, revision: u64) -> Result<usize, CliError> {
    let entries = site.entries_only();
    let gathered = gather(&entries, "/v1/status", "/status").await?;
    let pages = gathered.iter().filter_map(|entry| entry.page.as_ref().ok());
    Ok(pages
        .filter_map(|page| page["configuration"].as_u64())
        .filter(|present| *present >= revision)
        .count())
}
