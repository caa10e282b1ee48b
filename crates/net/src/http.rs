//! HTTP listeners, served on the process's single event loop.

use {
    crate::{
        SharedIntake,
        request_fault::{FaultResponse, answer_control, plain_fault},
    },
    ntex::{
        SharedCfg,
        connect::rustls::TlsAcceptor,
        http::{
            ConnectionType, HttpService, HttpServiceConfig, Request, error::DispatchError,
            h1::Control,
        },
        io::{Filter, Io, IoConfig, IoRef},
        service::{
            IntoServiceFactory, ServiceFactory, apply_fn_factory, dev::ApplyCtx, fn_service,
        },
        time::Seconds,
        tls::max_concurrent_ssl_accept,
        util::BytePageSize,
        web::{WebResponse, error::ErrorContainer},
    },
    rustls::ServerConfig,
    std::{fmt, future::pending, io, sync::Arc, time::Duration},
    tokio::{net::TcpListener, task::yield_now},
};

/// Delay before the next accept after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Longest head of a request, in bytes; half as much again as the users' sites allow.
pub(crate) const MAX_HEAD_BYTES: usize = 24 * 1024;

/// Size of a connection's read buffer, in bytes; most requests arrive with one read. It
/// also bounds the pieces of a body that wait to be taken: at 6 bytes for the shortest
/// chunk, 1,024.
pub(crate) const READ_BUFFER_BYTES: usize = 6 * 1024 - 24;

/// Unused bytes of a read buffer below which it is replaced.
const MIN_READ_BYTES: usize = 512;

/// Read buffers that a listener keeps for the next connections.
const KEPT_READ_BUFFERS: usize = 32;

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
        .set_client_timeout(seconds(limits.head_timeout))
        .set_max_buf_size(MAX_HEAD_BYTES);
    let io = IoConfig::new()
        .set_read_buf(READ_BUFFER_BYTES, MIN_READ_BYTES, KEPT_READ_BUFFERS)
        .set_write_page_size(BytePageSize::Size4);
    SharedCfg::new(name).add(service).add(io).into()
}

/// Serves an application over plain HTTP until the process ends, with an intake of its
/// own; for stand-ins, whose clients keep to the limits.
pub async fn serve_http<S, U, E>(listener: TcpListener, app: U, cfg: SharedCfg)
where
    U: IntoServiceFactory<S, Request, SharedCfg>,
    S: ServiceFactory<Request, SharedCfg, Response = WebResponse, Error = E, InitError = ()>
        + 'static,
    E: ErrorContainer + 'static,
{
    serve_http_within(listener, app, cfg, SharedIntake::default()).await;
}

/// Serves an application over plain HTTP until the process ends, within the limits of an
/// intake.
pub async fn serve_http_within<S, U, E>(
    listener: TcpListener,
    app: U,
    cfg: SharedCfg,
    intake: SharedIntake,
) where
    U: IntoServiceFactory<S, Request, SharedCfg>,
    S: ServiceFactory<Request, SharedCfg, Response = WebResponse, Error = E, InitError = ()>
        + 'static,
    E: ErrorContainer + 'static,
{
    let conf = ServeConf {
        cfg,
        fault_response: plain_fault,
        intake,
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
    /// Bounds connections and the bytes that are held for them.
    pub intake: SharedIntake,
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
        intake,
        tls,
    } = conf;
    let app = app.into_factory();
    match tls {
        None => {
            let http = http_service(app, fault_response, intake.clone());
            accept(listener, http, cfg, intake).await;
        }
        Some(tls) => {
            // By default the listeners of a process share 256 handshakes, for which all
            // others wait. Handshakes are connections, and the intake bounds those.
            max_concurrent_ssl_accept(usize::MAX);
            let http = http_service(app, fault_response, intake.clone());
            let http = http.map_err(|e| format!("{e:?}"));
            let acceptor = TlsAcceptor::new(tls).map_err(|e: io::Error| e.to_string());
            accept(listener, acceptor.and_then(http), cfg, intake).await;
        }
    }
}

fn http_service<F, S, E>(
    app: S,
    fault_response: FaultResponse,
    intake: SharedIntake,
) -> impl ServiceFactory<Io<F>, SharedCfg, Response = (), Error = DispatchError, InitError = ()>
where
    F: Filter,
    S: ServiceFactory<Request, SharedCfg, Response = WebResponse, Error = E, InitError = ()>
        + 'static,
    E: ErrorContainer + 'static,
{
    let places = intake.clone();
    let app = apply_fn_factory(app, async move |req: Request, app: &ApplyCtx<'_, _>| {
        if places.is_yielding(req.io()) {
            return close_unserved(&req).await;
        }
        let mut res: WebResponse = app.call(req).await?;
        if has_next_request(res.request().io()) {
            // Behind whatever has arrived on other connections and links meanwhile.
            yield_now().await;
        }
        if places.yields_after_response(res.request().io()) {
            let head = res.response_mut().head_mut();
            head.set_connection_type(ConnectionType::Close);
        }
        Ok::<_, E>(res)
    });
    let on_control = move |message: Control<F, E>| {
        let answer = answer_control(message, fault_response, &intake);
        async move { Ok::<_, io::Error>(answer) }
    };
    HttpService::new(app).h1_control(fn_service(on_control))
}

/// Returns whether a client has sent more behind a request whose response was not sent yet.
fn has_next_request(io: Option<&IoRef>) -> bool {
    io.is_some_and(|io| io.with_read_buf(|buf| !buf.is_empty()))
}

/// Closes a connection once its responses have left, and never returns: the library would
/// serve requests that came behind the one whose response said that the connection closes.
async fn close_unserved<T>(req: &Request) -> T {
    if let Some(io) = req.io() {
        io.close();
    }
    pending().await
}

/// Accepts connections and serves each in a task of its own.
async fn accept<S>(listener: TcpListener, factory: S, cfg: SharedCfg, intake: SharedIntake)
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
        intake.until_place().await;
        let io = stream
            .into_std()
            .and_then(|stream| ntex::rt::from_tcp_stream(stream, cfg.clone()));
        match io {
            Ok(io) => {
                let (pipeline, intake) = (pipeline.clone(), intake.clone());
                let io_id = io.id();
                let id = intake.open(&io.get_ref());
                ntex::rt::spawn(async move {
                    log_error(pipeline.call(io).await);
                    // The library's tasks close the descriptor when they run next.
                    tokio::task::yield_now().await;
                    intake.close(id, io_id);
                });
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
