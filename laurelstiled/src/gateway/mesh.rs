//! Sessions between gateways. Of each pair, the gateway whose name sorts first dials.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use laurelstile_core::gateway::GatewayEvent;
use laurelstile_core::session::Remote;
use laurelstile_types::platform::{MachineList, MachineRole, MachineState};
use laurelstile_wire::error::WireError;
use laurelstile_wire::hello::{LocalNode, NodeRole, Socket};
use laurelstile_wire::session;
use metrics::counter;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use super::dial::DialContext;
use super::input::DriverInput;
use crate::session::next_session;
use crate::settings::PeerSettings;
use crate::telemetry::SESSION_ERRORS;

/// Delay before a peer is redialed, or a failed accept is retried.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Accepts sessions of peers.
pub async fn accept_peers(
    listener: TcpListener,
    local: LocalNode,
    input: mpsc::UnboundedSender<DriverInput>,
) {
    loop {
        let Ok((stream, address)) = listener.accept().await else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        let (local, input) = (local.clone(), input.clone());
        tokio::spawn(async move {
            let error = match session::accept(stream, &local, NodeRole::Gateway).await {
                Ok((socket, remote)) => run_session(socket, remote, &input).await,
                Err(error) => error,
            };
            record_session_end(&error, &address.to_string());
        });
    }
}

/// Dials the peers in the settings and in the machine list.
pub async fn dial_peers(
    seeds: Vec<PeerSettings>,
    mut machines: watch::Receiver<Arc<MachineList>>,
    context: DialContext,
) {
    let mut dialed: BTreeMap<String, (SocketAddr, tokio::task::JoinHandle<()>)> = BTreeMap::new();
    loop {
        let mut wanted = seeds.clone();
        wanted.extend(listed_gateways(&machines.borrow_and_update()));
        for peer in wanted {
            let known = dialed.get(&peer.name).map(|(address, _)| *address);
            if peer.name <= context.local.name || known == Some(peer.address) {
                continue;
            }
            let session = tokio::spawn(maintain_session(peer.clone(), context.clone()));
            if let Some((_, old)) = dialed.insert(peer.name, (peer.address, session)) {
                old.abort();
            }
        }
        if machines.changed().await.is_err() {
            return;
        }
    }
}

fn listed_gateways(list: &MachineList) -> Vec<PeerSettings> {
    list.machines
        .iter()
        .filter(|machine| machine.role == MachineRole::Gateway)
        .filter(|machine| machine.state != MachineState::Gone)
        .filter_map(|machine| {
            Some(PeerSettings {
                name: machine.name.clone(),
                address: machine.address.parse().ok()?,
            })
        })
        .collect()
}

async fn maintain_session(peer: PeerSettings, context: DialContext) {
    let DialContext {
        local,
        source,
        input,
    } = context;
    while !input.is_closed() {
        let error = match session::dial(peer.address, source, &local, NodeRole::Gateway).await {
            Ok((socket, remote)) => run_session(socket, remote, &input).await,
            Err(error) => error,
        };
        record_session_end(&error, &peer.name);
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

async fn run_session(
    socket: Socket,
    remote: Remote,
    input: &mpsc::UnboundedSender<DriverInput>,
) -> WireError {
    let session = next_session();
    let (outgoing, messages) = mpsc::unbounded_channel();
    let _ = input.send(DriverInput::PeerOpened {
        session,
        remote,
        outgoing,
    });
    let error = session::run(socket, messages, |message| {
        let _ = input.send(DriverInput::Event(GatewayEvent::PeerMessage {
            session,
            message,
        }));
    })
    .await;
    let _ = input.send(DriverInput::Event(GatewayEvent::PeerClosed { session }));
    error
}

fn record_session_end(error: &WireError, peer: &str) {
    if matches!(error, WireError::Refused) {
        return;
    }
    counter!(SESSION_ERRORS, "kind" => error.kind(), "side" => "peer").increment(1);
    log::info!(peer = peer, error:% = error; "session to peer ended");
}
