//! Serves an application over HTTP on one address.

use {
    crate::problem::Problem,
    chestnutrun_net::{
        HttpLimits, RequestFault, ServeConf, SharedIntake, http_config, serve_http_with,
    },
    ntex::{
        SharedCfg,
        http::{Request, Response, StatusCode},
        service::{IntoServiceFactory, ServiceFactory},
        web::{WebResponse, error::ErrorContainer},
    },
    rustls::ServerConfig,
    std::sync::Arc,
    tokio::net::TcpListener,
};

/// Listening socket and the settings of its HTTP server.
#[derive(Debug)]
pub(crate) struct Listener {
    /// Socket that accepts connections.
    pub(crate) socket: TcpListener,
    /// Name of the address in logs.
    pub(crate) name: &'static str,
    /// Limits of headers and of idle connections.
    pub(crate) limits: HttpLimits,
    /// Bounds connections and the bytes that are held for them.
    pub(crate) intake: SharedIntake,
    /// TLS configuration; none for plain HTTP.
    pub(crate) tls: Option<Arc<ServerConfig>>,
}

impl Listener {
    /// Serves an application until the process ends.
    pub(crate) async fn serve<S, U, E>(self, app: U)
    where
        U: IntoServiceFactory<S, Request, SharedCfg>,
        S: ServiceFactory<Request, SharedCfg, Response = WebResponse, Error = E, InitError = ()>
            + 'static,
        E: ErrorContainer + 'static,
    {
        let conf = ServeConf {
            cfg: http_config(self.name, self.limits),
            fault_response,
            intake: self.intake,
            tls: self.tls,
        };
        serve_http_with(self.socket, app, conf).await;
    }
}

/// Returns the response to a request that the HTTP server rejected before passing it
/// to the application.
fn fault_response(fault: RequestFault) -> Response {
    let (status, name, detail) = match fault {
        RequestFault::HeadTooLarge => (
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            "head-too-large",
            "the request has too many or too long headers",
        ),
        RequestFault::HeadTooSlow => (
            StatusCode::REQUEST_TIMEOUT,
            "head-too-slow",
            "the head of the request did not arrive in time",
        ),
        RequestFault::Malformed => (
            StatusCode::BAD_REQUEST,
            "bad-request",
            "the request is not valid HTTP",
        ),
    };
    Problem::new(status, name, detail).response()
}
