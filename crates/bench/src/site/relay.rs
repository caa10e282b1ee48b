//! A TCP relay in front of a process.
//!
//! The relay can cut connections, delay their bytes, and drop the bytes of one
//! or both directions while the connections stay open.

use {
    crate::site::SiteError,
    std::{cell::Cell, future::pending, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::watch,
        time::sleep,
    },
};

/// Largest number of bytes of one read.
const BUFFER_BYTES: usize = 64 * 1024;

/// Number of a connection through a relay, counted from 1 as they open.
type ConnectionNumber = u64;

/// Relays the connections to one address and injects faults into them.
#[derive(Debug)]
pub struct Relay {
    faults: Faults,
    cut: watch::Sender<ConnectionNumber>,
}

/// Fault settings that all connections of a relay share.
#[derive(Clone, Debug)]
struct Faults {
    newest: Rc<Cell<ConnectionNumber>>,
    /// Connections up to this number drop the bytes of both directions.
    silent_up_to: Rc<Cell<ConnectionNumber>>,
    /// Connections up to this number drop the bytes sent back to the peer.
    silent_replies_up_to: Rc<Cell<ConnectionNumber>>,
    delay: Rc<Cell<Duration>>,
    /// Connections up to this number are cut.
    cut_up_to: watch::Receiver<ConnectionNumber>,
}

impl Relay {
    /// Listens on `listen` and relays every connection to `to`.
    ///
    /// # Errors
    /// Returns an error if the relay cannot listen on `listen`.
    pub async fn open(listen: SocketAddr, to: SocketAddr) -> Result<Self, SiteError> {
        let listener = TcpListener::bind(listen)
            .await
            .map_err(|e| SiteError::Io(listen.to_string(), e))?;
        let (cut, receiver) = watch::channel(0);
        let faults = Faults {
            newest: Rc::default(),
            silent_up_to: Rc::default(),
            silent_replies_up_to: Rc::default(),
            delay: Rc::default(),
            cut_up_to: receiver,
        };
        ntex::rt::spawn(accept_connections(listener, to, faults.clone()));
        Ok(Self { faults, cut })
    }

    /// Cuts every connection that is open now.
    pub fn cut(&self) {
        self.cut.send_replace(self.faults.newest.get());
    }

    /// Drops the bytes of both directions on every connection that is open now.
    ///
    /// The connections stay open; connections opened later are relayed.
    pub fn silence(&self) {
        self.faults.silent_up_to.set(self.faults.newest.get());
    }

    /// Drops the bytes sent back to the connecting peer on every connection that is
    /// open now.
    pub fn silence_replies(&self) {
        self.faults
            .silent_replies_up_to
            .set(self.faults.newest.get());
    }

    /// Delays each read of every connection by `delay` from now on.
    pub fn delay(&self, delay: Duration) {
        self.faults.delay.set(delay);
    }

    /// Returns how many connections were opened since the last [`Self::silence`].
    #[must_use]
    pub fn opened_since_silence(&self) -> u64 {
        self.faults.newest.get() - self.faults.silent_up_to.get()
    }

    /// Cuts every connection and stops listening.
    pub fn close(self) {
        drop(self.cut);
    }
}

async fn accept_connections(listener: TcpListener, to: SocketAddr, mut faults: Faults) {
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    faults.newest.set(faults.newest.get() + 1);
                    ntex::rt::spawn(relay_connection(stream, to, faults.clone()));
                }
            }
            changed = faults.cut_up_to.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}

async fn relay_connection(stream: TcpStream, to: SocketAddr, faults: Faults) {
    let number = faults.newest.get();
    let Ok(onward) = TcpStream::connect(to).await else {
        return;
    };
    // If the option cannot be set, only latency suffers.
    let _ = (stream.set_nodelay(true), onward.set_nodelay(true));
    let (from_peer, to_peer) = stream.into_split();
    let (from_target, to_target) = onward.into_split();
    let mut cut_up_to = faults.cut_up_to.clone();
    let forward = [&*faults.silent_up_to];
    let back = [&*faults.silent_up_to, &*faults.silent_replies_up_to];
    tokio::select! {
        () = copy_bytes(from_peer, to_target, number, &forward, &faults.delay) => {}
        () = copy_bytes(from_target, to_peer, number, &back, &faults.delay) => {}
        // The wait fails once the relay is closed, which cuts the connection too.
        _ = cut_up_to.wait_for(|up_to| *up_to >= number) => {}
    }
}

/// Copies the bytes of one direction; a silent connection stays open after its
/// sender has closed it.
async fn copy_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    number: ConnectionNumber,
    silent_up_to: &[&Cell<ConnectionNumber>],
    delay: &Cell<Duration>,
) {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buf).await.unwrap_or_default();
        let is_silent = silent_up_to.iter().any(|up_to| number <= up_to.get());
        if read == 0 && is_silent {
            pending::<()>().await;
        }
        if read == 0 {
            return;
        }
        if !delay.get().is_zero() {
            sleep(delay.get()).await;
        }
        if !is_silent && to.write_all(&buf[..read]).await.is_err() {
            return;
        }
    }
}
