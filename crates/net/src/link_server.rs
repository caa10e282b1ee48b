//! Accepts links from agents and other entries.

use {
    crate::{
        LinkError, LinkEvent, LinkIds, LinkIntake, PeerName,
        link::{LinkTiming, OPEN_TIMEOUT, Received, read_frame, run_link, socket_config},
    },
    chestnutrun_protocol::{Message, PROTOCOL},
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::mpsc::Sender,
        time::timeout,
    },
    tokio_tungstenite::{
        accept_hdr_async_with_config,
        tungstenite::{
            handshake::server::{ErrorResponse, Request, Response},
            http::{HeaderValue, StatusCode, header},
        },
    },
};

/// Delay before the next accept after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Settings of a link server.
#[derive(Clone, Debug)]
pub struct LinkServerConf {
    /// Secret that all processes of the site share, checked in the handshake.
    pub site_token: Rc<str>,
    /// Allocates the numbers of links.
    pub ids: LinkIds,
    /// Probe interval and silence limit of the links.
    pub timing: LinkTiming,
    /// Receives the events of all links.
    pub events: Sender<LinkEvent>,
}

/// Accepts links until the process ends, within the limits of an intake.
pub async fn serve_links(listener: TcpListener, cfg: LinkServerConf, intake: LinkIntake) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let (cfg, intake) = (cfg.clone(), intake.clone());
                ntex::rt::spawn(async move { serve_link(stream, peer, &cfg, &intake).await });
            }
            Err(error) => {
                log::warn!("link not accepted: {error}; retrying after a delay");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Opens an accepted link and runs it until it ends.
async fn serve_link(
    stream: TcpStream,
    peer: SocketAddr,
    cfg: &LinkServerConf,
    intake: &LinkIntake,
) {
    let mut handshake = intake.begin();
    let opened = tokio::select! {
        opened = timeout(OPEN_TIMEOUT, open(stream, cfg)) => {
            opened.unwrap_or(Err(LinkError::Silent))
        }
        () = handshake.until_yielded() => Err(LinkError::Yielded),
    };
    handshake.close(opened.is_ok());
    match opened {
        Ok((socket, name)) => {
            let error = run_link(cfg.ids.next(), socket, name, cfg.timing, &cfg.events).await;
            log::info!("link from {peer} ended: {error}");
        }
        // Anybody can bring this about, so it is only counted at other levels.
        Err(error) => log::debug!("link from {peer} not opened: {error}"),
    }
}

async fn open(
    stream: TcpStream,
    cfg: &LinkServerConf,
) -> Result<(crate::link::Socket, PeerName), LinkError> {
    stream.set_nodelay(true)?;
    let token = cfg.site_token.clone();
    #[allow(clippy::result_large_err)] // the websocket library defines the error type
    let check = |req: &Request, res: Response| check_handshake(req, res, &token);
    let mut socket = accept_hdr_async_with_config(stream, check, Some(socket_config())).await?;
    match read_frame(&mut socket, OPEN_TIMEOUT).await? {
        Received::Message(Message::Hello(hello)) => Ok((socket, PeerName::Accepted(hello))),
        _ => Err(LinkError::NoHello),
    }
}

#[allow(clippy::result_large_err)] // the websocket library defines the error type
fn check_handshake(
    req: &Request,
    mut res: Response,
    token: &str,
) -> Result<Response, ErrorResponse> {
    let header = |name| req.headers().get(name).and_then(|v| v.to_str().ok());
    if header(header::SEC_WEBSOCKET_PROTOCOL) != Some(PROTOCOL) {
        return Err(refuse(
            StatusCode::UPGRADE_REQUIRED,
            "unknown protocol version",
        ));
    }
    let sent = header(header::AUTHORIZATION).unwrap_or_default();
    if !is_equal(sent.as_bytes(), format!("Bearer {token}").as_bytes()) {
        return Err(refuse(
            StatusCode::UNAUTHORIZED,
            "not a process of this site",
        ));
    }
    res.headers_mut().insert(
        header::SEC_WEBSOCKET_PROTOCOL,
        HeaderValue::from_static(PROTOCOL),
    );
    Ok(res)
}

/// Compares secrets in constant time, so that the duration does not reveal where
/// they differ.
fn is_equal(a: &[u8], b: &[u8]) -> bool {
    subtle::ConstantTimeEq::ct_eq(a, b).into()
}

fn refuse(status: StatusCode, reason: &str) -> ErrorResponse {
    let mut res = ErrorResponse::new(Some(reason.to_owned()));
    *res.status_mut() = status;
    res
}
