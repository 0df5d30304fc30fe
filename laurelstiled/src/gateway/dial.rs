//! Keeps a session to the agent of each back end in the configuration.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use laurelstile_core::gateway::GatewayEvent;
use laurelstile_types::configuration::Configuration;
use laurelstile_types::id::BackendName;
use laurelstile_wire::error::WireError;
use laurelstile_wire::hello::{LocalNode, NodeRole};
use laurelstile_wire::session;
use metrics::counter;
use tokio::sync::{mpsc, watch};

use super::input::DriverInput;
use crate::session::next_session;
use crate::telemetry::SESSION_ERRORS;

/// Delay before the first redial; it doubles up to the maximum.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// An agent that is dialed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Target {
    backend: BackendName,
    address: SocketAddr,
}

/// Parameters shared by all dialed sessions of this process.
#[derive(Clone)]
pub struct DialContext {
    /// Identity of this process, sent in the handshake.
    pub local: LocalNode,
    /// Local address to dial from; `None` leaves the choice to the system.
    pub source: Option<IpAddr>,
    /// Input of the driver.
    pub input: mpsc::UnboundedSender<DriverInput>,
}

/// Dials the agents of the configured back ends.
pub struct AgentDialer {
    context: DialContext,
    dialed: BTreeSet<Target>,
    configured: watch::Sender<BTreeSet<Target>>,
}

impl AgentDialer {
    /// Creates a dialer that dials nothing until a configuration is applied.
    pub fn new(context: DialContext) -> Self {
        Self {
            context,
            dialed: BTreeSet::new(),
            configured: watch::Sender::new(BTreeSet::new()),
        }
    }

    /// Dials the agents that are new in `configuration`. The session to a removed agent is kept
    /// until its address refuses connections, since tasks may be in flight.
    pub fn configure(&mut self, configuration: &Configuration) {
        let targets: BTreeSet<Target> = configuration
            .backends()
            .map(|backend| Target {
                backend: backend.name.clone(),
                address: backend.agent,
            })
            .collect();
        for target in &targets {
            if self.dialed.insert(target.clone()) {
                tokio::spawn(maintain_session(
                    target.clone(),
                    self.context.clone(),
                    self.configured.subscribe(),
                ));
            }
        }
        self.dialed = targets.clone();
        self.configured.send_replace(targets);
    }
}

async fn maintain_session(
    target: Target,
    context: DialContext,
    configured: watch::Receiver<BTreeSet<Target>>,
) {
    let input = &context.input;
    let mut backoff = INITIAL_BACKOFF;
    loop {
        let started = tokio::time::Instant::now();
        let error = run_session(&target, &context).await;
        let is_refused = matches!(error, WireError::Refused);
        if is_refused {
            let _ = input.send(DriverInput::Event(GatewayEvent::AgentConnectionRefused {
                backend: target.backend.clone(),
            }));
        } else {
            counter!(SESSION_ERRORS, "kind" => error.kind(), "side" => "agent").increment(1);
            log::info!(backend:% = target.backend, error:% = error; "session to agent ended");
        }
        let is_configured = configured.borrow().contains(&target);
        if input.is_closed() || (is_refused && !is_configured) {
            return;
        }
        if started.elapsed() > MAX_BACKOFF {
            backoff = INITIAL_BACKOFF;
        }
        tokio::time::sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

async fn run_session(target: &Target, context: &DialContext) -> WireError {
    let DialContext {
        local,
        source,
        input,
    } = context;
    let dialed = session::dial(target.address, *source, local, NodeRole::Agent).await;
    let (socket, remote) = match dialed {
        Ok(opened) => opened,
        Err(error) => return error,
    };
    if remote.name != target.backend.0 {
        log::warn!(backend:% = target.backend, name = remote.name.as_str(); "the agent at this address has another name");
        return WireError::Role;
    }
    let session = next_session();
    let (outgoing, messages) = mpsc::unbounded_channel();
    let _ = input.send(DriverInput::AgentOpened {
        session,
        remote,
        outgoing,
    });
    let error = session::run(socket, messages, |message| {
        let _ = input.send(DriverInput::Event(GatewayEvent::AgentMessage {
            session,
            message,
        }));
    })
    .await;
    let _ = input.send(DriverInput::Event(GatewayEvent::AgentClosed { session }));
    error
}
