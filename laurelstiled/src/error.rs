//! Errors of the daemon.

use std::net::SocketAddr;

use laurelstile_history::file::HistoryError;
use miette::Diagnostic;
use thiserror::Error;

/// Why the daemon could not start, or had to end.
#[derive(Debug, Error, Diagnostic)]
pub enum DaemonError {
    /// The asynchronous runtime could not be built.
    #[error("cannot start the runtime")]
    Runtime(#[source] std::io::Error),
    /// A signal handler could not be installed.
    #[error("cannot install a signal handler")]
    Signals(#[source] std::io::Error),
    /// An address could not be bound.
    #[error("cannot listen on {address}")]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// Error of the bind.
        #[source]
        source: std::io::Error,
    },
    /// An endpoint of the HTTP API could not be registered.
    #[error("cannot register the HTTP API")]
    Register(#[source] dropshot::ApiDescriptionRegisterError),
    /// The HTTP server could not be started.
    #[error("cannot start the HTTP server on {address}")]
    Http {
        /// The address from the settings.
        address: SocketAddr,
        /// Error of the server.
        #[source]
        source: Box<dropshot::BuildError>,
    },
    /// The metrics recorder could not be installed.
    #[error("cannot install the metrics recorder")]
    Metrics(#[source] metrics_exporter_prometheus::BuildError),
    /// The logger could not be installed; one is installed already.
    #[error("cannot install the logger")]
    Logger,
    /// The history file could not be opened.
    #[error("cannot open the history file")]
    History(#[from] HistoryError),
}
