//! Relays of TCP connections, which a cut silences for one process.

use std::{
    fs, io,
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU32, Ordering::SeqCst},
    },
    thread,
    time::Duration,
};

/// Interval at which a silenced connection looks for the end of the cut.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// How often a socket is looked for in the system's table.
const LOOKUPS: usize = 20;

/// A cut of one process from all others. Bytes are held up while it lasts, as in a
/// network that drops packets and sends them again.
#[derive(Clone, Default)]
pub struct Cut {
    is_on: Arc<AtomicBool>,
    process: Arc<AtomicU32>,
}

impl Cut {
    /// Sets the process that the cut concerns.
    pub fn set_process(&self, process: u32) {
        self.process.store(process, SeqCst);
    }

    pub fn set_on(&self, is_on: bool) {
        self.is_on.store(is_on, SeqCst);
    }

    fn is_on(&self) -> bool {
        self.is_on.load(SeqCst)
    }
}

/// Which connections through a relay a cut silences.
#[derive(Clone, Copy, PartialEq)]
pub enum Silences {
    /// All of them: the relay leads to or from the process alone.
    All,
    /// Those that the process opened.
    OfProcess,
}

/// Relays connections from `listen` to `to` until the process ends.
pub fn open(listen: SocketAddr, to: SocketAddr, cut: Cut, silences: Silences) -> io::Result<()> {
    let listener = TcpListener::bind(listen)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let cut = cut.clone();
            // A connection that cannot be relayed is closed.
            thread::spawn(move || drop(relay(stream, to, &cut, silences)));
        }
    });
    Ok(())
}

/// One relayed connection.
struct Connection {
    cut: Cut,
    silences: Silences,
    /// Both ends of the client's connection, its own first. Several sockets may share one
    /// local address if they lead to different ones.
    ends: (SocketAddr, SocketAddr),
    /// Whether the cut silences the connection; unknown before the first cut.
    is_silenced: OnceLock<bool>,
}

impl Connection {
    /// Holds up the bytes of a connection that the cut silences.
    fn wait_for_cut(&self) {
        while self.cut.is_on() && self.is_silenced() {
            thread::sleep(CHECK_INTERVAL);
        }
    }

    fn is_silenced(&self) -> bool {
        *self.is_silenced.get_or_init(|| {
            let process = self.cut.process.load(SeqCst);
            self.silences == Silences::All || is_socket_of(process, self.ends)
        })
    }
}

fn relay(client: TcpStream, to: SocketAddr, cut: &Cut, silences: Silences) -> io::Result<()> {
    let connection = Connection {
        cut: cut.clone(),
        silences,
        ends: (client.peer_addr()?, client.local_addr()?),
        is_silenced: OnceLock::new(),
    };
    connection.wait_for_cut();
    let server = TcpStream::connect(to)?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    thread::scope(|scope| {
        scope.spawn(|| pump(&server, &client, &connection));
        pump(&client, &server, &connection);
    });
    Ok(())
}

fn pump(mut from: &TcpStream, mut to: &TcpStream, connection: &Connection) {
    let mut buf = [0; 16 * 1024];
    loop {
        let read = from.read(&mut buf).unwrap_or(0);
        connection.wait_for_cut();
        if read == 0 || to.write_all(&buf[..read]).is_err() {
            break;
        }
    }
    // The other side may have closed the connection before.
    let _ = to.shutdown(Shutdown::Write);
    let _ = from.shutdown(Shutdown::Read);
}

/// Returns whether a process has the socket with these ends, or nobody has it any
/// more. The process opens and closes files meanwhile, so that one look may miss it.
fn is_socket_of(process: u32, ends: (SocketAddr, SocketAddr)) -> bool {
    let Some(inode) = inode_of_socket(ends) else {
        return true;
    };
    let wanted = format!("socket:[{inode}]");
    (0..LOOKUPS).any(|_| {
        let files = fs::read_dir(format!("/proc/{process}/fd"));
        let mut links = files
            .into_iter()
            .flatten()
            .flatten()
            .filter_map(|file| fs::read_link(file.path()).ok());
        links.any(|link| link.to_string_lossy() == wanted)
    })
}

/// Returns the inode of the socket with these ends. The table is read again if it lacks the
/// socket, since a table that changes meanwhile may be read with gaps.
fn inode_of_socket(ends: (SocketAddr, SocketAddr)) -> Option<String> {
    let (own, other) = (table_form(ends.0)?, table_form(ends.1)?);
    for _ in 0..LOOKUPS {
        let sockets = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        let mut rows = sockets
            .lines()
            .map(|line| line.split_whitespace().collect::<Vec<_>>());
        let row = rows
            .find(|row| row.get(1) == Some(&own.as_str()) && row.get(2) == Some(&other.as_str()));
        let inode = row.and_then(|columns| columns.get(9).map(|inode| (*inode).to_owned()));
        if inode.as_deref().is_some_and(|inode| inode != "0") {
            return inode;
        }
        thread::sleep(CHECK_INTERVAL);
    }
    None
}

/// Returns an address as the system's table of sockets shows it.
fn table_form(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let ip = u32::from_ne_bytes(address.ip().octets());
    Some(format!("{ip:08X}:{:04X}", address.port()))
}
