//! HTTP routes of operators.

use {
    crate::{
        listener::Listener,
        operators::{
            OperatorHandle, OperatorRequest,
            changes::{drain, history, put_contract, undrain},
        },
        problem::{method_not_allowed, not_found},
        request_body::refuse_unread,
    },
    chestnutrun_net::HttpLimits,
    ntex::web::{
        self, App, HttpRequest, HttpResponse,
        types::{Payload, State},
    },
    std::time::Duration,
};

/// HTTP limits of the operators' address.
pub(crate) const LIMITS: HttpLimits = HttpLimits {
    head_timeout: Duration::from_secs(5),
    keep_alive: Duration::from_secs(75),
    max_headers: 64,
};

/// Serves operators until the process ends.
pub(crate) async fn serve(listener: Listener, handle: OperatorHandle) {
    let public = |path: &str, request: OperatorRequest| {
        let page = web::get().to(move |handle: State<OperatorHandle>| {
            let request = request.clone();
            async move { handle.respond(request).await }
        });
        read_only(path, page)
    };
    let protected = |path: &str, request: OperatorRequest| {
        let page = web::get().to(move |req: HttpRequest, handle: State<OperatorHandle>| {
            let request = request.clone();
            async move { check_and_respond(&req, &handle, request).await }
        });
        read_only(path, page)
    };
    let app = App::new()
        .state(handle)
        .service(read_only("/live", web::get().to(live)))
        .service(public("/ready", OperatorRequest::Ready))
        .service(public("/metrics", OperatorRequest::Metrics))
        .service(protected("/v1/status", OperatorRequest::Status))
        .service(protected("/v1/timeline", OperatorRequest::Timeline))
        .service(protected("/v1/contracts", OperatorRequest::Contracts))
        .service(protected("/v1/endpoints", OperatorRequest::Endpoints))
        .service(
            web::resource("/v1/contracts/{contract}")
                .route(web::get().to(contract))
                .route(web::put().to(put_contract))
                .default_service(web::to(get_or_put)),
        )
        .service(read_only(
            "/v1/contracts/{contract}/history",
            web::get().to(history),
        ))
        .service(
            web::resource("/v1/endpoints/{endpoint}/drain")
                .route(web::put().to(drain))
                .route(web::delete().to(undrain))
                .default_service(web::to(put_or_delete)),
        )
        .default_service(web::to(unknown_path));
    listener.serve(app).await;
}

/// Creates a resource that supports only GET.
fn read_only(path: &str, page: web::Route) -> web::Resource<web::DefaultError> {
    web::resource(path)
        .route(page)
        .default_service(web::to(get_only))
}

async fn live() -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; charset=utf-8")
        .body("live\n")
}

async fn contract(req: HttpRequest, handle: State<OperatorHandle>) -> HttpResponse {
    let id = req.match_info().get("contract").unwrap_or_default();
    let request = OperatorRequest::Contract(id.into());
    check_and_respond(&req, &handle, request).await
}

async fn check_and_respond(
    req: &HttpRequest,
    handle: &OperatorHandle,
    request: OperatorRequest,
) -> HttpResponse {
    match handle.check_token(req) {
        Ok(()) => handle.respond(request).await,
        Err(problem) => problem.response(),
    }
}

async fn get_only(
    req: HttpRequest,
    payload: Payload,
    handle: State<OperatorHandle>,
) -> HttpResponse {
    refuse_unread(
        &req,
        payload,
        &handle.intakes.pages,
        method_not_allowed("GET"),
    )
    .await
}

async fn get_or_put(
    req: HttpRequest,
    payload: Payload,
    handle: State<OperatorHandle>,
) -> HttpResponse {
    refuse_unread(
        &req,
        payload,
        &handle.intakes.pages,
        method_not_allowed("GET, PUT"),
    )
    .await
}

async fn put_or_delete(
    req: HttpRequest,
    payload: Payload,
    handle: State<OperatorHandle>,
) -> HttpResponse {
    refuse_unread(
        &req,
        payload,
        &handle.intakes.pages,
        method_not_allowed("PUT, DELETE"),
    )
    .await
}

async fn unknown_path(
    req: HttpRequest,
    payload: Payload,
    handle: State<OperatorHandle>,
) -> HttpResponse {
    refuse_unread(&req, payload, &handle.intakes.pages, not_found()).await
}
