//! One open link: a websocket that carries messages in both directions.

use {
    crate::LinkError,
    chestnutrun_protocol::{Hello, MAX_FRAME_BYTES, Message, decode, encode},
    chestnutrun_types::{EntryId, Now},
    futures_util::{
        SinkExt, StreamExt,
        stream::{SplitSink, SplitStream},
    },
    std::{
        cell::Cell,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{
        net::TcpStream,
        sync::mpsc::{Receiver, Sender, channel},
        time::{timeout, timeout_at},
    },
    tokio_tungstenite::{
        WebSocketStream,
        tungstenite::{Bytes, Message as Frame, protocol::WebSocketConfig},
    },
};

/// Time limit for the TCP connection, the websocket handshake and the hello of a
/// link.
pub(crate) const OPEN_TIMEOUT: Duration = Duration::from_millis(1_200);

/// How the two sides of a link detect that the other has failed.
#[derive(Clone, Copy, Debug)]
pub struct LinkTiming {
    /// Time between two probes (websocket pings); none if only the other side
    /// sends probes.
    pub probe_interval: Option<Duration>,
    /// The link is closed when nothing arrives from the peer for this long.
    pub silence_limit: Duration,
}

impl Default for LinkTiming {
    /// Three probes fit into the silence limit. The limit is well under the 2 s
    /// within which a silent connection must be detected.
    fn default() -> Self {
        Self {
            probe_interval: Some(Duration::from_millis(400)),
            silence_limit: Duration::from_millis(1_200),
        }
    }
}

/// Most messages that wait to be sent on one link.
const MAX_QUEUED_MESSAGES: usize = 65_536;

/// Size of a connection's read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// Number of a link, unique within the process.
pub type LinkId = u64;

/// Allocates the numbers of links; clones share one counter.
#[derive(Clone, Debug, Default)]
pub struct LinkIds(Rc<Cell<LinkId>>);

impl LinkIds {
    pub(crate) fn next(&self) -> LinkId {
        self.0.set(self.0.get() + 1);
        self.0.get()
    }
}

/// The peer at the other end of a link.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerName {
    /// The peer opened the link and sent this hello.
    Accepted(Hello),
    /// This process opened the link to this entry.
    Dialed(EntryId),
}

/// An event on a link, for the loop of the process.
#[derive(Debug)]
pub enum LinkEvent {
    /// A link to the peer opened.
    Up(Link, PeerName),
    /// A message arrived on the link.
    Message(LinkId, Message),
    /// The peer answered a probe that was sent at this moment, so it was alive
    /// then or later.
    PeerAlive(LinkId, Instant),
    /// The link closed.
    Down(LinkId),
}

/// The sending side of an open link.
#[derive(Clone, Debug)]
pub struct Link {
    id: LinkId,
    tx: Sender<Message>,
}

impl Link {
    /// Returns the number of the link.
    #[must_use]
    pub fn id(&self) -> LinkId {
        self.id
    }

    /// Queues a message; returns false if the link is closed or its queue is
    /// full.
    #[must_use]
    pub fn send(&self, message: Message) -> bool {
        self.tx.try_send(message).is_ok()
    }

    /// Drops this handle; the link closes when its last clone is dropped.
    pub fn close(self) {
        drop(self);
    }
}

pub(crate) type Socket = WebSocketStream<TcpStream>;

/// Returns the limits of a link's websocket.
pub(crate) fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

/// Sends and receives messages on an open link until it ends; returns why it
/// ended.
pub(crate) async fn run_link(
    id: LinkId,
    socket: Socket,
    peer: PeerName,
    timing: LinkTiming,
    events: &Sender<LinkEvent>,
) -> LinkError {
    let probes = Probes::default();
    let (tx, rx) = channel(MAX_QUEUED_MESSAGES);
    let up = LinkEvent::Up(Link { id, tx }, peer);
    if events.send(up).await.is_err() {
        return LinkError::Closed;
    }
    let (sink, stream) = socket.split();
    let error = tokio::select! {
        error = write(rx, sink, timing, &probes) => error,
        error = read(id, stream, timing, &probes, events) => error,
    };
    // Sending fails only when the loop of the process has ended.
    let _ = events.send(LinkEvent::Down(id)).await;
    error
}

/// A frame received from a peer.
pub(crate) enum Received {
    /// A message.
    Message(Message),
    /// The answer to a probe, with the probe's payload.
    Pong(Bytes),
}

