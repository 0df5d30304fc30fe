//! Opening sessions and transferring messages over them.

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
    HELLO_TIMEOUT, LocalNode, NodeRole, Socket, handshake_as_dialer, handshake_as_listener,
};
use crate::liveness;
use crate::traffic::{self, Direction};

/// Maximum size of a message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// Size of each session's read buffer, in bytes. Small, since most messages are far smaller and a
/// gateway has a session to each agent.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// Default time-out for opening a connection. Shorter than the second after which the operating
/// system retransmits the first packet to a machine that does not answer.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Time-out for the closing handshake of a websocket.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum number of messages per flush.
const MAX_MESSAGES_PER_FLUSH: usize = 64;

/// Dials `address`, from the local address `source` if given, and performs the handshake.
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

/// As [`dial`], with the time-out `limit` for opening the connection.
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
    liveness::set_socket_options(&stream).map_err(WireError::Connect)?;
    let uri = format!("ws://{address}/");
    let upgrading = client_async_with_config(uri, stream, Some(config()));
    let (mut socket, _) = tokio::time::timeout(HELLO_TIMEOUT, upgrading)
        .await
        .map_err(|_| WireError::Timeout)??;
    let remote = handshake_as_dialer(&mut socket, local, expected).await?;
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

/// Performs the handshake on an accepted connection; the other side must have the role `expected`.
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

/// As [`accept`], for any of the roles `expected`.
///
/// # Errors
/// Any [`WireError`].
pub async fn accept_any(
    stream: TcpStream,
    local: &LocalNode,
    expected: &[NodeRole],
) -> Result<(Socket, NodeRole, Remote), WireError> {
    liveness::set_socket_options(&stream).map_err(WireError::Connect)?;
    let upgrading = accept_async_with_config(stream, Some(config()));
    let mut socket = tokio::time::timeout(HELLO_TIMEOUT, upgrading)
        .await
        .map_err(|_| WireError::Timeout)??;
    let (role, remote) = handshake_as_listener(&mut socket, local, expected).await?;
    Ok((socket, role, remote))
}

/// Transfers messages until either side closes: sends those of `outgoing`, and passes received ones
/// to `on_message`. Closes the session once all senders of `outgoing` are dropped.
///
/// Returns why the session has ended; [`WireError::Closed`] if either side closed it.
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
    let mut batch = Vec::with_capacity(MAX_MESSAGES_PER_FLUSH);
    loop {
        if outgoing.recv_many(&mut batch, MAX_MESSAGES_PER_FLUSH).await == 0 {
            let closing = tokio::time::timeout(CLOSE_TIMEOUT, sink.close()).await;
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
