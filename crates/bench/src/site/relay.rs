//! A relay before a process that can cut connections, delay them and let them
//! go silent, both ways or one way.

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

/// Bytes that are read at once.
const BUFFER_BYTES: usize = 64 * 1024;

/// Number of a connection through a relay.
type ConnectionNumber = u64;

/// Relays the connections to one address.
#[derive(Debug)]
pub struct Relay {
    faults: Faults,
    cut: watch::Sender<ConnectionNumber>,
}

/// What the connections of a relay share.
#[derive(Clone, Debug)]
struct Faults {
    newest: Rc<Cell<ConnectionNumber>>,
    silent: Rc<Cell<ConnectionNumber>>,
    silent_back: Rc<Cell<ConnectionNumber>>,
    delay: Rc<Cell<Duration>>,
    cut: watch::Receiver<ConnectionNumber>,
}

impl Relay {
    /// Starts to relay from `listen` to `to`.
    ///
    /// # Errors
    /// Returns an error where `listen` cannot be listened on.
    pub async fn open(listen: SocketAddr, to: SocketAddr) -> Result<Self, SiteError> {
        let listener = TcpListener::bind(listen)
            .await
            .map_err(|e| SiteError::Io(listen.to_string(), e))?;
        let (cut, cuts) = watch::channel(0);
        let faults = Faults {
            newest: Rc::default(),
            silent: Rc::default(),
            silent_back: Rc::default(),
            delay: Rc::default(),
            cut: cuts,
        };
        ntex::rt::spawn(accept(listener, to, faults.clone()));
        Ok(Self { faults, cut })
    }

    /// Cuts every connection that is open now.
    pub fn cut(&self) {
        self.cut.send_replace(self.faults.newest.get());
    }

    /// Drops all bytes, both ways, of every connection that is open now.
    pub fn silence(&self) {
        self.faults.silent.set(self.faults.newest.get());
    }

    /// Drops the bytes that go back to who connected, of every connection that
    /// is open now.
    pub fn silence_back(&self) {
        self.faults.silent_back.set(self.faults.newest.get());
    }

    /// Holds all bytes back for a time, from now on.
    pub fn delay(&self, delay: Duration) {
        self.faults.delay.set(delay);
    }

    /// Returns how many connections were opened since the last silence.
    #[must_use]
    pub fn opened_since_silence(&self) -> u64 {
        self.faults.newest.get() - self.faults.silent.get()
    }

    /// Cuts every connection and takes no other.
    pub fn close(self) {
        drop(self.cut);
    }
}

async fn accept(listener: TcpListener, to: SocketAddr, mut faults: Faults) {
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    faults.newest.set(faults.newest.get() + 1);
                    ntex::rt::spawn(relay(stream, to, faults.clone()));
                }
            }
            changed = faults.cut.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}

async fn relay(stream: TcpStream, to: SocketAddr, faults: Faults) {
    let number = faults.newest.get();
    let Ok(onward) = TcpStream::connect(to).await else {
        return;
    };
    // A connection without the option only has a higher latency.
    let _ = (stream.set_nodelay(true), onward.set_nodelay(true));
    let (from_peer, to_peer) = stream.into_split();
    let (from_entry, to_entry) = onward.into_split();
    let mut cut = faults.cut.clone();
    let there = [&*faults.silent];
    let back = [&*faults.silent, &*faults.silent_back];
    tokio::select! {
        () = pump(from_peer, to_entry, number, &there, &faults.delay) => {}
        () = pump(from_entry, to_peer, number, &back, &faults.delay) => {}
        // The relay is closed where the wait fails.
        _ = cut.wait_for(|cut| *cut >= number) => {}
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    number: ConnectionNumber,
    silent: &[&Cell<ConnectionNumber>],
    delay: &Cell<Duration>,
) {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buf).await.unwrap_or_default();
        let is_silent = silent.iter().any(|up_to| number <= up_to.get());
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
