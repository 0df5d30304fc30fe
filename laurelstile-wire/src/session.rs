//! Opening sessions and moving messages over them.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use laurelstile_core::session::{MessageKind, Remote};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::{accept_async_with_config, client_async_with_config};

use crate::codec::{decode, encode};
use crate::error::WireError;
use crate::hello::{
    HELLO_TIMEOUT, LocalNode, NodeRole, Socket, greet_as_dialer, greet_as_listener,
};
use crate::liveness;
use crate::traffic::{self, Direction};

/// Largest message that is taken, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// Read buffer of each session, in bytes: most messages are far smaller, and
/// a gateway has a session to each agent.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// Longest that the opening of a connection may take, which is the systems' own work
/// and no process's. A machine that is off says nothing, and the first packet to it
/// would be repeated after a second only.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// How long the other side may take to take in that the session is closed.
const CLOSE_LIMIT: Duration = Duration::from_millis(200);

/// Most messages that go out with one flush.
const WRITE_BATCH: usize = 64;

/// Dials `address`, from the local address `source` if one is given, and
/// greets.
///
/// # Errors
/// Any [`WireError`].
pub async fn dial(
    address: SocketAddr,
    source: Option<IpAddr>,
    local: &LocalNode,
    expected: NodeRole,
) -> Result<(Socket, Remote), WireError> {
    dial_with_timeout(CONNECT_TIMEOUT, address, source, local, expected).await
}

/// Dials as [`dial`] does, and gives the opening of the connection up after
/// `limit`.
///
/// # Errors
/// Any [`WireError`].
pub async fn dial_with_timeout(
    limit: Duration,
    address: SocketAddr,
    source: Option<IpAddr>,
    local: &LocalNode,
    expected: NodeRole,
) -> Result<(Socket, Remote), WireError> {
    let connecting = tokio::time::timeout(limit, connect(address, source));
    let stream = connecting
        .await
        .map_err(|_| WireError::Timeout)?
        .map_err(connect_error)?;
    liveness::configure(&stream).map_err(WireError::Connect)?;
    let uri = format!("ws://{address}/");
    let upgrading = client_async_with_config(uri, stream, Some(config()));
    let (mut socket, _) = tokio::time::timeout(HELLO_TIMEOUT, upgrading)
        .await
        .map_err(|_| WireError::Timeout)??;
    let remote = greet_as_dialer(&mut socket, local, expected).await?;
    Ok((socket, remote))
}

async fn connect(address: SocketAddr, source: Option<IpAddr>) -> std::io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    if let Some(source) = source {
        socket.bind(SocketAddr::new(source, 0))?;
    }
    socket.connect(address).await
}

/// Takes a connection in and greets.
///
/// # Errors
/// Any [`WireError`].
pub async fn accept(
    stream: TcpStream,
    local: &LocalNode,
    expected: NodeRole,
) -> Result<(Socket, Remote), WireError> {
    let (socket, _, remote) = accept_any(stream, local, &[expected]).await?;
    Ok((socket, remote))
}

/// Takes in a connection of a process of any of the roles `expected`, and
/// greets.
///
/// # Errors
/// Any [`WireError`].
pub async fn accept_any(
    stream: TcpStream,
    local: &LocalNode,
    expected: &[NodeRole],
) -> Result<(Socket, NodeRole, Remote), WireError> {
    liveness::configure(&stream).map_err(WireError::Connect)?;
    let upgrading = accept_async_with_config(stream, Some(config()));
    let mut socket = tokio::time::timeout(HELLO_TIMEOUT, upgrading)
        .await
        .map_err(|_| WireError::Timeout)??;
    let (role, remote) = greet_as_listener(&mut socket, local, expected).await?;
    Ok((socket, role, remote))
}

/// Moves messages until either side closes: `outgoing` to the other side,
/// what comes to `on_message`. Ends when `outgoing` has no sender left.
///
/// # Errors
/// Why the session has ended; `Closed` if in an orderly way.
pub async fn run<Out, In>(
    socket: Socket,
    outgoing: mpsc::UnboundedReceiver<Out>,
    mut on_message: impl FnMut(In),
) -> WireError
where
    Out: Serialize + MessageKind,
    In: DeserializeOwned + MessageKind,
{
    let (sink, stream) = socket.split();
    tokio::select! {
        error = write_all(sink, outgoing) => error,
        error = read_all(stream, &mut on_message) => error,
    }
}

async fn write_all<Out: Serialize + MessageKind>(
    mut sink: SplitSink<Socket, Message>,
    mut outgoing: mpsc::UnboundedReceiver<Out>,
) -> WireError {
    let mut batch = Vec::with_capacity(WRITE_BATCH);
    loop {
        if outgoing.recv_many(&mut batch, WRITE_BATCH).await == 0 {
            let closing = tokio::time::timeout(CLOSE_LIMIT, sink.close()).await;
            let closed = closing.unwrap_or(Ok(()));
            return closed.map_or_else(WireError::from, |()| WireError::Closed);
        }
        for message in batch.drain(..) {
            let bytes = encode(&message);
            traffic::record(Direction::Sent, message.kind(), bytes.len());
            if let Err(error) = sink.feed(Message::binary(bytes)).await {
                return error.into();
            }
        }
        if let Err(error) = sink.flush().await {
            return error.into();
        }
    }
}

async fn read_all<In: DeserializeOwned + MessageKind>(
    mut stream: SplitStream<Socket>,
    on_message: &mut impl FnMut(In),
) -> WireError {
    loop {
        match stream.next().await {
            Some(Ok(Message::Binary(bytes))) => match decode::<In>(&bytes) {
                Ok(message) => {
                    traffic::record(Direction::Received, message.kind(), bytes.len());
                    on_message(message);
                }
                Err(error) => return error,
            },
            Some(Ok(Message::Ping(_) | Message::Pong(_))) => {}
            Some(Ok(Message::Close(_))) | None => return WireError::Closed,
            Some(Ok(_)) => return WireError::UnexpectedFrame,
            Some(Err(error)) => return error.into(),
        }
    }
}

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
}

fn connect_error(error: std::io::Error) -> WireError {
    if error.kind() == std::io::ErrorKind::ConnectionRefused {
        return WireError::Refused;
    }
    WireError::Connect(error)
}
