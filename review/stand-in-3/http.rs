//! HTTP/1.1 over TCP: a server with a thread for each connection, and a client.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub struct Request {
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

/// Status and body of a server's answer.
pub type Reply = (u16, String);

/// A server, which may be ended with all its connections.
#[derive(Clone, Default)]
pub struct Server {
    has_ended: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Ends it, as the end of its process does: connections are closed, new ones are refused.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::Relaxed);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // The listener is closed when it next looks.
        std::thread::sleep(Duration::from_millis(20));
    }
}

pub fn serve(
    address: SocketAddr,
    handler: impl Fn(Request) -> Reply + Clone + Send + 'static,
) -> Server {
    let listener = TcpListener::bind(address).expect("a free address");
    listener.set_nonblocking(true).expect("a listener");
    let server = Server::default();
    let running = server.clone();
    std::thread::spawn(move || {
        while !running.has_ended.load(Ordering::Relaxed) {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            running.streams.lock().unwrap().extend(stream.try_clone());
            let handler = handler.clone();
            std::thread::spawn(move || serve_connection(stream, &handler));
        }
    });
    server
}

fn serve_connection(stream: TcpStream, handler: &impl Fn(Request) -> Reply) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let (line, headers) = read_head(&mut reader)?;
        let mut words = line.split(' ');
        let target = words.nth(1)?;
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = query.split('&').filter_map(|pair| pair.split_once('='));
        let query = query.map(|(name, value)| (name.to_owned(), unescape(value)));
        let body = read_body(&mut reader, &headers)?;
        let request = Request {
            path: path.to_owned(),
            query: query.collect(),
            headers,
            body,
        };
        let (status, body) = handler(request);
        let mut head = format!("HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n");
        head += &format!("Content-Length: {}\r\n\r\n", body.len());
        writer.write_all((head + &body).as_bytes()).ok()?;
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, BTreeMap<String, String>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
}

fn read_body(reader: &mut impl Read, headers: &BTreeMap<String, String>) -> Option<String> {
    let length = headers.get("content-length").map_or("0", String::as_str);
    let mut bytes = vec![0; length.parse().ok()?];
    reader.read_exact(&mut bytes).ok()?;
    String::from_utf8(bytes).ok()
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let escaped = (bytes[at] == b'%')
            .then(|| bytes.get(at + 1..at + 3))
            .flatten();
        let code = escaped.and_then(|digits| std::str::from_utf8(digits).ok());
        if let Some(byte) = code.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            out.push(byte);
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Status, headers and body of an answer.
pub type Answer = (u16, BTreeMap<String, String>, String);

/// A connection of a client.
pub struct Connection {
    address: SocketAddr,
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr, patience: Duration) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, patience).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(patience)).ok()?;
        let reader = BufReader::new(stream);
        Some(Self { address, reader })
    }

    /// `None` if no answer arrives in time; the connection is not to be used again then.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<Answer> {
        let mut head = format!("{method} {path} HTTP/1.1\r\n");
        if !headers.iter().any(|(name, _)| *name == "Host") {
            head += &format!("Host: {}\r\n", self.address);
        }
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        head += "Content-Type: application/json\r\n";
        head += &format!("Content-Length: {}\r\n\r\n", body.len());
        self.reader
            .get_mut()
            .write_all((head + body).as_bytes())
            .ok()?;
        let (line, headers) = read_head(&mut self.reader)?;
        let status = line.split(' ').nth(1)?.parse().ok()?;
        let body = read_body(&mut self.reader, &headers)?;
        Some((status, headers, body))
    }
}

/// Makes a call on a connection of its own; `None` if there is no answer within `patience`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    patience: Duration,
) -> Option<Answer> {
    Connection::open(address, patience)?.call(method, path, headers, body)
}
