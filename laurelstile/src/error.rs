//! What can go wrong for an operator, and the exit code of each.

use std::path::PathBuf;

use laurelstile_history::file::HistoryError;
use laurelstile_store::http::HttpError;
use laurelstile_types::configuration::ConfigurationError;
use laurelstile_types::id::ChangeId;
use laurelstile_types::json::JsonFileError;
use miette::Diagnostic;
use thiserror::Error;

/// Exit code: refused, or a check found a fault.
pub const EXIT_REFUSED: u8 = 1;
/// Exit code: no gateway gave a final word; repeat with the same change id.
pub const EXIT_UNAVAILABLE: u8 = 3;
/// Exit code: accepted, but not in force everywhere in the time given.
pub const EXIT_LAGGING: u8 = 4;

/// What can go wrong for an operator.
#[derive(Debug, Error, Diagnostic)]
pub enum OperatorError {
    /// A file could not be read.
    #[error(transparent)]
    #[diagnostic(transparent)]
    File(#[from] JsonFileError),
    /// A log could not be read.
    #[error("cannot read {}", path.display())]
    Log {
        /// The file.
        path: PathBuf,
        /// Why.
        #[source]
        source: std::io::Error,
    },
    /// A configuration is well-formed but wrong.
    #[error("the configuration is wrong")]
    Configuration(#[from] ConfigurationError),
    /// A gateway refused.
    #[error("refused: {message}")]
    Refused {
        /// The gateway's words.
        message: String,
    },
    /// No gateway gave a final word in time.
    #[error(
        "no gateway gave a final word; the change may be accepted: \
         repeat the command with --change-id {change}"
    )]
    Unavailable {
        /// The change.
        change: ChangeId,
        /// What the last gateway said.
        #[source]
        last: Option<HttpError>,
    },
    /// No gateway could be asked.
    #[error("no gateway could be asked")]
    NoGateway(#[source] Option<HttpError>),
    /// The change is accepted, but some nodes lag.
    #[error("revision {revision} is accepted, but these lag: {}", lagging.join(", "))]
    Lagging {
        /// The revision.
        revision: u64,
        /// Nodes on which it is not in force.
        lagging: Vec<String>,
    },
    /// No address of a gateway was given.
    #[error("no gateway given: use --gateway http://IP:port")]
    NoAddress,
    /// The operator token is missing.
    #[error("no operator token: set LAURELSTILE_TOKEN or use --token-file")]
    NoToken,
    /// The token file could not be read.
    #[error("cannot read the token file")]
    TokenFile(#[source] std::io::Error),
    /// A history could not be read.
    #[error(transparent)]
    History(#[from] HistoryError),
    /// A history breaks what must always hold.
    #[error("the history breaks {violations} of what must always hold")]
    Violations {
        /// How many violations there are.
        violations: usize,
    },
    /// Output could not be written as JSON.
    #[error("cannot write JSON")]
    Json(#[from] serde_json::Error),
    /// The runtime could not be started.
    #[error("cannot start the runtime")]
    Runtime(#[source] std::io::Error),
}

impl OperatorError {
    /// The exit code that goes with this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Unavailable { .. } | Self::NoGateway(_) => EXIT_UNAVAILABLE,
            Self::Lagging { .. } => EXIT_LAGGING,
            _ => EXIT_REFUSED,
        }
    }
}
