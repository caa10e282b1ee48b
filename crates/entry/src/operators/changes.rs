//! Handlers for changes of contracts and drains.

use {
    crate::{
        callers::parse_json,
        operators::{OperatorHandle, change_headers::ChangeHeaders},
        problem::Problem,
        request_body::read_body,
    },
    chestnutrun_settings::RequestLimits,
    chestnutrun_table::{Change, ChangeResult, CurrentRow},
    chestnutrun_types::{Contract, DrainState, Revision, TableRow, TableWrite},
    ntex::{
        http::{StatusCode, header},
        web::{
            HttpRequest, HttpResponse,
            types::{Payload, State},
        },
    },
    serde::Serialize,
    serde_json::json,
    std::time::SystemTime,
};

/// Response to a change that was written.
#[derive(Debug, Serialize)]
struct ChangePage {
    /// New revision of the row.
    revision: Revision,
    /// Id of the operation, from the request or newly generated.
    operation: String,
}

/// Creates or changes a contract.
pub(crate) async fn put_contract(
    req: HttpRequest,
    payload: Payload,
    handle: State<OperatorHandle>,
) -> HttpResponse {
    let limits = RequestLimits::default();
    let service = handle.intakes.pages.begin(req.io());
    let body = read_body(&req, payload, &service, &limits).await;
    service.close();
    let row = handle
        .check_token(&req)
        .and(body)
        .and_then(|buf| read_contract(&req, &buf));
    write_row(&req, &handle, row.map(TableRow::Contract)).await
}

/// Drains an endpoint.
pub(crate) async fn drain(req: HttpRequest, handle: State<OperatorHandle>) -> HttpResponse {
    let row = drain_row(&req, DrainState::Draining);
    write_row(&req, &handle, handle.check_token(&req).map(|()| row)).await
}

/// Returns an endpoint to service.
pub(crate) async fn undrain(req: HttpRequest, handle: State<OperatorHandle>) -> HttpResponse {
    let row = drain_row(&req, DrainState::Serving);
    write_row(&req, &handle, handle.check_token(&req).map(|()| row)).await
}

/// Returns the latest changes of a contract.
pub(crate) async fn history(req: HttpRequest, handle: State<OperatorHandle>) -> HttpResponse {
    if let Err(problem) = handle.check_token(&req) {
        return problem.response();
    }
    let id = req.match_info().get("contract").unwrap_or_default();
    match handle.store.history(id.into()).await {
        Ok(entries) => HttpResponse::Ok().json(&json!({"contract": id, "changes": entries})),
        Err(error) => Problem::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "table-unavailable",
            error.to_string(),
        )
        .response(),
    }
}

fn read_contract(req: &HttpRequest, buf: &[u8]) -> Result<Contract, Problem> {
    let contract: Contract = parse_json(buf)?;
    if Some(&*contract.id) != req.match_info().get("contract") {
        return Err(bad_contract("the contract's id and the path differ"));
    }
    match contract.check() {
        Ok(()) => Ok(contract),
        Err(error) => Err(bad_contract(error.to_string())),
    }
}

fn bad_contract(detail: impl Into<String>) -> Problem {
    Problem::new(StatusCode::BAD_REQUEST, "bad-contract", detail)
}

fn drain_row(req: &HttpRequest, state: DrainState) -> TableRow {
    let endpoint = req.match_info().get("endpoint").unwrap_or_default();
    TableRow::Drain(endpoint.into(), state)
}

async fn write_row(
    req: &HttpRequest,
    handle: &OperatorHandle,
    row: Result<TableRow, Problem>,
) -> HttpResponse {
    let change = row.and_then(|row| new_change(req, row));
    match change {
        Ok(change) => write_change(handle, change).await,
        Err(problem) => problem.response(),
    }
}

fn new_change(req: &HttpRequest, row: TableRow) -> Result<Change, Problem> {
    let headers = ChangeHeaders::from_request(req)?;
    Ok(Change {
        write: TableWrite {
            row,
            expected: headers.expected,
        },
        operation: headers.operation,
        operator: headers.operator,
        at: SystemTime::now(),
    })
}

async fn write_change(handle: &OperatorHandle, change: Change) -> HttpResponse {
    let operation = change.operation.clone();
    let row = change.write.row.clone();
    match handle.store.change(change).await {
        ChangeResult::Accepted(revision) => {
            handle.apply_change(row, revision).await;
            HttpResponse::Ok()
                .header(header::ETAG, format!("\"{revision}\""))
                .json(&ChangePage {
                    revision,
                    operation,
                })
        }
        ChangeResult::Conflict(current) => conflict(current).response(),
        ChangeResult::Unknown => outcome_unknown(operation).response(),
    }
}

fn conflict(current: CurrentRow) -> Problem {
    let detail = "If-Match does not name the present revision; nothing was written";
    let mut problem = Problem::new(StatusCode::CONFLICT, "conflict", detail)
        .with("present_revision", current.revision);
    if let Some(contract) = current.contract {
        problem = problem.with("present", json!(contract));
    }
    if let Some(drain) = current.drain {
        problem = problem.with("present", json!(drain));
    }
    problem
}

fn outcome_unknown(operation: String) -> Problem {
    let detail = "the table gave no answer, so the change may be written or not; \
                  send the same request again with this operation id";
    Problem::new(StatusCode::SERVICE_UNAVAILABLE, "outcome-unknown", detail)
        .maybe_run()
        .with("operation", operation)
}
