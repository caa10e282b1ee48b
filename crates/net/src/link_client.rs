//! Opens links to entries, again and again.

use {
    crate::{
        LinkError, LinkEvent, LinkId, LinkIds, PeerName,
        link::{LinkTiming, OPENING_LIMIT, Socket, run_link, socket_config},
    },
    chestnutrun_protocol::{Hello, Message, PROTOCOL, encode},
    chestnutrun_types::EntryId,
    futures_util::SinkExt,
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        sync::{mpsc::Sender, oneshot},
        time::{sleep, timeout},
    },
    tokio_tungstenite::{
        client_async_with_config,
        tungstenite::{Message as Frame, client::IntoClientRequest, http::header},
    },
};

/// How long a dialer waits before it opens a link again.
const REDIAL_PAUSE: Duration = Duration::from_millis(200);

/// How long a connection may take: the opening packet to a worker without
/// power is lost and would be sent again only after a second, so that a new
/// connection finds the worker sooner.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);

/// What a dialer needs.
#[derive(Clone, Debug)]
pub struct DialerConf {
    /// Entry to link to.
    pub entry: EntryId,
    /// Its address for links.
    pub address: SocketAddr,
    /// Secret that every process of the site shares.
    pub site_token: Rc<str>,
    /// Announcement of this process; its newest form is sent on each link.
    pub hello: Rc<RefCell<Hello>>,
    /// Hands out numbers of links.
    pub ids: LinkIds,
    /// How the link is probed.
    pub timing: LinkTiming,
    /// Where events go.
    pub events: Sender<LinkEvent>,
}

/// Keeps one link to an entry open.
#[derive(Debug)]
pub struct Dialer {
    address: SocketAddr,
    stop: oneshot::Sender<()>,
}

impl Dialer {
    /// Starts to keep a link open.
    #[must_use]
    pub fn open(cfg: DialerConf) -> Self {
        let (stop, stopped) = oneshot::channel();
        let address = cfg.address;
        ntex::rt::spawn(async move {
            let open = Cell::new(None);
            tokio::select! {
                () = redial(&cfg, &open) => {}
                _ = stopped => {}
            }
            if let Some(id) = open.get() {
                // The loop of the process is gone where nobody takes the event.
                let _ = cfg.events.send(LinkEvent::Down(id)).await;
            }
        });
        Self { address, stop }
    }

    /// Returns the address that is dialed.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the link and opens no other.
    pub fn close(self) {
        // The task is gone already where nobody takes the signal.
        let _ = self.stop.send(());
    }
}

/// Opens links without end; `open` tells the link that is open now.
async fn redial(cfg: &DialerConf, open: &Cell<Option<LinkId>>) {
    loop {
        let error = match timeout(OPENING_LIMIT, connect(cfg)).await {
            Err(_) => LinkError::Silent,
            Ok(Err(error)) => error,
            Ok(Ok(socket)) => {
                let peer = PeerName::Dialed(cfg.entry.clone());
                let id = cfg.ids.next();
                open.set(Some(id));
                let error = run_link(id, socket, peer, cfg.timing, &cfg.events).await;
                open.set(None);
                error
            }
        };
        log::info!("link to {} at {} ended: {error}", cfg.entry, cfg.address);
        sleep(REDIAL_PAUSE).await;
    }
}

async fn connect(cfg: &DialerConf) -> Result<Socket, LinkError> {
    let connecting = timeout(CONNECT_LIMIT, TcpStream::connect(cfg.address));
    let stream = connecting.await.map_err(|_| LinkError::Silent)??;
    stream.set_nodelay(true)?;
    let mut req = format!("ws://{}/", cfg.address).into_client_request()?;
    let headers = req.headers_mut();
    let bearer = format!("Bearer {}", cfg.site_token);
    let bearer = bearer.parse().map_err(|_| LinkError::NoHello)?;
    headers.insert(header::AUTHORIZATION, bearer);
    let protocol = header::HeaderValue::from_static(PROTOCOL);
    headers.insert(header::SEC_WEBSOCKET_PROTOCOL, protocol);
    let (mut socket, _) = client_async_with_config(req, stream, Some(socket_config())).await?;
    let hello = Message::Hello(cfg.hello.borrow().clone());
    let buf = encode(&hello)?;
    socket.send(Frame::Binary(buf.into())).await?;
    Ok(socket)
}
