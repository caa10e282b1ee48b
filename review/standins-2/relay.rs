//! Relays of TCP connections, which a cut silences for one process.

use std::{
    fs, io,
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
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

    fn wait_until_off(&self) {
        while self.is_on.load(SeqCst) {
            thread::sleep(CHECK_INTERVAL);
        }
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

fn relay(client: TcpStream, to: SocketAddr, cut: &Cut, silences: Silences) -> io::Result<()> {
    let process = cut.process.load(SeqCst);
    let is_silenced = silences == Silences::All || is_socket_of(process, client.peer_addr()?);
    let cut = is_silenced.then(|| cut.clone());
    if let Some(cut) = &cut {
        cut.wait_until_off();
    }
    let server = TcpStream::connect(to)?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let back = (server.try_clone()?, client.try_clone()?, cut.clone());
    let backwards = thread::spawn(move || pump(back.0, back.1, back.2.as_ref()));
    pump(client, server, cut.as_ref());
    // A panic of the thread ends the relay of this connection only.
    drop(backwards.join());
    Ok(())
}

fn pump(mut from: TcpStream, mut to: TcpStream, cut: Option<&Cut>) {
    let mut buf = [0; 16 * 1024];
    loop {
        let read = from.read(&mut buf).unwrap_or(0);
        if let Some(cut) = cut {
            cut.wait_until_off();
        }
        if read == 0 || to.write_all(&buf[..read]).is_err() {
            break;
        }
    }
    // The other side may have closed the connection before.
    let _ = to.shutdown(Shutdown::Write);
    let _ = from.shutdown(Shutdown::Read);
}

/// Returns whether a process has the socket with this local address.
fn is_socket_of(process: u32, address: SocketAddr) -> bool {
    let Some(inode) = inode_of_socket(address) else {
        return false;
    };
    let Ok(files) = fs::read_dir(format!("/proc/{process}/fd")) else {
        return false;
    };
    let wanted = format!("socket:[{inode}]");
    let mut links = files
        .flatten()
        .filter_map(|file| fs::read_link(file.path()).ok());
    links.any(|link| link.to_string_lossy() == wanted)
}

/// Returns the inode of the socket with this local address. The table is read again if it
/// lacks the socket, since a table that changes meanwhile may be read with gaps.
fn inode_of_socket(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let ip = u32::from_ne_bytes(address.ip().octets());
    let local = format!("{ip:08X}:{:04X}", address.port());
    for _ in 0..LOOKUPS {
        let sockets = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        let mut rows = sockets
            .lines()
            .map(|line| line.split_whitespace().collect::<Vec<_>>());
        let row = rows.find(|columns| columns.get(1) == Some(&local.as_str()));
        let inode = row.and_then(|columns| columns.get(9).map(|inode| (*inode).to_owned()));
        if inode.as_deref().is_some_and(|inode| inode != "0") {
            return inode;
        }
        thread::sleep(CHECK_INTERVAL);
    }
    None
}
