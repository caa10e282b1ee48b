//! A proxy before the port on which an entry accepts links. It tells connections of entries
//! from those of agents by their first message, and can hold back the former.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

/// Which connections are held back.
#[derive(Clone, PartialEq)]
enum Cut {
    None,
    /// Those of all entries.
    Entries,
    /// Those of the entry of this name.
    Entry(String),
}

pub struct LinkProxy {
    cut: Arc<Mutex<Cut>>,
}

/// The name of the process that opened a connection; empty until its first message.
type Name = Arc<Mutex<String>>;

impl LinkProxy {
    pub fn start(listen: SocketAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let cut = Arc::new(Mutex::new(Cut::None));
        let shared = cut.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let cut = shared.clone();
                thread::spawn(move || connect(cut, client, target));
            }
        });
        Ok(Self { cut })
    }

    /// Holds back the connections of all entries, or of one.
    pub fn cut_entries(&self, name: Option<&str>) {
        let cut = name.map_or(Cut::Entries, |name| Cut::Entry(name.to_owned()));
        *self.cut.lock().unwrap() = cut;
    }

    pub fn heal(&self) {
        *self.cut.lock().unwrap() = Cut::None;
    }
}

fn connect(cut: Arc<Mutex<Cut>>, client: TcpStream, target: SocketAddr) {
    let Ok(server) = TcpStream::connect(target) else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (Ok(from), Ok(to)) = (client.try_clone(), server.try_clone()) else {
        return;
    };
    let name = Name::default();
    let forth = (cut.clone(), name.clone());
    thread::spawn(move || copy(&forth.0, &forth.1, from, to, true));
    copy(&cut, &name, server, client, false);
}

fn is_held(cut: &Mutex<Cut>, name: &Mutex<String>) -> bool {
    let name = name.lock().unwrap();
    match &*cut.lock().unwrap() {
        Cut::None => false,
        Cut::Entries => name.starts_with("edge-"),
        Cut::Entry(entry) => *name == *entry,
    }
}

fn copy(
    cut: &Mutex<Cut>,
    name: &Mutex<String>,
    mut from: TcpStream,
    mut to: TcpStream,
    is_forth: bool,
) {
    let mut buf = [0; 16 * 1024];
    let mut begin = Vec::new();
    loop {
        let read = from.read(&mut buf);
        if is_forth
            && name.lock().unwrap().is_empty()
            && let Ok(n) = read
        {
            begin.extend_from_slice(&buf[..n]);
            if let Some(found) = sender(&begin) {
                *name.lock().unwrap() = found;
            }
        }
        while is_held(cut, name) {
            thread::sleep(Duration::from_millis(2));
        }
        match read {
            Ok(n) if n > 0 && to.write_all(&buf[..n]).is_ok() => {}
            _ => {
                let _ = (to.shutdown(Shutdown::Both), from.shutdown(Shutdown::Both));
                return;
            }
        }
    }
}

/// Returns the name in the first message of a link: behind the head of the HTTP upgrade, one
/// masked websocket frame that names the process that opened the link.
fn sender(begin: &[u8]) -> Option<String> {
    let head = begin.windows(4).position(|part| part == b"\r\n\r\n")? + 4;
    let frame = &begin[head..];
    let (length, at) = match *frame.get(1)? & 0x7f {
        126 => (
            usize::from(*frame.get(2)?) << 8 | usize::from(*frame.get(3)?),
            4,
        ),
        short => (usize::from(short), 2),
    };
    let mask = frame.get(at..at + 4)?;
    let masked = frame.get(at + 4..at + 4 + length)?;
    let payload: Vec<u8> = masked
        .iter()
        .zip(mask.iter().cycle())
        .map(|(a, b)| a ^ b)
        .collect();
    let text = String::from_utf8_lossy(&payload).into_owned();
    let from = text.find("edge-").or_else(|| text.find("side-"))?;
    let rest = text[from + 5..].chars().take_while(char::is_ascii_digit);
    Some(text[from..from + 5].to_owned() + &rest.collect::<String>())
}
