//! Shows the state of every entry, agent and endpoint.

use {
    crate::{
        CliError, Outcome,
        arguments::{CommonOptions, OperatorOptions},
        operators::gather::{ProcessReply, gather},
        output::{show_line, show_table, show_value},
        site::OperatorSite,
    },
    serde_json::{Value, json},
};

/// Columns of the table of processes.
const PROCESS_COLUMNS: [&str; 7] = [
    "process",
    "zone",
    "configuration",
    "links",
    "work",
    "leaving",
    "owns",
];

/// Columns of the table of endpoints. The owner of a shard reports the shard's
/// endpoints.
const ENDPOINT_COLUMNS: [&str; 7] = [
    "endpoint", "slots", "taken", "linked", "fenced", "draining", "leaving",
];

/// Shows the state of every entry and agent.
pub(crate) async fn status(
    options: OperatorOptions,
    common: &CommonOptions,
) -> Result<Outcome, CliError> {
    let site = OperatorSite::new(options, common)?;
    let replies = gather(&site, "/v1/status", "/status").await?;
    let is_complete = replies.iter().all(|process| process.page.is_ok());
    let rows: Vec<Value> = replies.iter().map(process_row).collect();
    if common.json {
        let pages: Vec<Value> = replies.iter().map(page_or_error).collect();
        show_value(&Value::Array(pages));
    } else {
        show_table(&PROCESS_COLUMNS, &rows);
        show_line("");
        let endpoints: Vec<Value> = replies.iter().flat_map(endpoint_rows).collect();
        show_table(&ENDPOINT_COLUMNS, &endpoints);
    }
    Ok(if is_complete {
        Outcome::Done
    } else {
        Outcome::Unknown
    })
}

fn page_or_error(process: &ProcessReply) -> Value {
    match &process.page {
        Ok(page) => page.clone(),
        Err(error) => json!({"address": process.address, "error": error.to_string()}),
    }
}

fn process_row(process: &ProcessReply) -> Value {
    let Ok(page) = &process.page else {
        let name = format!("{}: no answer", process.address);
        return json!({ "process": name });
    };
    let links = match page["agents"].as_u64() {
        Some(agents) => format!("{agents} agents, {} entries", page["entries"]),
        None => format!("{} entries", page["links"]),
    };
    let work = match page["pending_jobs"].as_u64() {
        Some(jobs) => format!("{jobs} jobs"),
        None => format!("{} tasks", page["running"]),
    };
    json!({
        "process": page["process"],
        "zone": page["zone"],
        "configuration": page["configuration"],
        "links": links,
        "work": work,
        "leaving": page["leaving"],
        "owns": owned_shards(page),
    })
}

fn owned_shards(page: &Value) -> String {
    let shards = page["shards"].as_array().cloned().unwrap_or_default();
    let owned: Vec<String> = shards
        .iter()
        .map(|shard| format!("shard {} epoch {}", shard["shard"], shard["epoch"]))
        .collect();
    owned.join(", ")
}

fn endpoint_rows(process: &ProcessReply) -> Vec<Value> {
    let Ok(page) = &process.page else {
        return Vec::new();
    };
    let shards = page["shards"].as_array().cloned().unwrap_or_default();
    shards
        .iter()
        .flat_map(|shard| shard["endpoints"].as_array().cloned().unwrap_or_default())
        .collect()
}
