//! HTTP listeners, served on the process's single event loop.

use {
    crate::request_fault::{FaultResponse, answer_control, plain_fault},
    ntex::{
        SharedCfg,
        connect::rustls::TlsAcceptor,
        http::{HttpService, HttpServiceConfig, Request, error::DispatchError, h1::Control},
        io::{Filter, Io},
        service::{IntoServiceFactory, ServiceFactory, fn_service},
        time::Seconds,
        web::{WebResponse, error::ErrorContainer},
    },
    rustls::ServerConfig,
    std::{fmt, io, sync::Arc, time::Duration},
    tokio::net::TcpListener,
};

/// Delay before the next accept after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Limits that an HTTP listener sets for its connections.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// How long a client may take to send the head of a request.
    pub head_timeout: Duration,
    /// How long an idle connection stays open.
    pub keep_alive: Duration,
    /// Most headers of a request.
    pub max_headers: usize,
}

/// Creates the configuration of a listener named `name`.
#[must_use]
pub fn http_config(name: &'static str, limits: HttpLimits) -> SharedCfg {
    let service = HttpServiceConfig::new()
        .set_max_headers(limits.max_headers)
        .set_keepalive(seconds(limits.keep_alive))
        .set_client_timeout(seconds(limits.head_timeout));
    SharedCfg::new(name).add(service).into()
}

/// Serves an application over plain HTTP until the process ends.
pub async fn serve_http<S, U, E>(listener: TcpListener, app: U, cfg: SharedCfg)
where
    U: IntoServiceFactory<S, Request, SharedCfg>,
    S: ServiceFactory<Request, SharedCfg, Response = WebResponse, Error = E, InitError = ()>
        + 'static,
    E: ErrorContainer + 'static,
{
    let conf = ServeConf {
        cfg,
        fault_response: plain_fault,
        tls: None,
    };
    serve_http_with(listener, app, conf).await;
}

/// Settings of [`serve_http_with`].
#[derive(Clone, Debug)]
pub struct ServeConf {
    /// Configuration of the listener, from [`http_config`].
    pub cfg: SharedCfg,
    /// Creates the responses to requests that do not reach the application.
    pub fault_response: FaultResponse,
    /// Configuration of TLS; none serves plain HTTP.
    pub tls: Option<Arc<ServerConfig>>,
}

/// Serves an application over HTTP or HTTPS until the process ends.
pub async fn serve_http_with<S, U, E>(listener: TcpListener, app: U, conf: ServeConf)
where
    U: IntoServiceFactory<S, Request, SharedCfg>,
    S: ServiceFactory<Request, SharedCfg, Response = WebResponse, Error = E, InitError = ()>
        + 'static,
    E: ErrorContainer + 'static,
{
    let ServeConf {
        cfg,
        fault_response,
        tls,
    } = conf;
    let app = app.into_factory();
    match tls {
        None => accept(listener, http_service(app, fault_response), cfg).await,
        Some(tls) => {
            let http = http_service(app, fault_response).map_err(|e| format!("{e:?}"));
            let acceptor = TlsAcceptor::new(tls).map_err(|e: io::Error| e.to_string());
            accept(listener, acceptor.and_then(http), cfg).await;
        }
    }
}

fn http_service<F, S, E>(
    app: S,
    fault_response: FaultResponse,
) -> impl ServiceFactory<Io<F>, SharedCfg, Response = (), Error = DispatchError, InitError = ()>
where
    F: Filter,
    S: ServiceFactory<Request, SharedCfg, Response = WebResponse, Error = E, InitError = ()>
        + 'static,
    E: ErrorContainer + 'static,
{
    let on_control = move |message: Control<F, E>| async move {
        Ok::<_, io::Error>(answer_control(message, fault_response))
    };
    HttpService::new(app).h1_control(fn_service(on_control))
}

/// Accepts connections and serves each in a task of its own.
async fn accept<S>(listener: TcpListener, factory: S, cfg: SharedCfg)
where
    S: ServiceFactory<Io, SharedCfg, Response = ()> + 'static,
    S::Error: fmt::Debug,
{
    let Ok(pipeline) = factory.pipeline(cfg.clone()).await else {
        log::error!("HTTP application could not be built; the listener serves no requests");
        return;
    };
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("HTTP connection not accepted: {error}; retrying after a delay");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let io = stream
            .into_std()
            .and_then(|stream| ntex::rt::from_tcp_stream(stream, cfg.clone()));
        match io {
            Ok(io) => {
                let pipeline = pipeline.clone();
                ntex::rt::spawn(async move { log_error(pipeline.call(io).await) });
            }
            Err(error) => log::warn!("HTTP connection dropped before it was served: {error}"),
        }
    }
}

fn log_error<E: fmt::Debug>(result: Result<(), E>) {
    if let Err(error) = result {
        log::debug!("HTTP connection ended with an error: {error:?}");
    }
}

fn seconds(duration: Duration) -> Seconds {
    Seconds::new(u16::try_from(duration.as_secs().max(1)).unwrap_or(u16::MAX))
}
