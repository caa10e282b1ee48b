//! HTTP/1.1 on blocking sockets: a server with a thread a connection, and a client.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// Returns a value of the query.
    pub fn value(&self, name: &str) -> Option<String> {
        let pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        let mut found = pairs.filter(|(key, _)| *key == name);
        found.next().map(|(_, value)| unescape(value))
    }
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'%' => {
                let hex: Vec<u8> = rest.by_ref().take(2).collect();
                let hex = String::from_utf8(hex).unwrap_or_default();
                bytes.push(u8::from_str_radix(&hex, 16).unwrap_or(b'?'));
            }
            b'+' => bytes.push(b' '),
            byte => bytes.push(byte),
        }
    }
    String::from_utf8(bytes).unwrap_or_default()
}

/// Status and body of an answer; none closes the connection without one.
pub type Answer = Option<(u16, String)>;

pub type Handler = Arc<dyn Fn(Request) -> Answer + Send + Sync>;

/// A server that can be stopped like a process that ends.
pub struct Server {
    stopped: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    accepting: Option<thread::JoinHandle<()>>,
    listener: Option<TcpListener>,
}

impl Server {
    pub fn start(address: SocketAddr, handler: Handler) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        Self::start_on(listener, handler)
    }

    /// Serves on a listener that was kept open while the process started again.
    pub fn start_on(listener: TcpListener, handler: Handler) -> std::io::Result<Self> {
        let kept = listener.try_clone()?;
        let stopped = Arc::new(AtomicBool::new(false));
        let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (flag, streams) = (stopped.clone(), open.clone());
        let accepting = thread::spawn(move || {
            while !flag.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            streams.lock().unwrap().push(copy);
                        }
                        let handler = handler.clone();
                        thread::spawn(move || serve(stream, &handler));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Ok(Self {
            stopped,
            open,
            accepting: Some(accepting),
            listener: Some(kept),
        })
    }

    /// Closes all connections; returns the listener, which closes when it is dropped.
    pub fn stop(&mut self) -> Option<TcpListener> {
        self.stopped.store(true, Ordering::SeqCst);
        if let Some(accepting) = self.accepting.take() {
            let _ = accepting.join();
        }
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.listener.take()
    }
}

fn serve(stream: TcpStream, handler: &Handler) {
    let Ok(mut out) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let Some((status, body)) = handler(request) else {
            let _ = out.shutdown(Shutdown::Both);
            return;
        };
        let text = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if out.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let mut parts = line.split_whitespace();
    let (method, target) = (parts.next()?.to_owned(), parts.next()?.to_owned());
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    Some(Request {
        method,
        path: path.to_owned(),
        query: query.to_owned(),
        headers,
        body,
    })
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(headers);
        }
        let (key, value) = line.split_once(':')?;
        headers.push((key.trim().to_owned(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut BufReader<TcpStream>, headers: &[(String, String)]) -> Option<String> {
    let find = |name: &str| {
        headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, v)| v)
    };
    if find("Transfer-Encoding").is_some_and(|value| value.contains("chunked")) {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let size = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut part = vec![0; size + 2];
            reader.read_exact(&mut part).ok()?;
            if size == 0 {
                return String::from_utf8(body).ok();
            }
            body.extend_from_slice(&part[..size]);
        }
    }
    let length = find("Content-Length").map_or(Some(0), |value| value.parse().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()
}

/// Sends one request on a connection of its own; returns status and body.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    within: Duration,
) -> std::io::Result<(u16, String)> {
    Client::new(address).call(method, path, headers, body, within)
}

/// A client that keeps its connection open.
pub struct Client {
    address: SocketAddr,
    stream: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            stream: None,
        }
    }

    /// Sends one request; the connection is closed if it has no answer in time.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
        within: Duration,
    ) -> std::io::Result<(u16, String)> {
        let mut reader = match self.stream.take() {
            Some(stream) => stream,
            None => {
                let stream = TcpStream::connect_timeout(&self.address, within)?;
                stream.set_nodelay(true)?;
                BufReader::new(stream)
            }
        };
        reader.get_ref().set_read_timeout(Some(within))?;
        let mut text = format!("{method} {path} HTTP/1.1\r\n");
        if !headers.iter().any(|(key, _)| *key == "Host") {
            text.push_str(&format!("Host: {}\r\n", self.address));
        }
        for (key, value) in headers {
            text.push_str(&format!("{key}: {value}\r\n"));
        }
        if !body.is_empty() {
            text.push_str("Content-Type: application/json\r\n");
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
        reader.get_mut().write_all(text.as_bytes())?;
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let broken = || std::io::Error::other("no complete answer");
        let status = line
            .split_whitespace()
            .nth(1)
            .and_then(|word| word.parse().ok())
            .ok_or_else(broken)?;
        let headers = read_headers(&mut reader).ok_or_else(broken)?;
        let body = read_body(&mut reader, &headers).ok_or_else(broken)?;
        let closes = headers.iter().any(|(key, value)| {
            key.eq_ignore_ascii_case("Connection") && value.eq_ignore_ascii_case("close")
        });
        if !closes {
            self.stream = Some(reader);
        }
        Ok((status, body))
    }
}
