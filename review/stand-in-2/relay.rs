//! A relay before a gateway's session address, which can hold back what others send to the gateway on
//! some of its connections: a lost packet delays all that follows it until it is sent again.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;

/// A relay to one gateway.
pub struct Relay {
    target: SocketAddr,
    /// Whether connections that are opened now are among those that can be held.
    pub is_marking: AtomicBool,
    is_holding: Mutex<bool>,
    changed: Condvar,
}

impl Relay {
    pub fn start(address: SocketAddr, target: SocketAddr) -> Arc<Self> {
        let relay = Arc::new(Self {
            target,
            is_marking: AtomicBool::new(false),
            is_holding: Mutex::new(false),
            changed: Condvar::new(),
        });
        let listener = TcpListener::bind(address).expect("a relay listens");
        let accepting = Arc::clone(&relay);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let relay = Arc::clone(&accepting);
                thread::spawn(move || relay.connect(stream));
            }
        });
        relay
    }

    /// Holds the marked connections, or lets them go on.
    pub fn hold(&self, is_holding: bool) {
        *self.is_holding.lock().unwrap() = is_holding;
        self.changed.notify_all();
    }

    fn connect(self: Arc<Self>, near: TcpStream) -> Option<()> {
        let is_marked = self.is_marking.load(Ordering::SeqCst);
        // Without the gateway, the connection ends at once.
        let far = TcpStream::connect(self.target).ok()?;
        near.set_nodelay(true).ok()?;
        far.set_nodelay(true).ok()?;
        let (near_end, far_end) = (near.try_clone().ok()?, far.try_clone().ok()?);
        let back = thread::spawn(move || copy(far_end, near_end, || ()));
        copy(near, far, || {
            let mut is_holding = self.is_holding.lock().unwrap();
            while is_marked && *is_holding {
                is_holding = self.changed.wait(is_holding).unwrap();
            }
        });
        back.join().ok()
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, wait: impl Fn()) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(length) = from.read(&mut buffer) {
        wait();
        if length == 0 || to.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
