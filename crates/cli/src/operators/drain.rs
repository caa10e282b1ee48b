//! Drains endpoints and returns them to service.

use {
    crate::{
        CliError, Outcome,
        arguments::{CommonOptions, OperatorOptions},
        client::{HttpClient, Request},
        operators::{gather::gather, in_force::show_in_force},
        site::OperatorSite,
    },
    ntex::http::Method,
    serde_json::Value,
    std::collections::BTreeSet,
    uuid::Uuid,
};

/// Drains an endpoint, so that it gets no new tasks.
pub(crate) async fn drain(
    options: OperatorOptions,
    common: &CommonOptions,
    endpoint: &str,
) -> Result<Outcome, CliError> {
    change_drain(options, common, endpoint, Method::PUT).await
}

/// Returns a drained endpoint to service.
pub(crate) async fn undrain(
    options: OperatorOptions,
    common: &CommonOptions,
    endpoint: &str,
) -> Result<Outcome, CliError> {
    change_drain(options, common, endpoint, Method::DELETE).await
}

async fn change_drain(
    options: OperatorOptions,
    common: &CommonOptions,
    endpoint: &str,
    method: Method,
) -> Result<Outcome, CliError> {
    let site = OperatorSite::new(options, common)?;
    let revision = latest_revision(&site, endpoint).await?;
    let url = site.url(&format!("/v1/endpoints/{endpoint}/drain"));
    let mut request =
        Request::new(method, url, &site.token).header("operation-id", Uuid::new_v4().to_string());
    if revision > 0 {
        request = request.header("if-match", format!("\"{revision}\""));
    }
    let page = HttpClient::new().await?.send(request).await?.json()?;
    show_in_force(&site, common, &format!("endpoint {endpoint}"), page).await
}

/// Returns the latest revision of an endpoint that any entry knows. All entries are
/// read, since an entry lists only endpoints whose agents were linked to it.
async fn latest_revision(site: &OperatorSite, endpoint: &str) -> Result<u64, CliError> {
    let endpoints = known_endpoints(site).await?;
    let known = endpoints.iter().filter(|e| e["endpoint"] == endpoint);
    let revisions = known.map(|e| e["revision"].as_u64().unwrap_or_default());
    revisions
        .max()
        .ok_or_else(|| CliError::Invalid(unknown_endpoint(endpoint, &endpoints)))
}

/// Reads the endpoints that the entries list. Fails if no entry answers.
async fn known_endpoints(site: &OperatorSite) -> Result<Vec<Value>, CliError> {
    let entries = site.entries_only();
    let mut endpoints = Vec::new();
    let mut answered = false;
    let mut last_error = None;
    for entry in gather(&entries, "/v1/endpoints", "/status").await? {
        match entry.page {
            Ok(page) => {
                answered = true;
                let listed = page["endpoints"].as_array().cloned();
                endpoints.extend(listed.unwrap_or_default());
            }
            Err(error) => last_error = Some(error),
        }
    }
    match last_error {
        Some(error) if !answered => Err(error),
        _ => Ok(endpoints),
    }
}

/// Returns the message about an endpoint that no entry lists.
fn unknown_endpoint(endpoint: &str, known: &[Value]) -> String {
    let names: BTreeSet<&str> = known
        .iter()
        .filter_map(|e| e["endpoint"].as_str())
        .collect();
    let names: Vec<&str> = names.into_iter().collect();
    format!(
        "unknown endpoint {endpoint}; known endpoints: {}",
        names.join(", ")
    )
}
