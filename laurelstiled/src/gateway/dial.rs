//! Keeps a session to the agent of every configured back end.

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

use super::input::Input;
use crate::session::next_session;
use crate::telemetry::SESSION_ERRORS;

/// Pause before the first redial, doubled up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause between two dials.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// An agent to dial.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Target {
    backend: BackendName,
    address: SocketAddr,
}

/// What every dial needs.
#[derive(Clone)]
pub struct Dialing {
    /// This process.
    pub local: LocalNode,
    /// Local address to dial from.
    pub source: Option<IpAddr>,
    /// The driver's inputs.
    pub input: mpsc::UnboundedSender<Input>,
}

/// Dials the agents that the configuration names.
pub struct AgentDialer {
    dialing: Dialing,
    dialed: BTreeSet<Target>,
    configured: watch::Sender<BTreeSet<Target>>,
}

impl AgentDialer {
    /// A dialer without targets.
    pub fn new(dialing: Dialing) -> Self {
        Self {
            dialing,
            dialed: BTreeSet::new(),
            configured: watch::Sender::new(BTreeSet::new()),
        }
    }

    /// Dials what is new in a configuration. What is no longer in it keeps
    /// its session until the agent ends, since tasks may be in flight.
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
                tokio::spawn(keep_session(
                    target.clone(),
                    self.dialing.clone(),
                    self.configured.subscribe(),
                ));
            }
        }
        self.dialed = targets.clone();
        self.configured.send_replace(targets);
    }
}

async fn keep_session(
    target: Target,
    dialing: Dialing,
    configured: watch::Receiver<BTreeSet<Target>>,
) {
    let input = &dialing.input;
    let mut pause = FIRST_PAUSE;
    loop {
        let started = tokio::time::Instant::now();
        let error = hold_session(&target, &dialing).await;
        let refused = matches!(error, WireError::Refused);
        if refused {
            let _ = input.send(Input::Event(GatewayEvent::AgentRefused {
                backend: target.backend.clone(),
            }));
        } else {
            counter!(SESSION_ERRORS, "kind" => error.kind(), "side" => "agent").increment(1);
            log::info!(backend:% = target.backend, error:% = error; "session to agent ended");
        }
        let is_configured = configured.borrow().contains(&target);
        if input.is_closed() || (refused && !is_configured) {
            return;
        }
        if started.elapsed() > LONGEST_PAUSE {
            pause = FIRST_PAUSE;
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

async fn hold_session(target: &Target, dialing: &Dialing) -> WireError {
    let Dialing {
        local,
        source,
        input,
    } = dialing;
    let dialed = session::dial(target.address, *source, local, NodeRole::Agent).await;
    let (socket, remote) = match dialed {
        Ok(opened) => opened,
        Err(error) => return error,
    };
    if remote.name != target.backend.0 {
        log::warn!(backend:% = target.backend, name = remote.name.as_str(); "another agent answers");
        return WireError::Role;
    }
    let session = next_session();
    let (outgoing, messages) = mpsc::unbounded_channel();
    let _ = input.send(Input::AgentOpened {
        session,
        remote,
        outgoing,
    });
    let error = session::run(socket, messages, |message| {
        let _ = input.send(Input::Event(GatewayEvent::AgentMessage {
            session,
            message,
        }));
    })
    .await;
    let _ = input.send(Input::Event(GatewayEvent::AgentClosed { session }));
    error
}
