//! A stand-in for an endpoint: an HTTP server that simulates runs of tasks.

use {
    crate::standins::{StartLog, StartRecord, table::LIMITS},
    chestnutrun_agent::{RunReply, RunRequest},
    chestnutrun_net::{http_config, serve_http},
    ntex::web::{
        self, App, HttpResponse,
        types::{Json, JsonConfig, State},
    },
    serde::{Deserialize, Serialize},
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::{Duration, SystemTime},
    },
    tokio::{net::TcpListener, time::sleep},
};

/// Largest body of a request, in bytes.
const MAX_REQUEST_BYTES: usize = 16 * 1024 * 1024;

/// Fault that the endpoint simulates.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointFault {
    /// No fault.
    #[default]
    None,
    /// Every task starts and fails at once.
    FailsAll,
    /// Every request is refused before its task starts.
    RefusesAll,
}

/// Input of a task, which tells the stand-in how the task runs and ends.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct RunInput {
    /// Actual run time of the task, in milliseconds.
    pub run_ms: u64,
    /// Least length of the output, in bytes; a shorter output is padded.
    pub output_bytes: usize,
    /// Whether the task fails after its run time.
    pub fails: bool,
}

#[derive(Clone, Debug)]
struct Endpoint {
    slots: u32,
    running: Rc<Cell<u32>>,
    log: Rc<RefCell<StartLog>>,
    fault: Rc<Cell<EndpointFault>>,
}

/// Serves the endpoint until the process ends.
///
/// # Errors
/// Returns an error if the endpoint cannot listen on `listen`.
pub async fn run(listen: SocketAddr, slots: u32) -> std::io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    let endpoint = Endpoint {
        slots,
        running: Rc::default(),
        log: Rc::default(),
        fault: Rc::default(),
    };
    let app = App::new()
        .state(endpoint)
        .state(JsonConfig::default().limit(MAX_REQUEST_BYTES))
        .route("/run", web::post().to(start))
        .route("/starts", web::get().to(starts))
        .route("/fault", web::put().to(set_fault));
    serve_http(listener, app, http_config("endpoint", LIMITS)).await;
    Ok(())
}

async fn start(body: Json<RunRequest>, endpoint: State<Endpoint>) -> HttpResponse {
    let endpoint: Endpoint = (*endpoint).clone();
    let request = body.into_inner();
    let fault = endpoint.fault.get();
    if fault == EndpointFault::RefusesAll || endpoint.running.get() >= endpoint.slots {
        return HttpResponse::ServiceUnavailable().finish();
    }
    endpoint.record_start(&request);
    // A separate async task, so that the run continues if the agent disconnects.
    let run = ntex::rt::spawn(async move {
        let reply = run_task(&request, fault).await;
        endpoint.running.set(endpoint.running.get() - 1);
        reply
    });
    match run.await {
        Ok(reply) => HttpResponse::Ok().json(&reply),
        Err(_) => HttpResponse::InternalServerError().finish(),
    }
}

async fn run_task(request: &RunRequest, fault: EndpointFault) -> RunReply {
    if fault == EndpointFault::FailsAll {
        return RunReply::Failed("the endpoint is broken".to_owned());
    }
    let input: RunInput = serde_json::from_str(&request.input).unwrap_or_default();
    sleep(Duration::from_millis(input.run_ms)).await;
    if input.fails {
        return RunReply::Failed("the task failed".to_owned());
    }
    let mut output = format!("done {}", request.task);
    while output.len() < input.output_bytes {
        output.push('.');
    }
    RunReply::Completed(output)
}

async fn starts(endpoint: State<Endpoint>) -> HttpResponse {
    HttpResponse::Ok().json(&*endpoint.log.borrow())
}

async fn set_fault(body: Json<EndpointFault>, endpoint: State<Endpoint>) -> HttpResponse {
    endpoint.fault.set(body.into_inner());
    HttpResponse::NoContent().finish()
}

impl Endpoint {
    fn record_start(&self, request: &RunRequest) {
        let running = self.running.get() + 1;
        self.running.set(running);
        let mut log = self.log.borrow_mut();
        log.most_at_once = log.most_at_once.max(running);
        log.starts.push(StartRecord {
            task: request.task.clone(),
            at: SystemTime::now(),
        });
    }
}
