//! HTTP routes of callers.

use {
    crate::{
        callers::{
            CallerHandle,
            submission::{bad_job, read_submission},
        },
        event::Event,
        listener::Listener,
        problem::{Problem, method_not_allowed, not_found},
        request_body::{discard_body, refuse_unread},
    },
    chestnutrun_net::RequestService,
    chestnutrun_settings::RequestLimits,
    chestnutrun_types::{JobRef, JobSpec},
    ntex::{
        http::{StatusCode, header},
        web::{
            self, App, HttpRequest, HttpResponse,
            types::{Payload, Query, State},
        },
    },
    serde::Deserialize,
    std::{cell::Cell, rc::Rc, time::Duration},
    tokio::sync::mpsc::Sender,
};

/// Prefix of the header `Authorization`, before the token.
const BEARER_PREFIX: &str = "Bearer ";

/// Query string of a request, with the longest time to wait for the job's answer.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct WaitQuery {
    #[serde(default, with = "humantime_serde")]
    wait: Option<Duration>,
}

/// Serves callers until the process ends.
pub(crate) async fn serve(listener: Listener, tx: Sender<Event>, limits: RequestLimits) {
    let handle = CallerHandle {
        tx,
        limits,
        last_waiter: Rc::new(Cell::new(0)),
        intake: listener.intake.clone(),
    };
    let app = App::new()
        .state(handle)
        .service(
            web::resource("/v1/contracts/{contract}/jobs")
                .route(web::post().to(submit))
                .default_service(web::to(post_only)),
        )
        .service(
            web::resource("/v1/contracts/{contract}/jobs/{key}")
                .route(web::get().to(query))
                .route(web::delete().to(cancel))
                .default_service(web::to(get_or_delete)),
        )
        .default_service(web::to(unknown_path));
    listener.serve(app).await;
}

async fn post_only(
    req: HttpRequest,
    payload: Payload,
    handle: State<CallerHandle>,
) -> HttpResponse {
    refuse_unread(&req, payload, &handle.intake, method_not_allowed("POST")).await
}

async fn get_or_delete(
    req: HttpRequest,
    payload: Payload,
    handle: State<CallerHandle>,
) -> HttpResponse {
    refuse_unread(
        &req,
        payload,
        &handle.intake,
        method_not_allowed("GET, DELETE"),
    )
    .await
}

async fn unknown_path(
    req: HttpRequest,
    payload: Payload,
    handle: State<CallerHandle>,
) -> HttpResponse {
    refuse_unread(&req, payload, &handle.intake, not_found()).await
}

async fn submit(req: HttpRequest, payload: Payload, handle: State<CallerHandle>) -> HttpResponse {
    let service = handle.intake.begin(req.io());
    let result = try_submit(&req, payload, &handle, &service).await;
    service.close();
    result.unwrap_or_else(|problem| problem.response())
}

async fn try_submit(
    req: &HttpRequest,
    payload: Payload,
    handle: &CallerHandle,
    service: &RequestService,
) -> Result<HttpResponse, Problem> {
    let contract = path_segment(req, "contract");
    let submit = read_submission(req, contract, payload, service, &handle.limits).await;
    let wait = wait_time(req)?.unwrap_or(handle.limits.longest_wait);
    let submit = submit?;
    handle.submit(bearer_token(req), submit, wait).await
}

async fn query(req: HttpRequest, payload: Payload, handle: State<CallerHandle>) -> HttpResponse {
    let service = handle.intake.begin(req.io());
    discard_body(&req, payload, &service).await;
    let result = try_query(&req, &handle).await;
    service.close();
    result.unwrap_or_else(|problem| problem.response())
}

async fn try_query(req: &HttpRequest, handle: &CallerHandle) -> Result<HttpResponse, Problem> {
    let wait = wait_time(req).map_err(Problem::maybe_run)?;
    let job = job_ref(req)?;
    handle
        .query(bearer_token(req), job, wait.unwrap_or_default())
        .await
}

async fn cancel(req: HttpRequest, payload: Payload, handle: State<CallerHandle>) -> HttpResponse {
    let service = handle.intake.begin(req.io());
    discard_body(&req, payload, &service).await;
    let result = try_cancel(&req, &handle).await;
    service.close();
    result.unwrap_or_else(|problem| problem.response())
}

async fn try_cancel(req: &HttpRequest, handle: &CallerHandle) -> Result<HttpResponse, Problem> {
    let job = job_ref(req)?;
    handle.cancel(bearer_token(req), job).await
}

fn wait_time(req: &HttpRequest) -> Result<Option<Duration>, Problem> {
    match Query::<WaitQuery>::from_query(req.query_string()) {
        Ok(query) => Ok(query.wait),
        Err(error) => Err(Problem::new(
            StatusCode::BAD_REQUEST,
            "bad-query",
            format!("{error}; the query has at most `wait`, such as `wait=2s`"),
        )),
    }
}

fn job_ref(req: &HttpRequest) -> Result<JobRef, Problem> {
    let key = path_segment(req, "key");
    JobSpec::check_key(key).map_err(|error| bad_job(&error).maybe_run())?;
    Ok(JobRef {
        contract: path_segment(req, "contract").into(),
        key: key.into(),
    })
}

fn path_segment<'a>(req: &'a HttpRequest, name: &str) -> &'a str {
    req.match_info().get(name).unwrap_or_default()
}

fn bearer_token(req: &HttpRequest) -> &str {
    let value = req.headers().get(header::AUTHORIZATION);
    let text = value.and_then(|v| v.to_str().ok()).unwrap_or_default();
    text.strip_prefix(BEARER_PREFIX).unwrap_or_default()
}
