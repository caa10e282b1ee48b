//! A crowd of clients that send the same bytes at once and keep their connections open.

use {
    crate::crowd::{Script, script::with_id},
    std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        io::AsyncWriteExt,
        net::{TcpSocket, tcp::WriteHalf},
        task::JoinHandle,
        time::{sleep, timeout},
    },
};

/// Time without a written byte after which the process reads nothing more of a crowd.
const QUIET_TIME: Duration = Duration::from_secs(1);

/// Receive buffer of a client's socket, in bytes; small, so that responses that nobody
/// reads stay at their sender.
const CLIENT_BUFFER_BYTES: u32 = 4_096;

/// Ids of a crowd are higher, so that they are not those of ordinary requests.
const LOWEST_ID: u64 = 1 << 40;

/// Clients with open connections.
#[derive(Debug)]
pub struct Crowd {
    clients: Vec<JoinHandle<()>>,
    script: Rc<Script>,
    sent: Rc<Sent>,
}

/// What all clients of a crowd have sent.
#[derive(Debug, Default)]
pub(crate) struct Sent {
    bytes: Cell<u64>,
    last_id: Cell<u64>,
}

impl Sent {
    /// Returns the bytes that the sockets of all clients took.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes.get()
    }
}

impl Crowd {
    /// Opens the connections and starts to send; has to be called within a local set of
    /// tasks.
    #[must_use]
    pub fn start(to: SocketAddr, clients: usize, script: Script) -> Self {
        let sent = Rc::new(Sent::default());
        let script = Rc::new(script);
        let clients = (0..clients).map(|_| {
            let (script, sent) = (script.clone(), sent.clone());
            tokio::task::spawn_local(async move { open(to, &script, &sent).await })
        });
        Self {
            clients: clients.collect(),
            script,
            sent,
        }
    }

    /// Waits until the process reads no more bytes of the crowd, or for `longest`.
    pub async fn until_quiet(&self, longest: Duration) {
        let is_silent = *self.script == Script::default();
        let wait = async {
            loop {
                let before = self.sent.bytes.get();
                sleep(QUIET_TIME).await;
                if (before > 0 || is_silent) && self.sent.bytes.get() == before {
                    return;
                }
            }
        };
        // A crowd that still sends is as good for what is checked next.
        let _ = timeout(longest, wait).await;
    }

    /// Returns the bytes that the sockets of all clients took.
    #[must_use]
    pub fn written(&self) -> u64 {
        self.sent.bytes.get()
    }

    /// Closes all connections.
    pub fn close(self) {
        for client in self.clients {
            client.abort();
        }
    }
}

/// Sends the script until the process closes the connection, and keeps the connection
/// open until the future is dropped. Returns only if there is no connection.
pub(crate) async fn open(to: SocketAddr, script: &Script, sent: &Sent) {
    let socket = TcpSocket::new_v4().expect("a socket is created");
    let sized = socket.set_recv_buffer_size(CLIENT_BUFFER_BYTES);
    sized.expect("the buffer size is set");
    let Ok(mut connection) = socket.connect(to).await else {
        return;
    };
    let (mut read_half, mut write_half) = connection.split();
    let pieces = std::iter::repeat_n(&script.piece, script.repeats);
    let parts = [&script.head].into_iter().chain(pieces);
    let write_all = async {
        for part in parts.chain([&script.tail]) {
            if !write(&mut write_half, part, sent).await {
                break;
            }
        }
    };
    if script.reads {
        let mut nowhere = tokio::io::sink();
        let read = tokio::io::copy(&mut read_half, &mut nowhere);
        // A connection that ended is as good as one that stays open.
        let _ = tokio::join!(write_all, read);
    } else {
        write_all.await;
    }
    std::future::pending::<()>().await;
}

/// Writes bytes; returns false if the process closed the connection.
async fn write(connection: &mut WriteHalf<'_>, bytes: &[u8], sent: &Sent) -> bool {
    let number = sent.last_id.get() + 1;
    let own = with_id(bytes, LOWEST_ID + number);
    if own.is_some() {
        sent.last_id.set(number);
    }
    let bytes = own.as_deref().unwrap_or(bytes);
    let is_written = connection.write_all(bytes).await.is_ok();
    sent.bytes.set(sent.bytes.get() + bytes.len() as u64);
    is_written
}
