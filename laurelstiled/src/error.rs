//! Why the daemon could not start or go on.

use std::net::SocketAddr;

use laurelstile_history::file::HistoryError;
use miette::Diagnostic;
use thiserror::Error;

/// Why the daemon could not start or go on.
#[derive(Debug, Error, Diagnostic)]
pub enum DaemonError {
    /// The runtime could not be built.
    #[error("cannot start the runtime")]
    Runtime(#[source] std::io::Error),
    /// Signals cannot be waited for.
    #[error("cannot wait for signals")]
    Signals(#[source] std::io::Error),
    /// An address could not be bound.
    #[error("cannot listen on {address}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        #[source]
        source: std::io::Error,
    },
    /// The HTTP API could not be described.
    #[error("cannot register the HTTP API")]
    Register(#[source] dropshot::ApiDescriptionRegisterError),
    /// The HTTP server could not be started.
    #[error("cannot start the HTTP server on {address}")]
    Http {
        /// The address.
        address: SocketAddr,
        /// Why.
        #[source]
        source: Box<dropshot::BuildError>,
    },
    /// The metrics recorder could not be installed.
    #[error("cannot install the metrics recorder")]
    Metrics(#[source] metrics_exporter_prometheus::BuildError),
    /// The logger could not be installed.
    #[error("cannot install the logger")]
    Logger,
    /// The history file could not be opened.
    #[error("cannot open the history")]
    History(#[from] HistoryError),
}
