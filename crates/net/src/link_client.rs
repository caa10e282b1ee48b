//! Opens links to entries, and reopens them when they end.

use {
    crate::{
        LinkError, LinkEvent, LinkId, LinkIds, PeerName,
        link::{LinkTiming, OPEN_TIMEOUT, Socket, run_link, socket_config},
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

/// Delay after a link ended before the dialer opens it again.
const REDIAL_DELAY: Duration = Duration::from_millis(200);

/// Time limit for the TCP connection. The SYN packet to a worker without power is
/// lost, and the kernel sends it again only after a second, so a new connection
/// reaches the worker sooner once it is up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Settings of a [`Dialer`].
#[derive(Clone, Debug)]
pub struct DialerConf {
    /// Entry to link to.
    pub entry: EntryId,
    /// Address at which the entry accepts links.
    pub address: SocketAddr,
    /// Secret that all processes of the site share, sent in the handshake.
    pub site_token: Rc<str>,
    /// Hello of this process; each new link sends the current value.
    pub hello: Rc<RefCell<Hello>>,
    /// Allocates the numbers of links.
    pub ids: LinkIds,
    /// Probe interval and silence limit of the link.
    pub timing: LinkTiming,
    /// Receives the events of the link.
    pub events: Sender<LinkEvent>,
}

/// Keeps one link to an entry open until it is closed.
#[derive(Debug)]
pub struct Dialer {
    address: SocketAddr,
    stop: oneshot::Sender<()>,
}

impl Dialer {
    /// Starts a task that opens the link and reopens it whenever it ends.
    #[must_use]
    pub fn open(cfg: DialerConf) -> Self {
        let (stop, stopped) = oneshot::channel();
        let address = cfg.address;
        ntex::rt::spawn(async move {
            let open_link = Cell::new(None);
            tokio::select! {
                () = redial(&cfg, &open_link) => {}
                _ = stopped => {}
            }
            if let Some(id) = open_link.get() {
                // Sending fails only when the loop of the process has ended.
                let _ = cfg.events.send(LinkEvent::Down(id)).await;
            }
        });
        Self { address, stop }
    }

    /// Returns the address to which the dialer connects.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the link and does not open it again.
    pub fn close(self) {
        // Sending fails only when the task has already ended.
        let _ = self.stop.send(());
    }
}

/// Opens the link again whenever it ends; `open_link` holds the number of the
/// link while one is open.
async fn redial(cfg: &DialerConf, open_link: &Cell<Option<LinkId>>) {
    loop {
        let error = match timeout(OPEN_TIMEOUT, connect(cfg)).await {
            Err(_) => LinkError::Silent,
            Ok(Err(error)) => error,
            Ok(Ok(socket)) => {
                let peer = PeerName::Dialed(cfg.entry.clone());
                let id = cfg.ids.next();
                open_link.set(Some(id));
                let error = run_link(id, socket, peer, cfg.timing, &cfg.events).await;
                open_link.set(None);
                error
            }
        };
        log::info!(
            "link to {} at {} ended: {error}; reconnecting",
            cfg.entry,
            cfg.address
        );
        sleep(REDIAL_DELAY).await;
    }
}

async fn connect(cfg: &DialerConf) -> Result<Socket, LinkError> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(cfg.address));
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
