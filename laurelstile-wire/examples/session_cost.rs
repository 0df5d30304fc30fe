//! Measures the processor time of hellos and messages, both sides together, for the constants in
//! `laurelstile-sim/src/fleet/processor.rs`.
//!
//! Prints microseconds of one core for a hello, for a short message sent alone and among queued
//! ones, and per kilobyte of a long message.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use laurelstile_core::leased::messages::{Member, ToPeer};
use laurelstile_types::id::Incarnation;
use laurelstile_wire::codec::encode;
use laurelstile_wire::hello::{LocalNode, NodeRole, SharedSecret, Socket};
use laurelstile_wire::session;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// Number of timed hellos.
const HELLOS: u64 = 2_000;
/// Number of timed short messages.
const MESSAGES: u64 = 100_000;
/// Number of timed member lists, and members of each.
const LISTS: u64 = 5_000;
const MEMBERS: u16 = 128;
/// Resolution of the kernel's processor time counters.
const TICK: Duration = Duration::from_millis(10);

fn node(name: &str) -> LocalNode {
    LocalNode {
        role: NodeRole::Gateway,
        name: name.into(),
        incarnation: Incarnation(1),
        started: Instant::now(),
        secret: SharedSecret::new(b"a secret of this example"),
    }
}

/// Processor time used by this process so far.
fn processor_time() -> Duration {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks = fields.split_whitespace().skip(11).take(2);
    let ticks: u32 = ticks.filter_map(|ticks| ticks.parse::<u32>().ok()).sum();
    TICK * ticks
}

fn members() -> ToPeer {
    let member = |number: u16| Member {
        name: format!("gateway-{number:04}"),
        address: ([127, 0, 0, 1], number).into(),
        zone: "zone-1".into(),
    };
    ToPeer::Members((0..MEMBERS).map(member).collect())
}

async fn open(listener: &TcpListener, address: SocketAddr) -> (Socket, Socket) {
    let (one, other) = (node("one"), node("other"));
    let accepting = async {
        let (stream, _) = listener.accept().await.expect("accepting failed");
        session::accept(stream, &other, NodeRole::Gateway).await
    };
    let dialing = session::dial(address, None, &one, NodeRole::Gateway);
    let (dialed, accepted) = tokio::join!(dialing, accepting);
    (
        dialed.expect("the handshake failed").0,
        accepted.expect("the handshake failed").0,
    )
}

/// Sends `count` copies of a message over a session, and waits until all are received.
async fn send_all(one: Socket, other: Socket, message: &ToPeer, count: u64) {
    let (outgoing, messages) = mpsc::unbounded_channel();
    for _ in 0..count {
        let _ = outgoing.send(message.clone());
    }
    let (unused, no_messages) = mpsc::unbounded_channel::<ToPeer>();
    let mut received = 0;
    let sending = session::run(one, messages, |_: ToPeer| {});
    let receiving = session::run(other, no_messages, |_: ToPeer| {
        received += 1;
    });
    drop(outgoing);
    tokio::join!(sending, receiving);
    drop(unused);
    assert_eq!(received, count);
}

/// Sends `count` messages alternately in both directions, each alone.
async fn ping_pong(one: Socket, other: Socket, count: u64) {
    let (to_other, from_one) = mpsc::unbounded_channel();
    let (to_one, from_other) = mpsc::unbounded_channel();
    let _ = to_other.send(ToPeer::InForce(0));
    let mut to_other = Some(to_other);
    let dialer = session::run(one, from_one, |message: ToPeer| match message {
        ToPeer::InForce(number) if number < count => {
            let next = to_other
                .as_ref()
                .map(|to| to.send(ToPeer::InForce(number + 1)));
            assert!(next.is_some());
        }
        _ => to_other = None,
    });
    let listener = session::run(other, from_other, |message: ToPeer| {
        if let ToPeer::InForce(number) = message {
            let _ = to_one.send(ToPeer::InForce(number + 1));
        }
    });
    tokio::join!(dialer, listener);
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("cannot bind");
    let address = listener.local_addr().expect("no address");
    let before = processor_time();
    for _ in 0..HELLOS {
        open(&listener, address).await;
    }
    let hello = (processor_time() - before).as_secs_f64() * 1e6 / HELLOS as f64;

    let (one, other) = open(&listener, address).await;
    let before = processor_time();
    ping_pong(one, other, MESSAGES).await;
    let alone = (processor_time() - before).as_secs_f64() * 1e6 / MESSAGES as f64;

    let (one, other) = open(&listener, address).await;
    let before = processor_time();
    send_all(one, other, &ToPeer::InForce(7), MESSAGES).await;
    let short = (processor_time() - before).as_secs_f64() * 1e6 / MESSAGES as f64;

    let list = members();
    let kilobytes = encode(&list).len() as f64 / 1_000.0;
    let (one, other) = open(&listener, address).await;
    let before = processor_time();
    send_all(one, other, &list, LISTS).await;
    let long = (processor_time() - before).as_secs_f64() * 1e6 / LISTS as f64;
    let kilobyte = (long - short) / kilobytes;
    println!(
        "hello {hello:.0} us, message alone {alone:.1} us, among others {short:.1} us, kilobyte \
         {kilobyte:.1} us"
    );
}
