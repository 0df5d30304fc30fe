//! Runs a gateway process for leased workers: one task drives the state machine, others
//! hold the sessions to agents and peer gateways.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use laurelstile_core::leased::gateway::job::CallNumber;
use laurelstile_core::leased::gateway::{
    Answer, GatewayEffect, GatewayEvent, Identity, LeasedGateway,
};
use laurelstile_core::leased::messages::{Member, ToAgent, ToPeer};
use laurelstile_core::session::{Remote, SessionId};
use laurelstile_types::id::Incarnation;
use laurelstile_types::time::Timestamp;
use laurelstile_wire::error::WireError;
use laurelstile_wire::hello::{LocalNode, NodeRole, Socket};
use laurelstile_wire::session;
use metrics::gauge;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, oneshot, watch};

use super::decisions::DecisionLog;
use super::gate::{GatewayHandle, GatewayStatus};
use super::handshakes::{Handshake, PendingHandshakes};
use super::input::GatewayInput;
use super::ports::{OperatorSource, RecordStore, SeedSource};
use super::sessions::{Dialer, SessionHandler, record_session_end};
use super::settings::{LeasedGatewaySettings, LeasedSettings};
use super::{membership, operator, traffic_log};
use crate::clock::Clock;
use crate::error::DaemonError;
use crate::gateway::{listen, local_node};
use crate::session::next_session;
use crate::telemetry::CONFIGURATION_VERSION;

/// Maximum number of inputs handled before the state machine is flushed.
const MAX_INPUT_BATCH: usize = 128;
/// Maximum time that a driver sleeps between two wake-ups of its state machine.
const MAX_SLEEP: Duration = Duration::from_millis(500);
/// Time for the last answers to be written once no job is in flight.
const ANSWER_FLUSH_DELAY: Duration = Duration::from_millis(200);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A gateway started by [`start`].
pub struct RunningGateway {
    /// Handle through which the front end submits and cancels jobs.
    pub handle: GatewayHandle,
    /// Completes when the graceful shutdown of the gateway has finished.
    pub done: tokio::task::JoinHandle<()>,
}

/// Starts a gateway. The caller serves the front end through [`RunningGateway::handle`].
///
/// # Errors
/// [`DaemonError`] if the session address cannot be bound or signal handlers cannot be
/// installed.
pub async fn start<S>(
    settings: LeasedSettings,
    role: LeasedGatewaySettings,
    store: Arc<S>,
    seed_source: SeedSource,
) -> Result<RunningGateway, DaemonError>
where
    S: RecordStore + OperatorSource,
{
    let clock = Clock::start();
    let local = local_node(&settings.node, NodeRole::Gateway, clock);
    let (input, inputs) = mpsc::unbounded_channel();
    let member = Member {
        name: settings.node.name.clone(),
        address: role.advertised_address(),
        zone: settings.node.zone.0.clone(),
    };
    let listener = listen(role.sessions).await?;
    tokio::spawn(accept(listener, local.clone(), input.clone()));
    let seeds = settings
        .seeds
        .iter()
        .copied()
        .filter(|seed| *seed != member.address)
        .collect();
    let session_handler = PeerSessionHandler {
        input: input.clone(),
    };
    let dialer = Dialer::new(local.clone(), seeds, session_handler);
    tokio::spawn(operator::watch(Arc::clone(&store), input.clone()));
    tokio::spawn(membership::maintain_record(
        Arc::clone(&store),
        member.clone(),
        input.clone(),
    ));
    tokio::spawn(traffic_log::run());
    handle_signals(input.clone())?;

    let identity = Identity {
        member: member.clone(),
        incarnation: local.incarnation,
        stop: role.stop_times(),
    };
    let (status, status_receiver) = watch::channel(GatewayStatus::default());
    let driver = Driver {
        clock,
        state_machine: LeasedGateway::with_policies(identity, role.policies),
        dialer,
        status,
        calls: HashMap::new(),
        agents: HashMap::new(),
        peers: HashMap::new(),
        seed_source,
        decisions: DecisionLog::default(),
        is_stopped: false,
    };
    log::info!(event = "started", node = settings.node.name.as_str(), incarnation:% = local.incarnation, zone = settings.node.zone.0.as_str(); "gateway started");
    let done = tokio::spawn(async move {
        driver.run(inputs).await;
        // The removal and the delay run concurrently, so that an unresponsive store does not
        // extend the shutdown beyond its grace period.
        let removal = membership::remove_record(store.as_ref(), &member);
        tokio::join!(removal, tokio::time::sleep(ANSWER_FLUSH_DELAY));
        log::info!(event = "stopped"; "gateway stopped");
    });
    Ok(RunningGateway {
        handle: GatewayHandle::new(input, status_receiver),
        done,
    })
}