/// Reads the next message or answer to a probe; each frame has to arrive within
/// `limit`.
pub(crate) async fn read_frame(
    stream: &mut (impl StreamExt<Item = Result<Frame, tokio_tungstenite::tungstenite::Error>> + Unpin),
    limit: Duration,
) -> Result<Received, LinkError> {
    loop {
        let Ok(next) = timeout(limit, stream.next()).await else {
            return Err(LinkError::Silent);
        };
        match next {
            None | Some(Ok(Frame::Close(_))) => return Err(LinkError::Closed),
            Some(Err(error)) => return Err(error.into()),
            Some(Ok(Frame::Binary(buf))) => return Ok(Received::Message(decode(&buf)?)),
            Some(Ok(Frame::Pong(buf))) => return Ok(Received::Pong(buf)),
            Some(Ok(_)) => {}
        }
    }
}

async fn read(
    id: LinkId,
    mut stream: SplitStream<Socket>,
    timing: LinkTiming,
    probes: &Probes,
    events: &Sender<LinkEvent>,
) -> LinkError {
    loop {
        let event = match read_frame(&mut stream, timing.silence_limit).await {
            Ok(Received::Message(message)) => LinkEvent::Message(id, message),
            Ok(Received::Pong(buf)) => match probes.sent_at(&buf) {
                Some(at) => LinkEvent::PeerAlive(id, at),
                None => continue,
            },
            Err(error) => return error,
        };
        if events.send(event).await.is_err() {
            return LinkError::Closed;
        }
    }
}

/// Sends queued messages, and a probe at fixed intervals. An answer to a probe
/// proves that the peer was alive when the probe was sent.
async fn write(
    mut rx: Receiver<Message>,
    mut sink: SplitSink<Socket, Frame>,
    timing: LinkTiming,
    probes: &Probes,
) -> LinkError {
    let limit = timing.silence_limit;
    let mut next_probe_at = timing.probe_interval.map(|_| tokio::time::Instant::now());
    loop {
        let next = match next_probe_at {
            Some(at) => timeout_at(at, rx.recv()).await,
            None => Ok(rx.recv().await),
        };
        let sent = match next {
            Ok(Some(message)) => timeout(limit, write_batch(message, &mut rx, &mut sink)).await,
            Ok(None) => return LinkError::Closed,
            Err(_) => {
                next_probe_at = timing
                    .probe_interval
                    .map(|interval| tokio::time::Instant::now() + interval);
                timeout(limit, send_probe(&mut sink, probes)).await
            }
        };
        match sent {
            Ok(Ok(())) => {}
            Ok(Err(error)) => return error,
            Err(_) => return LinkError::Silent,
        }
    }
}

async fn send_probe(sink: &mut SplitSink<Socket, Frame>, probes: &Probes) -> Result<(), LinkError> {
    Ok(sink.send(Frame::Ping(probes.payload())).await?)
}

/// Encodes the time of sending in the payload of each probe, so that the answer
/// tells when its probe was sent.
struct Probes {
    opened_at: Instant,
}

impl Default for Probes {
    fn default() -> Self {
        Self {
            opened_at: Now::read().instant,
        }
    }
}

impl Probes {
    /// Returns the payload of a probe that is sent now: the microseconds since
    /// the link opened, as a little-endian `u64`.
    fn payload(&self) -> Bytes {
        let age = Now::read()
            .instant
            .saturating_duration_since(self.opened_at);
        let micros = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        Bytes::copy_from_slice(&micros.to_le_bytes())
    }

    /// Returns when the probe with this payload was sent; none if the payload is
    /// not that of a probe sent on this link.
    fn sent_at(&self, payload: &[u8]) -> Option<Instant> {
        let micros = u64::from_le_bytes(payload.try_into().ok()?);
        let at = self.opened_at.checked_add(Duration::from_micros(micros))?;
        (at <= Now::read().instant).then_some(at)
    }
}

/// Sends a message and those queued behind it with one flush.
async fn write_batch(
    first: Message,
    rx: &mut Receiver<Message>,
    sink: &mut SplitSink<Socket, Frame>,
) -> Result<(), LinkError> {
    let mut next = Some(first);
    while let Some(message) = next {
        sink.feed(Frame::Binary(encode(&message)?.into())).await?;
        next = rx.try_recv().ok();
    }
    Ok(sink.flush().await?)
}
