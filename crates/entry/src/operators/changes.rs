//! Changes of contracts and drains.

use {
    crate::{
        callers::parse,
        operators::{Desk, conditions::Conditions},
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

/// A change that was written.
#[derive(Debug, Serialize)]
struct ChangePage {
    /// Revision of the row from now on.
    revision: Revision,
    /// Id of the operation.
    operation: String,
}

/// Creates or changes a contract.
pub(crate) async fn put_contract(
    req: HttpRequest,
    payload: Payload,
    desk: State<Desk>,
) -> HttpResponse {
    let limits = RequestLimits::default();
    let body = read_body(&req, payload, &limits).await;
    let row = desk
        .check(&req)
        .and(body)
        .and_then(|buf| contract(&req, &buf));
    answer(&req, &desk, row.map(TableRow::Contract)).await
}

/// Drains an endpoint.
pub(crate) async fn drain(req: HttpRequest, desk: State<Desk>) -> HttpResponse {
    let row = drain_row(&req, DrainState::Draining);
    answer(&req, &desk, desk.check(&req).map(|()| row)).await
}

/// Returns an endpoint to service.
pub(crate) async fn undrain(req: HttpRequest, desk: State<Desk>) -> HttpResponse {
    let row = drain_row(&req, DrainState::Serving);
    answer(&req, &desk, desk.check(&req).map(|()| row)).await
}

/// Shows the latest changes of a contract.
pub(crate) async fn history(req: HttpRequest, desk: State<Desk>) -> HttpResponse {
    if let Err(problem) = desk.check(&req) {
        return problem.response();
    }
    let id = req.match_info().get("contract").unwrap_or_default();
    match desk.store.history(id.into()).await {
        Ok(entries) => HttpResponse::Ok().json(&json!({"contract": id, "changes": entries})),
        Err(error) => Problem::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "table-unavailable",
            error.to_string(),
        )
        .response(),
    }
}

fn contract(req: &HttpRequest, buf: &[u8]) -> Result<Contract, Problem> {
    let contract: Contract = parse(buf)?;
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

async fn answer(req: &HttpRequest, desk: &Desk, row: Result<TableRow, Problem>) -> HttpResponse {
    let change = row.and_then(|row| change(req, row));
    match change {
        Ok(change) => write(desk, change).await,
        Err(problem) => problem.response(),
    }
}

fn change(req: &HttpRequest, row: TableRow) -> Result<Change, Problem> {
    let conditions = Conditions::read(req)?;
    Ok(Change {
        write: TableWrite {
            row,
            expected: conditions.expected,
        },
        operation: conditions.operation,
        operator: conditions.operator,
        at: SystemTime::now(),
    })
}

async fn write(desk: &Desk, change: Change) -> HttpResponse {
    let operation = change.operation.clone();
    let row = change.write.row.clone();
    match desk.store.change(change).await {
        ChangeResult::Accepted(revision) => {
            desk.tell(row, revision).await;
            HttpResponse::Ok()
                .header(header::ETAG, format!("\"{revision}\""))
                .json(&ChangePage {
                    revision,
                    operation,
                })
        }
        ChangeResult::Conflict(present) => conflict(present).response(),
        ChangeResult::Unknown => unknown(operation).response(),
    }
}

fn conflict(present: CurrentRow) -> Problem {
    let detail = "If-Match does not name the present revision; nothing was written";
    let mut problem = Problem::new(StatusCode::CONFLICT, "conflict", detail)
        .with("present_revision", present.revision);
    if let Some(contract) = present.contract {
        problem = problem.with("present", json!(contract));
    }
    if let Some(drain) = present.drain {
        problem = problem.with("present", json!(drain));
    }
    problem
}

fn unknown(operation: String) -> Problem {
    let detail = "the table gave no answer, so the change may be written or not; \
                  send the same request again with this operation id";
    Problem::new(StatusCode::SERVICE_UNAVAILABLE, "outcome-unknown", detail)
        .maybe_run()
        .with("operation", operation)
}
