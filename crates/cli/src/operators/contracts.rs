//! Lists and shows contracts.

use {
    crate::{
        CliError, Outcome,
        arguments::{CommonOptions, OperatorOptions},
        client::{HttpClient, Request},
        output::{show_table, show_value},
        site::OperatorSite,
    },
    ntex::http::Method,
    serde_json::Value,
};

/// Columns of the list of contracts, which are fields of a contract.
const COLUMNS: [&str; 7] = [
    "id",
    "revision",
    "in_flight_limit",
    "queue_limit",
    "urgency",
    "weight",
    "overflow",
];

/// Lists every contract.
pub(crate) async fn list_contracts(
    options: OperatorOptions,
    common: &CommonOptions,
) -> Result<Outcome, CliError> {
    let site = OperatorSite::new(options, common)?;
    let page = get_page(&site, "/v1/contracts").await?;
    if common.json {
        show_value(&page);
    } else {
        let contracts = page["contracts"].as_object().cloned().unwrap_or_default();
        show_table(&COLUMNS, contracts.values());
    }
    Ok(Outcome::Done)
}

/// Shows one contract.
pub(crate) async fn show_contract(
    options: OperatorOptions,
    common: &CommonOptions,
    contract: &str,
) -> Result<Outcome, CliError> {
    let site = OperatorSite::new(options, common)?;
    show_value(&get_page(&site, &format!("/v1/contracts/{contract}")).await?);
    Ok(Outcome::Done)
}

/// Shows the latest changes of a contract.
pub(crate) async fn show_history(
    options: OperatorOptions,
    common: &CommonOptions,
    contract: &str,
) -> Result<Outcome, CliError> {
    let site = OperatorSite::new(options, common)?;
    show_value(&get_page(&site, &format!("/v1/contracts/{contract}/history")).await?);
    Ok(Outcome::Done)
}

/// Reads a page for operators from the first entry.
pub(crate) async fn get_page(site: &OperatorSite, path: &str) -> Result<Value, CliError> {
    let client = HttpClient::new().await?;
    let request = Request::new(Method::GET, site.url(path), &site.token);
    client.send(request).await?.json()
}
