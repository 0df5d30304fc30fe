//! What can go wrong in the lab.

use std::path::PathBuf;

use laurelstile::error::OperatorError;
use laurelstile_history::file::HistoryError;
use laurelstile_store::http::HttpError;
use miette::Diagnostic;
use thiserror::Error;

/// What can go wrong in the lab.
#[derive(Debug, Error, Diagnostic)]
pub enum LabError {
    /// The runtime could not be started.
    #[error("cannot start the runtime")]
    Runtime(#[source] std::io::Error),
    /// No free port could be found, or an address could not be used.
    #[error("cannot use a loopback address")]
    Address(#[source] std::io::Error),
    /// A file could not be written.
    #[error("cannot write {}", path.display())]
    Write {
        /// The file.
        path: PathBuf,
        /// Why.
        #[source]
        source: std::io::Error,
    },
    /// JSON could not be written.
    #[error("cannot write JSON")]
    Json(#[from] serde_json::Error),
    /// A process could not be started.
    #[error("cannot start {name}")]
    Spawn {
        /// Name of the node.
        name: String,
        /// Why.
        #[source]
        source: std::io::Error,
    },
    /// A signal could not be sent.
    #[error("cannot signal {name}")]
    Signal {
        /// Name of the node.
        name: String,
        /// Why.
        #[source]
        source: nix::Error,
    },
    /// A stand-in's HTTP server failed.
    #[error("the stand-in's server failed")]
    Server(#[source] Box<dropshot::BuildError>),
    /// A stand-in's API is described wrongly.
    #[error("cannot register the stand-in's API")]
    Register(#[from] dropshot::ApiDescriptionRegisterError),
    /// The daemon's code failed in the lab's process.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Daemon(#[from] laurelstiled::error::DaemonError),
    /// A settings file could not be read.
    #[error(transparent)]
    #[diagnostic(transparent)]
    File(#[from] Box<laurelstile_types::json::JsonFileError>),
    /// A flag has a value that means nothing.
    #[error("--{flag} cannot be {value:?}")]
    Flag {
        /// The flag.
        flag: &'static str,
        /// Its value.
        value: String,
    },
    /// A condition was not met in time.
    #[error("in vain waited for: {what}")]
    TimedOut {
        /// The condition.
        what: &'static str,
    },
    /// An operator's call failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Operator(#[from] Box<OperatorError>),
    /// An HTTP exchange failed.
    #[error("exchange with a stand-in")]
    Http(#[from] HttpError),
    /// A history could not be used.
    #[error(transparent)]
    History(#[from] HistoryError),
    /// The demonstration did not go as it should.
    #[error("unexpected: {what}")]
    Unexpected {
        /// What was seen.
        what: String,
    },
}

impl From<OperatorError> for LabError {
    fn from(error: OperatorError) -> Self {
        Self::Operator(Box::new(error))
    }
}
