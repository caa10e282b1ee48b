//! HTTP/1.1 over plain sockets: a server with a thread for each connection, and a
//! client that sends one request on a new connection.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

#[derive(Debug)]
pub struct Request {
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn query_value(&self, name: &str) -> &str {
        let mut pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map_or("", |(_, value)| value)
    }
}

/// Status and body of a response.
pub type Response = (u16, String);

/// A listening server.
pub struct Server {
    address: SocketAddr,
    is_closed: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Refuses further connections and ends the open ones, as if the process had died.
    pub fn close(self) {
        self.is_closed.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts connections.
        drop(TcpStream::connect(self.address));
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Serves requests until the server is closed or the process ends.
pub fn serve(
    address: SocketAddr,
    handler: impl Fn(&Request) -> Response + Send + Sync + 'static,
) -> io::Result<Server> {
    let listener = TcpListener::bind(address)?;
    let server = Server {
        address,
        is_closed: Arc::default(),
        streams: Arc::default(),
    };
    let (is_closed, streams) = (server.is_closed.clone(), server.streams.clone());
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if is_closed.load(Ordering::SeqCst) {
                return;
            }
            if let Ok(clone) = stream.try_clone() {
                streams.lock().unwrap().push(clone);
            }
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
    Ok(server)
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(&Request) -> Response) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(req)) = read_request(&mut reader) {
        let (status, body) = handler(&req);
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if writer.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

type Head = (String, Vec<(String, String)>);

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((key, value)) = line.split_once(':') {
            headers.push((key.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> io::Result<String> {
    let value = |name: &str| {
        let found = headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.clone())
    };
    let mut body = Vec::new();
    if value("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            body.extend_from_slice(&chunk[..size]);
        }
    } else {
        let size = value("content-length").and_then(|v| v.parse().ok());
        body.resize(size.unwrap_or(0), 0);
        reader.read_exact(&mut body)?;
    }
    Ok(String::from_utf8_lossy(&body).into_owned())
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let body = read_body(reader, &headers)?;
    let mut parts = first.split(' ');
    // The first part is the method, which the paths imply.
    let target = parts.nth(1).unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    Ok(Some(Request {
        path: path.to_owned(),
        query: query.to_owned(),
        headers,
        body,
    }))
}

/// Sends a request on a new connection and waits at most `within` for each part of the
/// response.
pub fn send(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    within: Duration,
) -> io::Result<Response> {
    let stream = TcpStream::connect_timeout(&to, within.min(Duration::from_secs(2)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(within))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(key, _)| *key == "Host") {
        head += &format!("Host: {to}\r\n");
    }
    for (key, value) in headers {
        head += &format!("{key}: {value}\r\n");
    }
    head += &format!(
        "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    (&stream).write_all((head + body).as_bytes())?;
    let mut reader = BufReader::new(&stream);
    let closed = || io::Error::new(io::ErrorKind::UnexpectedEof, "closed before an answer");
    let (first, headers) = read_head(&mut reader)?.ok_or_else(closed)?;
    let body = read_body(&mut reader, &headers)?;
    let status = first.split(' ').nth(1).and_then(|s| s.parse().ok());
    Ok((status.ok_or_else(closed)?, body))
}
