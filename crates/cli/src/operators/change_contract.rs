//! Creates and changes contracts.

use {
    crate::{
        CliError, Outcome,
        arguments::{CommonOptions, ContractTerms, OperatorOptions},
        client::{HttpClient, Request},
        operators::{contracts::get_page, in_force::show_in_force},
        site::{OperatorSite, read_token},
    },
    chestnutrun_types::{Contract, Revision},
    ntex::http::Method,
    serde_json::Value,
    std::path::Path,
    uuid::Uuid,
};

/// Creates a contract.
pub(crate) async fn create_contract(
    options: OperatorOptions,
    common: &CommonOptions,
    terms: ContractTerms,
    id: String,
) -> Result<Outcome, CliError> {
    let site = OperatorSite::new(options, common)?;
    let token_file = terms.contract_token_file.clone();
    let token_file = token_file.ok_or(CliError::Missing(
        "a new contract needs --contract-token-file with its callers' token",
    ))?;
    let mut contract = Contract::builder(id)
        .token_hash(hash_token(&token_file)?)
        .build()
        .map_err(|error| CliError::Invalid(error.to_string()))?;
    apply_terms(&mut contract, terms)?;
    put_contract(&site, common, &contract, 0).await
}

/// Changes the given terms of a contract. `revision` is the revision that the change
/// is based on; if it is none, the current revision is used.
pub(crate) async fn change_contract(
    options: OperatorOptions,
    common: &CommonOptions,
    terms: ContractTerms,
    id: String,
    revision: Option<Revision>,
) -> Result<Outcome, CliError> {
    let site = OperatorSite::new(options, common)?;
    let mut page = get_page(&site, &format!("/v1/contracts/{id}")).await?;
    let current = page
        .as_object_mut()
        .and_then(|page| page.remove("revision"));
    let current = current.as_ref().and_then(Value::as_u64).unwrap_or_default();
    let mut contract: Contract = serde_json::from_value(page)
        .map_err(|error| CliError::Invalid(format!("cannot parse contract {id}: {error}")))?;
    apply_terms(&mut contract, terms)?;
    put_contract(&site, common, &contract, revision.unwrap_or(current)).await
}

/// Sets the terms that were given, and checks the contract.
fn apply_terms(contract: &mut Contract, terms: ContractTerms) -> Result<(), CliError> {
    set_if_given(&mut contract.in_flight_limit, terms.in_flight_limit);
    set_if_given(&mut contract.queue_limit, terms.queue_limit);
    set_if_given(&mut contract.urgency, terms.urgency);
    set_if_given(&mut contract.weight, terms.weight);
    set_if_given(&mut contract.overflow, terms.overflow);
    let hash = terms.contract_token_file.map(|file| hash_token(&file));
    set_if_given(&mut contract.token_hash, hash.transpose()?);
    contract
        .check()
        .map_err(|error| CliError::Invalid(error.to_string()))
}

fn set_if_given<T>(term: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *term = value;
    }
}

fn hash_token(path: &Path) -> Result<String, CliError> {
    Ok(Contract::hash_token(&read_token(path)?))
}

/// Writes a contract if its revision at the server is `expected`; 0 means that the
/// contract must not exist. Then waits until the change is in force.
async fn put_contract(
    site: &OperatorSite,
    common: &CommonOptions,
    contract: &Contract,
    expected: Revision,
) -> Result<Outcome, CliError> {
    let url = site.url(&format!("/v1/contracts/{}", contract.id));
    let body = serde_json::to_vec(contract).map_err(|e| CliError::Invalid(e.to_string()))?;
    let mut request = Request::new(Method::PUT, url, &site.token)
        .header("operation-id", Uuid::new_v4().to_string())
        .body(body);
    if expected > 0 {
        request = request.header("if-match", format!("\"{expected}\""));
    }
    let page = HttpClient::new().await?.send(request).await?.json()?;
    show_in_force(site, common, &format!("contract {}", contract.id), page).await
}
