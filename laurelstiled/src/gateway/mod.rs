//! Runs a gateway process: one task drives the state machine, others serve callers, hold sessions
//! and call the platform.

pub mod api;
mod dial;
mod driver;
mod input;
mod mesh;
mod platform;

use std::net::SocketAddr;
use std::sync::Arc;

use laurelstile_core::gateway::{Gateway, Identity};
use laurelstile_history::file::HistoryWriter;
use laurelstile_store::client::HttpPlatform;
use laurelstile_types::id::{GatewayName, Incarnation};
use laurelstile_wire::hello::{LocalNode, NodeRole, SharedSecret};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};

use crate::clock::Clock;
use crate::error::DaemonError;
use crate::settings::{GatewaySettings, Node};
use crate::telemetry;
use driver::Driver;
use input::DriverInput;

/// Time for the last answers to be written once no job is in flight.
const ANSWER_FLUSH_DELAY: std::time::Duration = std::time::Duration::from_millis(300);

/// Runs a gateway until its graceful shutdown has finished.
///
/// # Errors
/// [`DaemonError`] if the gateway cannot start.
pub async fn run(node: Node, settings: GatewaySettings) -> Result<(), DaemonError> {
    let metrics = telemetry::install()?;
    let clock = Clock::start();
    let history = open_history(&node)?;
    let local = local_node(&node, NodeRole::Gateway, clock);
    let incarnation = local.incarnation;
    let platform = HttpPlatform::new(settings.platform.clone());
    let (input, inputs) = mpsc::unbounded_channel();

    let dial_context = dial::DialContext {
        local: local.clone(),
        source: settings.source,
        input: input.clone(),
    };
    let listener = listen(settings.mesh).await?;
    let (machines, machine_list) = watch::channel(Arc::default());
    tokio::spawn(mesh::accept_peers(listener, local, input.clone()));
    tokio::spawn(mesh::dial_peers(
        settings.peers.clone(),
        machine_list,
        dial_context.clone(),
    ));
    platform::start_polling(&settings, platform.clone(), input.clone(), machines);
    let claims = platform::start_claims(platform.clone(), input.clone(), history.clone());

    let server = api::serve(
        &settings,
        api::Context::new(input.clone(), platform, &settings.operator_token, metrics),
    )?;
    stop_on_signal(input)?;
    log::info!(gateway = node.name.as_str(), incarnation:% = incarnation; "gateway started");

    let identity = Identity {
        name: GatewayName(node.name.clone()),
        incarnation,
        zone: node.zone.clone(),
    };
    let state_machine = Gateway::new(identity);
    let dialer = dial::AgentDialer::new(dial_context);
    Driver::new(clock, state_machine, dialer, claims, history)
        .run(inputs)
        .await;
    tokio::time::sleep(ANSWER_FLUSH_DELAY).await;
    // Idle connections may keep the server from closing; all answers have been sent by now.
    let _ = tokio::time::timeout(ANSWER_FLUSH_DELAY, server.close()).await;
    log::info!(gateway = node.name.as_str(); "gateway stopped");
    Ok(())
}

pub(crate) fn local_node(node: &Node, role: NodeRole, clock: Clock) -> LocalNode {
    LocalNode {
        role,
        name: node.name.clone(),
        incarnation: Incarnation(rand::random()),
        started: clock.started(),
        secret: SharedSecret::new(node.secret.as_bytes()),
    }
}

pub(crate) fn open_history(node: &Node) -> Result<HistoryWriter, DaemonError> {
    match &node.history {
        Some(path) => Ok(HistoryWriter::open(path, &node.name)?),
        None => Ok(HistoryWriter::none()),
    }
}

pub(crate) async fn listen(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| DaemonError::Listen { address, source })
}

fn stop_on_signal(input: mpsc::UnboundedSender<DriverInput>) -> Result<(), DaemonError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(DaemonError::Signals)?;
    tokio::spawn(async move {
        terminate.recv().await;
        let _ = input.send(DriverInput::Stop);
    });
    Ok(())
}
