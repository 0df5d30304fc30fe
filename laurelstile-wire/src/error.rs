//! Errors of sessions.

use thiserror::Error;

/// Why a session could not be opened or has ended.
#[derive(Debug, Error)]
pub enum WireError {
    /// Nothing listens at the address.
    #[error("connection refused")]
    Refused,
    /// The connection failed for another reason.
    #[error("cannot connect: {0}")]
    Connect(#[source] std::io::Error),
    /// The websocket failed, or a message exceeded the size limit.
    #[error("websocket: {0}")]
    Websocket(#[from] Box<tokio_tungstenite::tungstenite::Error>),
    /// The other side closed the connection.
    #[error("closed by the other side")]
    Closed,
    /// A frame does not decode to a message of the expected type.
    #[error("malformed frame: {0}")]
    Malformed(#[source] ciborium::de::Error<std::io::Error>),
    /// A frame is not binary.
    #[error("expected a binary frame")]
    UnexpectedFrame,
    /// The other side speaks another version of the protocol.
    #[error("unsupported protocol version {theirs}, expected {ours}")]
    Version {
        /// Version of this side.
        ours: u32,
        /// Version of the other side.
        theirs: u32,
    },
    /// The other side has an unexpected role.
    #[error("the other side has an unexpected role")]
    Role,
    /// The other side's proof of the shared secret is invalid.
    #[error("the other side's proof of the shared secret is invalid")]
    Proof,
    /// Opening the connection, the websocket upgrade or the hello timed out.
    #[error("connecting or the hello timed out")]
    Timeout,
}

impl From<tokio_tungstenite::tungstenite::Error> for WireError {
    fn from(error: tokio_tungstenite::tungstenite::Error) -> Self {
        Self::Websocket(Box::new(error))
    }
}

impl WireError {
    /// Name in logs and metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Connect(_) => "connect",
            Self::Websocket(_) => "websocket",
            Self::Closed => "closed",
            Self::Malformed(_) => "garbled",
            Self::UnexpectedFrame => "unexpected_frame",
            Self::Version { .. } => "version",
            Self::Role => "role",
            Self::Proof => "proof",
            Self::Timeout => "timeout",
        }
    }
}
