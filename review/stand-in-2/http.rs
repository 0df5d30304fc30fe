//! A small HTTP/1.1 server and client over blocking sockets.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A request, with header names in lower case.
pub struct Request {
    pub path: String,
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

    /// A parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let (_, query) = self.path.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map(|(_, value)| decode(value))
    }
}

fn decode(text: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        let is_escape = byte == b'%';
        let digits = is_escape.then(|| [bytes.next(), bytes.next()]);
        match digits {
            Some([Some(high), Some(low)]) => {
                let digits = format!("{}{}", char::from(high), char::from(low));
                out.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
            }
            _ => out.push(byte),
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Status and JSON body of an answer.
pub type Answer = (u16, String);

/// A running server.
pub struct Server {
    address: SocketAddr,
    is_stopped: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Closes the listener and all connections, as the end of its process would.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        // Wakes the listener.
        let _ = TcpStream::connect(self.address);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Serves requests on `address`, each connection in a thread of its own.
pub fn serve(
    address: SocketAddr,
    handle: impl Fn(&Request) -> Answer + Send + Sync + 'static,
) -> Server {
    let listener = TcpListener::bind(address).expect("a stand-in listens");
    let server = Server {
        address,
        is_stopped: Arc::default(),
        streams: Arc::default(),
    };
    let handle = Arc::new(handle);
    let (is_stopped, streams) = (Arc::clone(&server.is_stopped), Arc::clone(&server.streams));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if is_stopped.load(Ordering::SeqCst) {
                return;
            }
            if let Ok(stream) = stream.try_clone() {
                streams.lock().unwrap().push(stream);
            }
            let handle = Arc::clone(&handle);
            thread::spawn(move || serve_connection(&stream, handle.as_ref()));
        }
    });
    server
}

fn serve_connection(stream: &TcpStream, handle: &impl Fn(&Request) -> Answer) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    loop {
        let request = read_request(&mut reader)?;
        let (status, body) = handle(&request);
        let answer = format!(
            "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut writer = stream;
        writer.write_all(answer.as_bytes()).ok()?;
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
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
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut impl Read, headers: &[(String, String)]) -> Option<String> {
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.map_or(Some(0), |(_, value)| value.parse().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(String::from_utf8_lossy(&body).into_owned())
}

fn read_request(reader: &mut BufReader<&TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    words.next()?;
    let path = words.next()?.to_owned();
    let body = read_body(reader, &headers)?;
    Some(Request {
        path,
        headers,
        body,
    })
}

/// Makes a call whose connection breaks after this time, before its answer.
pub fn break_call(address: SocketAddr, path: &str, host: &str, body: &str, after: Duration) {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: {host}\r\nDeadline-Ms: 25000\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    if let Ok(mut stream) = TcpStream::connect(address) {
        let _ = stream.write_all(head.as_bytes());
        thread::sleep(after);
        let _ = stream.shutdown(Shutdown::Both);
    }
}

/// Makes a call on a connection of its own; `None` if it gets no whole answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
    timeout: Duration,
) -> Option<Answer> {
    let stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        head.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!(
        "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ));
    let mut writer = &stream;
    writer.write_all(head.as_bytes()).ok()?;
    let mut reader = BufReader::new(&stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, read_body(&mut reader, &headers)?))
}
