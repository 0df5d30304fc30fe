//! Cuts of single connections of a relay.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use laurelstile_lab::cut::{AfterCut, Cut, CutCounts, CutEnd, CutStart, Cuts};
use laurelstile_lab::relay::Relay;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

const LIMIT: Duration = Duration::from_secs(10);

/// A listener, and connections to it through a relay of which the first is cut from its start.
struct Cell {
    listener: TcpListener,
    relay: Relay,
    cuts: Cuts,
    address: SocketAddr,
}

impl Cell {
    async fn start(after: AfterCut) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let listener = listener.expect("bound");
        let target = listener.local_addr().expect("an address");
        let address = free_address();
        let cuts = Cuts::default();
        let mut cut = Some(Cut {
            start: CutStart::After(Duration::ZERO),
            end: CutEnd::Released,
            holds_back: false,
            after,
        });
        cuts.set_plan(move || cut.take());
        let relay = Relay::start_with_cuts(address, target, Some(cuts.clone()));
        let relay = relay.await.expect("a relay");
        Self {
            listener,
            relay,
            cuts,
            address,
        }
    }

    /// A connection, as its dialer and its listener have it.
    async fn connect(&self) -> (TcpStream, TcpStream) {
        let dialer = TcpStream::connect(self.address).await.expect("connected");
        let (listener, _) = self.listener.accept().await.expect("accepted");
        (dialer, listener)
    }

    async fn counted(&self, is_wanted: impl Fn(&CutCounts) -> bool) {
        let mut counts = self.cuts.counts();
        let counted = tokio::time::timeout(LIMIT, counts.wait_for(is_wanted)).await;
        counted.expect("in time").expect("counts");
    }

    /// Writes to a connection that is cut, and waits until the relay holds it.
    async fn write_held(&self, dialer: &mut TcpStream) {
        self.counted(|counts| counts.begun == 1).await;
        dialer.write_all(b"late").await.expect("written");
        self.counted(|counts| counts.held == 4).await;
    }
}

/// An address with a port that the system has free, not of the IP address from which processes
/// connect.
fn free_address() -> SocketAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_reuseaddr(true).expect("the option");
    let any_port = SocketAddr::from((Ipv4Addr::new(127, 32 | (high & 31), low, 1), 0));
    socket.bind(any_port).expect("a free port");
    socket.local_addr().expect("its address")
}

async fn read_text(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut buffer = [0; 64];
    let read = tokio::time::timeout(LIMIT, stream.read(&mut buffer)).await;
    let read = read.expect("read in time")?;
    Ok(String::from_utf8_lossy(&buffer[..read]).into_owned())
}

#[tokio::test]
async fn held_bytes_and_the_end_arrive_after_their_dialer_has_left_while_later_connections_pass() {
    let cell = Cell::start(AfterCut::Continue).await;
    let (mut dialer, mut listener) = cell.connect().await;
    cell.write_held(&mut dialer).await;
    drop(dialer);
    cell.counted(|counts| counts.left == 1).await;

    let (mut later, mut later_listener) = cell.connect().await;
    later.write_all(b"prompt").await.expect("written");
    assert_eq!(
        read_text(&mut later_listener).await.expect("read"),
        "prompt"
    );

    let mut nothing = [0; 1];
    let early = listener.try_read(&mut nothing);
    let is_held = early.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock);
    assert!(is_held, "bytes of the cut connection are held");
    cell.cuts.release();
    assert_eq!(read_text(&mut listener).await.expect("read"), "late");
    assert_eq!(read_text(&mut listener).await.expect("read"), "");
    assert_eq!(cell.relay.accepted(), 2);
}

#[tokio::test]
async fn a_cut_connection_that_its_dialer_keeps_continues() {
    let cell = Cell::start(AfterCut::Continue).await;
    let (mut dialer, mut listener) = cell.connect().await;
    cell.write_held(&mut dialer).await;
    listener.write_all(b"back").await.expect("written");
    assert_eq!(read_text(&mut dialer).await.expect("read"), "back");
    cell.cuts.release();
    assert_eq!(read_text(&mut listener).await.expect("read"), "late");
    dialer.write_all(b"more").await.expect("written");
    assert_eq!(read_text(&mut listener).await.expect("read"), "more");
}

#[tokio::test]
async fn the_sequel_follows_the_held_bytes() {
    let cell = Cell::start(AfterCut::HalfClosed).await;
    let (mut dialer, mut listener) = cell.connect().await;
    cell.write_held(&mut dialer).await;
    cell.cuts.release();
    assert_eq!(read_text(&mut listener).await.expect("read"), "late");
    assert_eq!(read_text(&mut listener).await.expect("read"), "");
    listener.write_all(b"back").await.expect("written");
    assert_eq!(read_text(&mut dialer).await.expect("read"), "back");

    let cell = Cell::start(AfterCut::Reset).await;
    let (mut dialer, _listener) = cell.connect().await;
    cell.write_held(&mut dialer).await;
    cell.cuts.release();
    let reset = read_text(&mut dialer).await;
    let is_reset = reset.is_err_and(|error| error.kind() == std::io::ErrorKind::ConnectionReset);
    assert!(is_reset, "the dialer is reset");
}
