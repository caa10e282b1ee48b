//! A TCP proxy that stands for a link: it can hold back what is sent over it.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

struct Link {
    is_cut: AtomicBool,
    /// Moment until which what was held back is sent again, once the cut is over.
    resent_at: Mutex<Option<Instant>>,
}

/// A link to one address. A cut holds back the bytes of open connections, and the first
/// packet of new ones. After the cut, what an open connection held back arrives when its
/// sender tries again: TCP doubles the pause after each try.
pub struct Proxy {
    link: Arc<Link>,
}

impl Proxy {
    pub fn start(listen: SocketAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let link = Arc::new(Link {
            is_cut: AtomicBool::new(false),
            resent_at: Mutex::new(None),
        });
        let shared = link.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let link = shared.clone();
                thread::spawn(move || connect(&link, stream, target));
            }
        });
        Ok(Self { link })
    }

    pub fn cut(&self) {
        self.link.is_cut.store(true, Ordering::SeqCst);
    }

    /// Ends the cut; what was held back arrives after `resent_after`.
    pub fn heal(&self, resent_after: Duration) {
        *self.link.resent_at.lock().unwrap() = Some(Instant::now() + resent_after);
        self.link.is_cut.store(false, Ordering::SeqCst);
    }
}

fn connect(link: &Arc<Link>, client: TcpStream, target: SocketAddr) {
    // The first packet of a connection is lost in a cut; its sender gives up or tries
    // again, which comes to the same here.
    while link.is_cut.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(5));
    }
    let Ok(server) = TcpStream::connect(target) else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (Ok(from), Ok(to)) = (client.try_clone(), server.try_clone()) else {
        return;
    };
    let forth = link.clone();
    thread::spawn(move || copy(&forth, from, to));
    copy(link, server, client);
}

fn copy(link: &Link, mut from: TcpStream, mut to: TcpStream) {
    let mut buf = [0; 16 * 1024];
    loop {
        let read = from.read(&mut buf);
        if link.is_cut.load(Ordering::SeqCst) {
            while link.is_cut.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(2));
            }
            let at = *link.resent_at.lock().unwrap();
            if let Some(at) = at {
                thread::sleep(at.saturating_duration_since(Instant::now()));
            }
        }
        match read {
            Ok(0) => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            Ok(n) => {
                if to.write_all(&buf[..n]).is_err() {
                    let _ = from.shutdown(Shutdown::Both);
                    return;
                }
            }
            Err(_) => {
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}
