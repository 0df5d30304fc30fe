//! Runs an agent process: one task drives the state machine, others hold the sessions to gateways
//! and run tasks on the back end.

pub mod backend;
mod driver;
pub mod http;

use std::sync::Arc;

use laurelstile_core::agent::Agent;
use laurelstile_types::id::BackendName;
use laurelstile_wire::error::WireError;
use laurelstile_wire::hello::{LocalNode, NodeRole};
use laurelstile_wire::session;
use metrics::counter;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

use crate::clock::Clock;
use crate::error::DaemonError;
use crate::gateway::{listen, local_node, open_history};
use crate::session::next_session;
use crate::settings::{AgentSettings, Node};
use crate::telemetry::{self, SESSION_ERRORS};
use backend::{Backend, HttpBackend};
use driver::{Driver, DriverInput};

/// Time for the last messages to be written before the process exits.
const MESSAGE_FLUSH_DELAY: std::time::Duration = std::time::Duration::from_millis(300);
const ACCEPT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(100);

/// Runs an agent of an HTTP back end until its graceful shutdown has finished.
///
/// # Errors
/// [`DaemonError`] if the agent cannot start.
pub async fn run_with_http_backend(node: Node, settings: AgentSettings) -> Result<(), DaemonError> {
    let metrics = telemetry::install()?;
    let server = http::serve(settings.metrics, metrics)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(DaemonError::Signals)?;
    let backend = HttpBackend::new(&settings.backend);
    let listener = listen(settings.listen).await?;
    let stop = async move {
        terminate.recv().await;
    };
    log::info!(backend = node.name.as_str(); "agent started");
    run(node, listener, Arc::new(backend), stop).await?;
    let _ = tokio::time::timeout(MESSAGE_FLUSH_DELAY, server.close()).await;
    Ok(())
}

/// Runs an agent until its graceful shutdown has finished. The shutdown starts when `stop`
/// completes.
///
/// # Errors
/// [`DaemonError::History`] if the history file cannot be opened.
pub async fn run<B: Backend>(
    node: Node,
    listener: TcpListener,
    backend: Arc<B>,
    stop: impl Future<Output = ()> + Send + 'static,
) -> Result<(), DaemonError> {
    let clock = Clock::start();
    let history = open_history(&node)?;
    let local = local_node(&node, NodeRole::Agent, clock);
    let incarnation = local.incarnation;
    let (input, inputs) = mpsc::unbounded_channel();
    let accepting = tokio::spawn(accept_gateways(listener, local, input.clone()));
    let stop_input = input.clone();
    tokio::spawn(async move {
        stop.await;
        let _ = stop_input.send(DriverInput::Stop);
    });
    let state_machine = Agent::new(BackendName(node.name.clone()));
    Driver::new(clock, state_machine, incarnation, backend, input, history)
        .run(inputs)
        .await;
    tokio::time::sleep(MESSAGE_FLUSH_DELAY).await;
    accepting.abort();
    log::info!(backend = node.name.as_str(); "agent stopped");
    Ok(())
}

async fn accept_gateways(
    listener: TcpListener,
    local: LocalNode,
    input: mpsc::UnboundedSender<DriverInput>,
) {
    loop {
        let Ok((stream, address)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let (local, input) = (local.clone(), input.clone());
        tokio::spawn(async move {
            let error = run_session(stream, &local, &input).await;
            counter!(SESSION_ERRORS, "kind" => error.kind(), "side" => "gateway").increment(1);
            log::info!(remote:% = address, error:% = error; "session to gateway ended");
        });
    }
}

async fn run_session(
    stream: TcpStream,
    local: &LocalNode,
    input: &mpsc::UnboundedSender<DriverInput>,
) -> WireError {
    let (socket, remote) = match session::accept(stream, local, NodeRole::Gateway).await {
        Ok(opened) => opened,
        Err(error) => return error,
    };
    let session = next_session();
    let (outgoing, messages) = mpsc::unbounded_channel();
    let _ = input.send(DriverInput::Opened {
        session,
        gateway: remote.incarnation,
        outgoing,
    });
    let error = session::run(socket, messages, |message| {
        let _ = input.send(DriverInput::Message { session, message });
    })
    .await;
    let _ = input.send(DriverInput::Closed { session });
    error
}
