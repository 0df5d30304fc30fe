//! What can go wrong with a session.

use thiserror::Error;

/// Why a session could not be opened or has ended.
#[derive(Debug, Error)]
pub enum WireError {
    /// Nothing listens at the address.
    #[error("connection refused")]
    Refused,
    /// The connection could not be made.
    #[error("cannot connect: {0}")]
    Connect(#[source] std::io::Error),
    /// The websocket failed, or a frame was too large.
    #[error("websocket: {0}")]
    Websocket(#[from] Box<tokio_tungstenite::tungstenite::Error>),
    /// The other side closed the connection.
    #[error("closed by the other side")]
    Closed,
    /// A frame is not a message of the expected type.
    #[error("garbled frame: {0}")]
    Garbled(#[source] ciborium::de::Error<std::io::Error>),
    /// A frame is not binary.
    #[error("unexpected kind of frame")]
    UnexpectedFrame,
    /// The other side speaks another version.
    #[error("protocol version {theirs}, this side speaks {ours}")]
    Version {
        /// Version spoken here.
        ours: u32,
        /// Version spoken there.
        theirs: u32,
    },
    /// The other side has another role than expected.
    #[error("unexpected role")]
    Role,
    /// The other side does not know the secret.
    #[error("the other side did not prove the secret")]
    Proof,
    /// The hello took too long.
    #[error("hello timed out")]
    Timeout,
}

impl From<tokio_tungstenite::tungstenite::Error> for WireError {
    fn from(error: tokio_tungstenite::tungstenite::Error) -> Self {
        Self::Websocket(Box::new(error))
    }
}

impl WireError {
    /// A short name for logs and metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Connect(_) => "connect",
            Self::Websocket(_) => "websocket",
            Self::Closed => "closed",
            Self::Garbled(_) => "garbled",
            Self::UnexpectedFrame => "unexpected_frame",
            Self::Version { .. } => "version",
            Self::Role => "role",
            Self::Proof => "proof",
            Self::Timeout => "timeout",
        }
    }
}
