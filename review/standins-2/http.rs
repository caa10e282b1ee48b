//! HTTP/1.1 over TCP: a server with a thread for each connection, and a client that
//! opens a connection for each request.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

#[derive(Clone, Debug)]
pub struct Request {
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.as_str())
    }

    pub fn query(&self, name: &str) -> &str {
        let mut query = self.query.iter();
        query
            .find(|(key, _)| key == name)
            .map_or("", |(_, value)| value.as_str())
    }
}

/// Status and JSON body of a response.
pub type Response = (u16, String);

pub type Handler = Arc<dyn Fn(&Request) -> Response + Send + Sync>;

/// Serves requests on an address until the process ends.
pub fn serve(address: SocketAddr, handler: Handler) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            // The connection ends with an error when its client is gone.
            thread::spawn(move || drop(serve_connection(stream, &handler)));
        }
    });
    Ok(())
}

fn serve_connection(stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(req) = read_request(&mut reader)? {
        let (status, body) = handler(&req);
        let response = format!(
            "HTTP/1.1 {status} Status\r\ncontent-type: application/json\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        );
        writer.write_all(response.as_bytes())?;
    }
    Ok(())
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let target = words.nth(1).unwrap_or_default().to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(key, value)| (key.to_owned(), decode(value)));
    let headers = read_headers(reader)?;
    let length = content_length(&headers);
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(Some(Request {
        path: path.to_owned(),
        query: query.collect(),
        headers,
        body: String::from_utf8_lossy(&body).into_owned(),
    }))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((key, value)) = line.split_once(':') {
            headers.push((key.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn content_length(headers: &[(String, String)]) -> Option<usize> {
    let mut headers = headers.iter();
    let length = headers.find(|(key, _)| key == "content-length");
    length.and_then(|(_, value)| value.parse().ok())
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(b) = rest.next() {
        bytes.push(match b {
            b'+' => b' ',
            b'%' => {
                let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
                let digits = String::from_utf8_lossy(&digits).into_owned();
                u8::from_str_radix(&digits, 16).unwrap_or(b'?')
            }
            b => b,
        });
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends a request on a connection of its own and waits at most `within` for the response.
/// Returns its status and body.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
    within: Duration,
) -> io::Result<(u16, String)> {
    let until = Instant::now() + within;
    let stream = TcpStream::connect_timeout(&to, within)?;
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n",
        body.len()
    );
    if !body.is_empty() {
        head.push_str("content-type: application/json\r\n");
    }
    if !headers.iter().any(|(key, _)| *key == "host") {
        head.push_str(&format!("host: {to}\r\n"));
    }
    for (key, value) in headers {
        head.push_str(&format!("{key}: {value}\r\n"));
    }
    writer.write_all(format!("{head}\r\n{body}").as_bytes())?;
    let left = until.saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let status = line
        .split_whitespace()
        .nth(1)
        .and_then(|word| word.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    let headers = read_headers(&mut reader)?;
    let mut body = vec![0; content_length(&headers).unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}
