//! A stand-in for the platform's transactional table: an HTTP server that keeps
//! the rows in memory.

use {
    crate::standins::TableState,
    chestnutrun_net::{HttpLimits, http_config, serve_http},
    chestnutrun_table::Transaction,
    ntex::{
        http::StatusCode,
        web::{
            self, App, HttpResponse,
            types::{Json, Query, State},
        },
    },
    serde::{Deserialize, Serialize},
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{net::TcpListener, time::sleep},
};

/// HTTP limits of the stand-ins for the table and for endpoints.
pub(crate) const LIMITS: HttpLimits = HttpLimits {
    head_timeout: Duration::from_secs(30),
    keep_alive: Duration::from_mins(10),
    max_headers: 64,
};

/// How long a request without an answer stays open before it fails with 503.
const NO_ANSWER_DELAY: Duration = Duration::from_secs(5);

/// Fault that the table simulates.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TableFault {
    /// No fault.
    #[default]
    None,
    /// Every request fails at once with 503.
    Refusing,
    /// No request takes effect; each fails after 5 seconds.
    Silent,
    /// Every request takes effect after a delay, in milliseconds.
    Slow(u64),
    /// Writes take effect, but each fails after 5 seconds; reads are answered.
    LosesAnswers,
}

#[derive(Clone, Debug, Default)]
struct Table {
    state: Rc<RefCell<TableState>>,
    fault: Rc<Cell<TableFault>>,
    reads: Rc<Cell<u64>>,
    writes: Rc<Cell<u64>>,
}

#[derive(Debug, Default, Deserialize)]
struct RowsQuery {
    #[serde(default)]
    prefix: String,
}

/// Serves the table until the process ends.
///
/// # Errors
/// Returns an error if the table cannot listen on `listen`.
pub async fn run(listen: SocketAddr) -> std::io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    let app = App::new()
        .state(Table::default())
        .route("/rows", web::get().to(rows))
        .route("/transactions", web::post().to(transact))
        .route("/counts", web::get().to(counts))
        .route("/fault", web::put().to(set_fault));
    serve_http(listener, app, http_config("table", LIMITS)).await;
    Ok(())
}

async fn rows(query: Query<RowsQuery>, table: State<Table>) -> HttpResponse {
    table.reads.set(table.reads.get() + 1);
    if let Some(res) = table.simulate_fault().await {
        return res;
    }
    HttpResponse::Ok().json(&table.state.borrow().rows(&query.prefix))
}

async fn transact(body: Json<Transaction>, table: State<Table>) -> HttpResponse {
    table.writes.set(table.writes.get() + 1);
    if let Some(res) = table.simulate_fault().await {
        return res;
    }
    let result = table.state.borrow_mut().transact(body.into_inner());
    if table.fault.get() == TableFault::LosesAnswers {
        sleep(NO_ANSWER_DELAY).await;
        return HttpResponse::ServiceUnavailable().finish();
    }
    match result {
        Ok(reply) => HttpResponse::Ok().json(&reply),
        Err(conflict) => HttpResponse::build(StatusCode::CONFLICT).json(&conflict),
    }
}

async fn counts(table: State<Table>) -> HttpResponse {
    HttpResponse::Ok().json(&serde_json::json!({
        "reads": table.reads.get(),
        "writes": table.writes.get(),
    }))
}

async fn set_fault(body: Json<TableFault>, table: State<Table>) -> HttpResponse {
    table.fault.set(body.into_inner());
    HttpResponse::NoContent().finish()
}

impl Table {
    /// Applies the fault to a request: waits if it delays the request, and returns
    /// the response if it makes the request fail.
    async fn simulate_fault(&self) -> Option<HttpResponse> {
        match self.fault.get() {
            TableFault::None | TableFault::LosesAnswers => None,
            TableFault::Refusing => Some(HttpResponse::ServiceUnavailable().finish()),
            TableFault::Silent => {
                sleep(NO_ANSWER_DELAY).await;
                Some(HttpResponse::ServiceUnavailable().finish())
            }
            TableFault::Slow(milliseconds) => {
                sleep(Duration::from_millis(milliseconds)).await;
                None
            }
        }
    }
}
