//! HTTP server for operators: health, metrics, status and recent events.

use {
    crate::event::{Event, Page},
    chestnutrun_net::{HttpLimits, SharedIntake, http_config, serve_http_within},
    ntex::{
        http::StatusCode,
        web::{self, App, HttpResponse, types::State},
    },
    std::time::Duration,
    tokio::{
        net::TcpListener,
        sync::{mpsc::Sender, oneshot},
    },
};

/// HTTP limits of the operators' address.
const LIMITS: HttpLimits = HttpLimits {
    head_timeout: Duration::from_secs(5),
    keep_alive: Duration::from_secs(5),
    max_headers: 64,
};

/// Serves the operators' pages until the process ends.
pub(crate) async fn serve(listener: TcpListener, tx: Sender<Event>, intake: SharedIntake) {
    let page = |page: Page| {
        web::get().to(
            move |tx: State<Sender<Event>>, intake: State<SharedIntake>| async move {
                respond(&tx, &intake, page).await
            },
        )
    };
    let app = App::new()
        .state(tx)
        .state(intake.clone())
        .route("/live", page(Page::Live))
        .route("/ready", page(Page::Ready))
        .route("/metrics", page(Page::Metrics))
        .route("/status", page(Page::Status))
        .route("/timeline", page(Page::Timeline));
    serve_http_within(listener, app, http_config("operators", LIMITS), intake).await;
}

async fn respond(tx: &Sender<Event>, intake: &SharedIntake, page: Page) -> HttpResponse {
    let is_metrics = matches!(page, Page::Metrics);
    let (reply_tx, reply_rx) = oneshot::channel();
    if tx.send(Event::Page(page, reply_tx)).await.is_err() {
        return HttpResponse::ServiceUnavailable().finish();
    }
    match reply_rx.await {
        Ok((status, mut body)) => {
            if is_metrics {
                body.push_str(&intake.metrics("pages"));
            }
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
            HttpResponse::build(status).body(body)
        }
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}
