//! Sessions require a proof of the shared secret, and end on malformed or unexpected frames.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::SinkExt;
use laurelstile_core::messages::agent::{FromAgent, FromAgentBody, SlotReport};
use laurelstile_types::id::Incarnation;
use laurelstile_wire::error::WireError;
use laurelstile_wire::hello::{LocalNode, NodeRole, SharedSecret};
use laurelstile_wire::session::{CONNECT_TIMEOUT, MAX_MESSAGE_BYTES, accept, dial, run};
use rstest::rstest;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_tungstenite::tungstenite::Message;

const SECRET: &[u8] = b"a secret of the installation";
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

fn node(role: NodeRole, secret: &[u8]) -> LocalNode {
    LocalNode {
        role,
        name: "node".to_owned(),
        incarnation: Incarnation(7),
        started: Instant::now(),
        secret: SharedSecret::new(secret),
    }
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("cannot bind");
    let address = listener.local_addr().expect("no address");
    (listener, address)
}

/// Accepts one connection as an agent, and returns how its session ended.
async fn accept_one(listener: TcpListener) -> WireError {
    let (stream, _) = listener.accept().await.expect("accepting failed");
    let local = node(NodeRole::Agent, SECRET);
    match accept(stream, &local, NodeRole::Gateway).await {
        Ok((socket, _)) => {
            let (_outgoing, messages) = mpsc::unbounded_channel::<FromAgent>();
            run(socket, messages, |_: FromAgent| {}).await
        }
        Err(error) => error,
    }
}

fn message() -> FromAgent {
    FromAgent {
        report: SlotReport::default(),
        body: FromAgentBody::Heartbeat,
    }
}

#[tokio::test]
async fn messages_pass_between_processes_with_the_same_secret() {
    let (listener, address) = listener().await;
    let (received, mut messages_received) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("accepting failed");
        let local = node(NodeRole::Agent, SECRET);
        let (socket, remote) = accept(stream, &local, NodeRole::Gateway)
            .await
            .expect("the handshake failed");
        assert_eq!(remote.incarnation, Incarnation(7));
        let (_outgoing, messages) = mpsc::unbounded_channel::<FromAgent>();
        run(socket, messages, |message: FromAgent| {
            let _ = received.send(message);
        })
        .await;
    });
    let local = node(NodeRole::Gateway, SECRET);
    let (socket, _) = dial(address, None, &local, NodeRole::Agent)
        .await
        .expect("the handshake failed");
    let (outgoing, messages) = mpsc::unbounded_channel();
    tokio::spawn(run(socket, messages, |_: FromAgent| {}));
    outgoing.send(message()).expect("the session is closed");
    let result = tokio::time::timeout(TEST_TIMEOUT, messages_received.recv()).await;
    assert!(matches!(result, Ok(Some(_))));
}

#[rstest]
#[case::wrong_secret(NodeRole::Gateway, b"another secret, just as long")]
#[case::wrong_role(NodeRole::Agent, SECRET)]
#[tokio::test]
async fn a_wrong_secret_or_role_is_rejected(#[case] role: NodeRole, #[case] secret: &'static [u8]) {
    let (listener, address) = listener().await;
    let accepting = tokio::spawn(accept_one(listener));
    let dialed = dial(address, None, &node(role, secret), NodeRole::Agent).await;
    assert!(dialed.is_err());
    let error = accepting.await.expect("the task panicked");
    assert!(
        matches!(
            error,
            WireError::Role | WireError::Closed | WireError::Websocket(_)
        ),
        "{error:?}"
    );
}

#[rstest]
#[case::malformed(vec![0xff; 64])]
#[case::empty(Vec::new())]
#[case::oversized(vec![0; MAX_MESSAGE_BYTES + 1])]
#[tokio::test]
async fn a_malformed_first_frame_is_rejected(#[case] frame: Vec<u8>) {
    let (listener, address) = listener().await;
    let accepting = tokio::spawn(accept_one(listener));
    let stream = TcpStream::connect(address)
        .await
        .expect("connecting failed");
    let (mut socket, _) = tokio_tungstenite::client_async("ws://node/", stream)
        .await
        .expect("the websocket upgrade failed");
    let _ = socket.send(Message::binary(frame)).await;
    let error = accepting.await.expect("the task panicked");
    assert!(
        matches!(error, WireError::Malformed(_) | WireError::Websocket(_)),
        "{error:?}"
    );
}

#[tokio::test]
async fn a_malformed_frame_ends_an_open_session() {
    let (listener, address) = listener().await;
    let accepting = tokio::spawn(accept_one(listener));
    let local = node(NodeRole::Gateway, SECRET);
    let (mut socket, _) = dial(address, None, &local, NodeRole::Agent)
        .await
        .expect("the handshake failed");
    socket
        .send(Message::binary(vec![0xff; 8]))
        .await
        .expect("sending failed");
    let error = accepting.await.expect("the task panicked");
    assert!(matches!(error, WireError::Malformed(_)), "{error:?}");
}

/// A listener whose backlog is full: the system drops further connection requests, as if the
/// machine had no power.
fn silent_listener() -> (socket2::Socket, Vec<socket2::Socket>, SocketAddr) {
    let new = || {
        let socket = socket2::Socket::new(
            socket2::Domain::IPV4,
            socket2::Type::STREAM,
            Some(socket2::Protocol::TCP),
        );
        socket.expect("no socket")
    };
    let listener = new();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    listener.bind(&any.into()).expect("cannot bind");
    listener.listen(0).expect("cannot listen");
    let address = listener.local_addr().expect("no address");
    let fillers = (0..4).map(|_| {
        let socket = new();
        socket.set_nonblocking(true).expect("cannot set the option");
        let _ = socket.connect(&address);
        socket
    });
    let fillers = fillers.collect();
    (listener, fillers, address.as_socket().expect("no address"))
}

/// Dials to machines without power must fail soon, so that agents redial quickly after a power
/// loss.
#[tokio::test(start_paused = true)]
async fn a_dial_to_a_silent_machine_times_out() {
    let (_listener, _fillers, address) = silent_listener();
    let local = node(NodeRole::Agent, SECRET);
    let started = tokio::time::Instant::now();
    let dialed = dial(address, None, &local, NodeRole::Gateway).await;
    assert!(matches!(dialed, Err(WireError::Timeout)));
    // Time is paused and advances from timer to timer.
    assert!(started.elapsed() <= CONNECT_TIMEOUT + Duration::from_millis(1));
}
