//! The hello, the handshake that opens a session: versions, roles, names, and mutual proofs of the
//! shared secret.
//!
//! The dialer sends a challenge; the listener answers with its own challenge and a proof over both;
//! the dialer then sends its proof.

use std::fmt;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use hmac::{Hmac, Mac};
use laurelstile_core::session::Remote;
use laurelstile_types::id::Incarnation;
use laurelstile_types::time::Span;
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

use crate::codec::{decode, encode};
use crate::error::WireError;

/// Version of the protocol between laurelstile's processes.
pub const PROTOCOL_VERSION: u32 = 2;
/// Time-out of a hello.
pub const HELLO_TIMEOUT: Duration = Duration::from_secs(5);

const CHALLENGE_BYTES: usize = 16;

/// A websocket, on either side of a session.
pub type Socket = WebSocketStream<TcpStream>;

/// The secret that all processes of an installation share. Not printed by `Debug`.
#[derive(Clone)]
pub struct SharedSecret(Vec<u8>);

impl SharedSecret {
    /// A secret of these bytes, of any length.
    pub fn new(bytes: &[u8]) -> Self {
        Self(bytes.to_owned())
    }
}

impl fmt::Debug for SharedSecret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("SharedSecret")
    }
}

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeRole {
    /// Accepts jobs and dispatches their tasks.
    Gateway,
    /// Runs tasks on one back end or controls one worker.
    Agent,
}

/// Identity of this process, and the secret that it proves.
#[derive(Clone, Debug)]
pub struct LocalNode {
    /// Role of this process.
    pub role: NodeRole,
    /// Name of the gateway or back end.
    pub name: String,
    /// Drawn at random at the start of the process.
    pub incarnation: Incarnation,
    /// Start of the process, from which its uptime is sent.
    pub started: std::time::Instant,
    /// Shared secret of the installation.
    pub secret: SharedSecret,
}

/// First frame of either side.
#[derive(Debug, Serialize, Deserialize)]
struct Hello {
    protocol: u32,
    role: NodeRole,
    name: String,
    incarnation: Incarnation,
    uptime: Span,
    challenge: [u8; CHALLENGE_BYTES],
}

/// HMAC-SHA256 of both hellos and the prover's side, keyed with the secret.
#[derive(Debug, Serialize, Deserialize)]
struct Proof(#[serde(with = "serde_bytes")] Vec<u8>);

#[derive(Clone, Copy)]
enum Prover {
    Dialer,
    Listener,
}

/// Performs the handshake as the side that dialed.
///
/// # Errors
/// Any [`WireError`]; the socket must not be used then.
pub async fn handshake_as_dialer(
    socket: &mut Socket,
    local: &LocalNode,
    expected: NodeRole,
) -> Result<Remote, WireError> {
    with_timeout(async {
        let ours = new_hello(local);
        send(socket, &ours).await?;
        let theirs: Hello = receive(socket).await?;
        check(&theirs, &[expected])?;
        let proof: Proof = receive(socket).await?;
        verify(&proof, local, Prover::Listener, &ours, &theirs)?;
        let answer = prove(local, Prover::Dialer, &ours, &theirs);
        send(socket, &answer).await?;
        Ok(into_remote(theirs))
    })
    .await
}

/// Performs the handshake as the side that was dialed; the other side must have one of the roles
/// `expected`.
///
/// # Errors
/// Any [`WireError`]; the socket must not be used then.
pub async fn handshake_as_listener(
    socket: &mut Socket,
    local: &LocalNode,
    expected: &[NodeRole],
) -> Result<(NodeRole, Remote), WireError> {
    with_timeout(async {
        let theirs: Hello = receive(socket).await?;
        check(&theirs, expected)?;
        let ours = new_hello(local);
        send(socket, &ours).await?;
        let proof = prove(local, Prover::Listener, &theirs, &ours);
        send(socket, &proof).await?;
        let answer: Proof = receive(socket).await?;
        verify(&answer, local, Prover::Dialer, &theirs, &ours)?;
        Ok((theirs.role, into_remote(theirs)))
    })
    .await
}

async fn with_timeout<T>(
    handshake: impl Future<Output = Result<T, WireError>>,
) -> Result<T, WireError> {
    tokio::time::timeout(HELLO_TIMEOUT, handshake)
        .await
        .unwrap_or(Err(WireError::Timeout))
}

fn new_hello(local: &LocalNode) -> Hello {
    let uptime = local.started.elapsed().as_micros();
    Hello {
        protocol: PROTOCOL_VERSION,
        role: local.role,
        name: local.name.clone(),
        incarnation: local.incarnation,
        uptime: Span(u64::try_from(uptime).unwrap_or(u64::MAX)),
        challenge: rand::random(),
    }
}

fn into_remote(hello: Hello) -> Remote {
    Remote {
        name: hello.name,
        incarnation: hello.incarnation,
        uptime: hello.uptime,
    }
}

fn check(hello: &Hello, expected: &[NodeRole]) -> Result<(), WireError> {
    if hello.protocol != PROTOCOL_VERSION {
        return Err(WireError::Version {
            ours: PROTOCOL_VERSION,
            theirs: hello.protocol,
        });
    }
    if !expected.contains(&hello.role) {
        return Err(WireError::Role);
    }
    Ok(())
}

fn mac_of(local: &LocalNode, prover: Prover, dialer: &Hello, listener: &Hello) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(&local.secret.0)
        .unwrap_or_else(|_| unreachable!("HMAC takes keys of every length"));
    mac.update(match prover {
        Prover::Dialer => b"dialer",
        Prover::Listener => b"listener",
    });
    mac.update(&encode(dialer));
    mac.update(&encode(listener));
    mac
}

fn prove(local: &LocalNode, prover: Prover, dialer: &Hello, listener: &Hello) -> Proof {
    let mac = mac_of(local, prover, dialer, listener);
    Proof(mac.finalize().into_bytes().to_vec())
}

fn verify(
    proof: &Proof,
    local: &LocalNode,
    prover: Prover,
    dialer: &Hello,
    listener: &Hello,
) -> Result<(), WireError> {
    mac_of(local, prover, dialer, listener)
        .verify_slice(&proof.0)
        .map_err(|_| WireError::Proof)
}

async fn send<T: Serialize>(socket: &mut Socket, message: &T) -> Result<(), WireError> {
    socket.send(Message::binary(encode(message))).await?;
    Ok(())
}

async fn receive<T: serde::de::DeserializeOwned>(socket: &mut Socket) -> Result<T, WireError> {
    match socket.next().await {
        Some(Ok(Message::Binary(bytes))) => decode(&bytes),
        Some(Ok(_)) => Err(WireError::UnexpectedFrame),
        Some(Err(error)) => Err(error.into()),
        None => Err(WireError::Closed),
    }
}
