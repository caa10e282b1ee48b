//! Accepts links from agents and other entries.

use {
    crate::{
        LinkError, LinkEvent, LinkIds, PeerName,
        link::{LinkTiming, OPENING_LIMIT, Received, read_frame, run_link, socket_config},
    },
    chestnutrun_protocol::{Message, PROTOCOL},
    std::{rc::Rc, time::Duration},
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

/// How long to wait after a link could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// What a server of links needs.
#[derive(Clone, Debug)]
pub struct LinkServerConf {
    /// Secret that every process of the site shares.
    pub site_token: Rc<str>,
    /// Hands out numbers of links.
    pub ids: LinkIds,
    /// How links are probed.
    pub timing: LinkTiming,
    /// Where events go.
    pub events: Sender<LinkEvent>,
}

/// Accepts links until the process ends.
pub async fn serve_links(listener: TcpListener, cfg: LinkServerConf) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let cfg = cfg.clone();
                ntex::rt::spawn(async move {
                    let error = serve_link(stream, &cfg).await;
                    log::info!("link from {peer} ended: {error}");
                });
            }
            Err(error) => {
                log::warn!("link not accepted: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_link(stream: TcpStream, cfg: &LinkServerConf) -> LinkError {
    match timeout(OPENING_LIMIT, open(stream, cfg)).await {
        Err(_) => LinkError::Silent,
        Ok(Err(error)) => error,
        Ok(Ok((socket, peer))) => {
            run_link(cfg.ids.next(), socket, peer, cfg.timing, &cfg.events).await
        }
    }
}

async fn open(
    stream: TcpStream,
    cfg: &LinkServerConf,
) -> Result<(crate::link::Socket, PeerName), LinkError> {
    stream.set_nodelay(true)?;
    let token = cfg.site_token.clone();
    #[allow(clippy::result_large_err)] // the library names the error
    let check = |req: &Request, res: Response| check_handshake(req, res, &token);
    let mut socket = accept_hdr_async_with_config(stream, check, Some(socket_config())).await?;
    match read_frame(&mut socket, OPENING_LIMIT).await? {
        Received::Message(Message::Hello(hello)) => Ok((socket, PeerName::Accepted(hello))),
        _ => Err(LinkError::NoHello),
    }
}

#[allow(clippy::result_large_err)] // the library names the error
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

/// Compares in a time that does not depend on where the bytes differ.
fn is_equal(a: &[u8], b: &[u8]) -> bool {
    subtle::ConstantTimeEq::ct_eq(a, b).into()
}

fn refuse(status: StatusCode, why: &str) -> ErrorResponse {
    let mut res = ErrorResponse::new(Some(why.to_owned()));
    *res.status_mut() = status;
    res
}
