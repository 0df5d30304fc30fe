//! A relay before the session address of a gateway. A machine can be cut off: its connections, to
//! and from it, then carry nothing, and end when the cut does.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const POLL: Duration = Duration::from_millis(5);
/// Bytes of a connection's start that are searched for the name of its dialer.
const MAX_START_BYTES: usize = 4_096;

/// The machine that is cut off, if one is.
#[derive(Clone, Default)]
pub struct Cut(Arc<Mutex<Option<String>>>);

impl Cut {
    pub fn set(&self, machine: Option<&str>) {
        *self.0.lock().expect("cut") = machine.map(str::to_owned);
    }

    fn machine(&self) -> Option<String> {
        self.0.lock().expect("cut").clone()
    }
}

struct Link {
    cut: Cut,
    target: String,
    dialer: Mutex<Option<String>>,
}

impl Link {
    fn is_cut(&self) -> bool {
        self.cut.machine().is_some_and(|machine| {
            let dialer = self.dialer.lock().expect("dialer");
            machine == self.target || Some(&machine) == dialer.as_ref()
        })
    }
}

/// Relays `address` to `target`, where the gateway `name` listens. `machines` are all names that a
/// dialer may have.
pub fn start(
    address: SocketAddr,
    target: SocketAddr,
    name: &str,
    machines: &[String],
    cut: &Cut,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let (name, machines, cut) = (name.to_owned(), machines.to_vec(), cut.clone());
    thread::spawn(move || {
        for dialed in listener.incoming().flatten() {
            let link = Arc::new(Link {
                cut: cut.clone(),
                target: name.clone(),
                dialer: Mutex::new(None),
            });
            let machines = machines.clone();
            thread::spawn(move || relay(&dialed, target, &link, &machines));
        }
    });
    Ok(())
}

fn relay(dialed: &TcpStream, target: SocketAddr, link: &Arc<Link>, machines: &[String]) {
    if link.is_cut() {
        while link.is_cut() {
            thread::sleep(POLL);
        }
        return;
    }
    let Ok(listening) = TcpStream::connect(target) else {
        return;
    };
    for stream in [dialed, &listening] {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(POLL));
    }
    let (Ok(back_from), Ok(back_to)) = (listening.try_clone(), dialed.try_clone()) else {
        return;
    };
    let back_link = Arc::clone(link);
    let back = thread::spawn(move || pump(&back_from, &back_to, &back_link, None));
    pump(dialed, &listening, link, Some(machines));
    let _ = back.join();
}

/// Carries bytes until either side closes, or a cut of this link has ended.
fn pump(mut from: &TcpStream, mut to: &TcpStream, link: &Link, machines: Option<&[String]>) {
    let mut start = Vec::new();
    let mut buffer = [0; 16 * 1_024];
    loop {
        let length = match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(length) => length,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => 0,
            Err(_) => break,
        };
        if let Some(machines) = machines
            && start.len() < MAX_START_BYTES
        {
            start.extend_from_slice(&buffer[..length]);
            if let Some(name) = dialer(&start, machines) {
                *link.dialer.lock().expect("dialer") = Some(name);
            }
        }
        if link.is_cut() {
            while link.is_cut() {
                thread::sleep(POLL);
            }
            break;
        }
        if length > 0 && to.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

/// The name in the first frame that a dialer sends after its request for an upgrade.
fn dialer(start: &[u8], machines: &[String]) -> Option<String> {
    let end = start.windows(4).position(|bytes| bytes == b"\r\n\r\n")?;
    let frame = &start[end + 4..];
    let (length, header) = match frame.get(1)? & 0x7f {
        126 => {
            let length = [*frame.get(2)?, *frame.get(3)?];
            (usize::from(u16::from_be_bytes(length)), 4)
        }
        length => (usize::from(length), 2),
    };
    let mask = frame.get(header..header + 4)?;
    let masked = frame.get(header + 4..header + 4 + length)?;
    let bytes = masked.iter().zip(mask.iter().cycle());
    let bytes: Vec<u8> = bytes.map(|(byte, mask)| byte ^ mask).collect();
    let is_in = |name: &&String| {
        bytes
            .windows(name.len())
            .any(|part| part == name.as_bytes())
    };
    machines.iter().find(is_in).cloned()
}
