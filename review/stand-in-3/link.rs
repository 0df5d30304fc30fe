//! A link that a cut holds up: bytes wait until it ends. A connection that is opened during a cut hangs,
//! and comes to nothing if its opener has given up by then.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};

use crate::record::Record;

/// Whether links are cut.
#[derive(Clone, Default)]
pub struct Cut(Arc<(Mutex<bool>, Condvar)>);

impl Cut {
    pub fn set(&self, is_cut: bool, record: &Record) {
        record.add(&format!("cut={is_cut}"));
        *self.0.0.lock().unwrap() = is_cut;
        self.0.1.notify_all();
    }

    fn is_cut(&self) -> bool {
        *self.0.0.lock().unwrap()
    }

    fn wait(&self) {
        let mut is_cut = self.0.0.lock().unwrap();
        while *is_cut {
            is_cut = self.0.1.wait(is_cut).unwrap();
        }
    }
}

/// Passes connections from `door` on to `target`.
pub fn start(door: SocketAddr, target: SocketAddr, cut: &Cut) {
    let listener = TcpListener::bind(door).expect("a free address");
    let cut = cut.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let cut = cut.clone();
            std::thread::spawn(move || open(stream, target, &cut));
        }
    });
}

fn open(near: TcpStream, target: SocketAddr, cut: &Cut) -> Option<()> {
    let opened_in_cut = cut.is_cut();
    cut.wait();
    let first = if opened_in_cut {
        first_bytes(&near)?
    } else {
        Vec::new()
    };
    let mut far = TcpStream::connect(target).ok()?;
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    far.write_all(&first).ok()?;
    let (from, to) = (near.try_clone().ok()?, far.try_clone().ok()?);
    let back_cut = cut.clone();
    std::thread::spawn(move || pass(far, near, &back_cut));
    pass(from, to, cut);
    None
}

/// What the opener of a connection has sent; `None` if it has closed it.
fn first_bytes(mut near: &TcpStream) -> Option<Vec<u8>> {
    near.set_nonblocking(true).ok()?;
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        match near.read(&mut buffer) {
            Ok(0) => return None,
            Ok(length) => bytes.extend(&buffer[..length]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => break,
            Err(_) => return None,
        }
    }
    near.set_nonblocking(false).ok()?;
    Some(bytes)
}

fn pass(mut from: TcpStream, mut to: TcpStream, cut: &Cut) {
    let mut buffer = [0; 16 * 1_024];
    loop {
        let length = from.read(&mut buffer).unwrap_or(0);
        cut.wait();
        if length == 0 || to.write_all(&buffer[..length]).is_err() {
            let _ = to.shutdown(Shutdown::Write);
            if length != 0 {
                let _ = from.shutdown(Shutdown::Both);
            }
            return;
        }
    }
}