fn handle_signals(input: mpsc::UnboundedSender<GatewayInput>) -> Result<(), DaemonError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(DaemonError::Signals)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(DaemonError::Signals)?;
    tokio::spawn(async move {
        loop {
            let signal_input = tokio::select! {
                _ = terminate.recv() => GatewayInput::Event(GatewayEvent::Stop),
                _ = hangup.recv() => GatewayInput::Reload,
            };
            if input.send(signal_input).is_err() {
                return;
            }
        }
    });
    Ok(())
}

async fn accept(
    listener: TcpListener,
    local: LocalNode,
    input: mpsc::UnboundedSender<GatewayInput>,
) {
    let handshakes = PendingHandshakes::for_this_process();
    loop {
        let Ok((stream, address)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let (local, input) = (local.clone(), input.clone());
        let handshake = handshakes.begin();
        tokio::spawn(async move {
            if let Some(error) = run_accepted_session(stream, handshake, &local, &input).await {
                record_session_end(&error, &address.to_string());
            }
        });
        // A handshake that gave way frees its descriptor before the next connection is accepted.
        tokio::task::yield_now().await;
    }
}

/// Returns why the session has ended; `None` if its handshake gave way to another one.
async fn run_accepted_session(
    stream: TcpStream,
    handshake: Handshake,
    local: &LocalNode,
    input: &mpsc::UnboundedSender<GatewayInput>,
) -> Option<WireError> {
    let expected = [NodeRole::Agent, NodeRole::Gateway];
    let accepting = session::accept_any(stream, local, &expected);
    let error = match handshake.run(accepting).await? {
        Ok((socket, NodeRole::Agent, remote)) => run_agent_session(socket, remote, input).await,
        Ok((socket, NodeRole::Gateway, _)) => run_peer_session(socket, false, input).await,
        Err(error) => error,
    };
    Some(error)
}

async fn run_agent_session(
    socket: Socket,
    remote: Remote,
    input: &mpsc::UnboundedSender<GatewayInput>,
) -> WireError {
    let session = next_session();
    let (outgoing, messages) = mpsc::unbounded_channel();
    let _ = input.send(GatewayInput::AgentOpened {
        session,
        remote,
        outgoing,
    });
    let error = session::run(socket, messages, |message| {
        let _ = input.send(GatewayInput::Event(GatewayEvent::AgentMessage {
            session,
            message,
        }));
    })
    .await;
    let _ = input.send(GatewayInput::Event(GatewayEvent::AgentClosed { session }));
    error
}

async fn run_peer_session(
    socket: Socket,
    is_dialed: bool,
    input: &mpsc::UnboundedSender<GatewayInput>,
) -> WireError {
    let session = next_session();
    let (outgoing, messages) = mpsc::unbounded_channel();
    let _ = input.send(GatewayInput::PeerOpened {
        session,
        is_dialed,
        outgoing,
    });
    let error = session::run(socket, messages, |message| {
        let _ = input.send(GatewayInput::Event(GatewayEvent::PeerMessage {
            session,
            message,
        }));
    })
    .await;
    let _ = input.send(GatewayInput::Event(GatewayEvent::PeerClosed { session }));
    error
}

/// Runs the sessions that this gateway has dialed to its peers.
struct PeerSessionHandler {
    input: mpsc::UnboundedSender<GatewayInput>,
}

impl SessionHandler for PeerSessionHandler {
    async fn run_session(
        &self,
        _address: SocketAddr,
        socket: Socket,
        _remote: Remote,
    ) -> WireError {
        run_peer_session(socket, true, &self.input).await
    }

    fn on_connection_refused(&self, _gateway: Incarnation) {}
}

/// Feeds inputs to the gateway's state machine and executes its effects.
struct Driver {
    clock: Clock,
    state_machine: LeasedGateway,
    dialer: Dialer<PeerSessionHandler>,
    status: watch::Sender<GatewayStatus>,
    calls: HashMap<CallNumber, oneshot::Sender<Answer>>,
    agents: HashMap<SessionId, mpsc::UnboundedSender<ToAgent>>,
    peers: HashMap<SessionId, mpsc::UnboundedSender<ToPeer>>,
    seed_source: SeedSource,
    decisions: DecisionLog,
    is_stopped: bool,
}

impl Driver {
    async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<GatewayInput>) {
        let mut batch = Vec::with_capacity(MAX_INPUT_BATCH);
        let mut effects = Vec::new();
        while !self.is_stopped {
            let sleep = sleep_duration(&self.clock, self.state_machine.next_wakeup());
            tokio::select! {
                _ = inputs.recv_many(&mut batch, MAX_INPUT_BATCH) => {}
                () = tokio::time::sleep(sleep) => {}
            }
            for input in batch.drain(..) {
                self.handle_input(input, &mut effects);
            }
            self.state_machine.flush(self.clock.now(), &mut effects);
            for effect in effects.drain(..) {
                self.execute(effect);
            }
            self.publish_status();
        }
    }

    fn handle_input(&mut self, input: GatewayInput, effects: &mut Vec<GatewayEffect>) {
        let event = match input {
            GatewayInput::Event(event) => event,
            GatewayInput::Submit {
                call,
                request,
                reply,
            } => {
                self.calls.insert(call, reply);
                GatewayEvent::Submit { call, request }
            }
            GatewayInput::Cancel { call, job, reply } => {
                self.calls.insert(call, reply);
                GatewayEvent::Cancel { call, job }
            }
            GatewayInput::HasJob { job, reply } => {
                let _ = reply.send(self.state_machine.has_job(job));
                return;
            }
            GatewayInput::AgentOpened {
                session,
                remote,
                outgoing,
            } => {
                self.agents.insert(session, outgoing);
                GatewayEvent::AgentOpened { session, remote }
            }
            GatewayInput::PeerOpened {
                session,
                is_dialed,
                outgoing,
            } => {
                self.peers.insert(session, outgoing);
                GatewayEvent::PeerOpened { session, is_dialed }
            }
            GatewayInput::Reload => {
                self.dialer.reload_seeds(&self.seed_source);
                return;
            }
        };
        match &event {
            GatewayEvent::AgentClosed { session } => {
                self.agents.remove(session);
            }
            GatewayEvent::PeerClosed { session } => {
                self.peers.remove(session);
            }
            GatewayEvent::CallerDisconnected { call } => {
                self.calls.remove(call);
            }
            GatewayEvent::Stop => log::info!(event = "stopping"; "graceful shutdown started"),
            _ => {}
        }
        self.state_machine.handle(self.clock.now(), event, effects);
    }

    fn execute(&mut self, effect: GatewayEffect) {
        match effect {
            GatewayEffect::ToAgent { session, message } => {
                if let Some(outgoing) = self.agents.get(&session) {
                    let _ = outgoing.send(message);
                }
            }
            GatewayEffect::ToPeer { session, message } => {
                if let Some(outgoing) = self.peers.get(&session) {
                    let _ = outgoing.send(message);
                }
            }
            GatewayEffect::Close(session) => {
                self.agents.remove(&session);
                self.peers.remove(&session);
            }
            GatewayEffect::Answer { call, answer } => {
                if let Some(reply) = self.calls.remove(&call) {
                    let _ = reply.send(answer);
                }
            }
            GatewayEffect::InForce(configuration) => {
                log::info!(event = "configuration_in_force", version = configuration.version, queues = configuration.queues.len(); "configuration in force");
                #[expect(clippy::cast_precision_loss, reason = "versions are below 2^53")]
                gauge!(CONFIGURATION_VERSION).set(configuration.version as f64);
                self.status
                    .send_modify(|status| status.put_in_force(configuration));
            }
            GatewayEffect::Dial {
                members,
                is_settled,
            } => self.dialer.set_targets(&members, is_settled),
            GatewayEffect::Decided(decision) => self.decisions.record_gateway(&decision),
            GatewayEffect::Stopped => self.is_stopped = true,
        }
    }

    /// Publishes readiness and shutdown state to the front end if they have changed.
    fn publish_status(&mut self) {
        let is_ready = self.state_machine.is_ready(self.clock.now());
        let is_stopping = self.state_machine.is_stopping();
        self.status.send_if_modified(|status| {
            let has_changed = status.is_ready != is_ready || status.is_stopping != is_stopping;
            status.is_ready = is_ready;
            status.is_stopping = is_stopping;
            has_changed
        });
    }
}

/// Time until `wakeup`, limited to [`MAX_SLEEP`].
pub(super) fn sleep_duration(clock: &Clock, wakeup: Option<Timestamp>) -> Duration {
    let Some(wakeup) = wakeup else {
        return MAX_SLEEP;
    };
    let span = wakeup.since(clock.now());
    Duration::from_micros(span.0).min(MAX_SLEEP)
}
