//! The gateway role for leased workers.

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
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, oneshot, watch};

use super::decisions::DecisionLog;
use super::gate::{Gate, View};
use super::input::GatewayInput;
use super::ports::{OperatorSource, RecordStore, SeedSource};
use super::sessions::{Dialed, Dialer, note_end};
use super::settings::{LeasedGatewaySettings, LeasedSettings};
use super::{membership, operator, traffic_log};
use crate::clock::Clock;
use crate::error::DaemonError;
use crate::gateway::{listen, local_node};
use crate::session::next_session;

/// Most inputs that are handled before the machine is flushed.
const INPUT_BATCH: usize = 128;
/// Longest sleep of the driver.
const LONGEST_SLEEP: Duration = Duration::from_millis(500);
/// How long answers may take to leave once nothing is in flight any more.
const LAST_ANSWERS: Duration = Duration::from_millis(200);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// A gateway that runs.
pub struct Running {
    /// For the front end.
    pub gate: Gate,
    /// Ends when the gateway has stopped in a planned way.
    pub done: tokio::task::JoinHandle<()>,
}

/// Starts a gateway; its front end is the caller's.
///
/// # Errors
/// [`DaemonError`] if it cannot start.
pub async fn start<S>(
    settings: LeasedSettings,
    role: LeasedGatewaySettings,
    store: Arc<S>,
    seed_source: SeedSource,
) -> Result<Running, DaemonError>
where
    S: RecordStore + OperatorSource,
{
    let clock = Clock::start();
    let local = local_node(&settings.node, NodeRole::Gateway, clock);
    let (input, inputs) = mpsc::unbounded_channel();
    let member = Member {
        name: settings.node.name.clone(),
        address: role.public_address(),
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
    let peers = PeerSessions {
        input: input.clone(),
    };
    let dialer = Dialer::new(local.clone(), seeds, peers);
    tokio::spawn(operator::follow(Arc::clone(&store), input.clone()));
    tokio::spawn(membership::keep(
        Arc::clone(&store),
        member.clone(),
        input.clone(),
    ));
    tokio::spawn(traffic_log::write());
    take_signals(input.clone())?;

    let identity = Identity {
        member: member.clone(),
        stop: role.stop_times(),
    };
    let (view, views) = watch::channel(View::default());
    let driver = Driver {
        clock,
        machine: LeasedGateway::new(identity),
        dialer,
        view,
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
        // Together with the front end's last calls within what a planned stop leaves after
        // the last job: a store that was silent for 1.5 s had processes killed.
        let withdrawal = membership::withdraw(store.as_ref(), &member);
        tokio::join!(withdrawal, tokio::time::sleep(LAST_ANSWERS));
        log::info!(event = "stopped"; "gateway stopped");
    });
    Ok(Running {
        gate: Gate::new(input, views),
        done,
    })
}

fn take_signals(input: mpsc::UnboundedSender<GatewayInput>) -> Result<(), DaemonError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(DaemonError::Signals)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(DaemonError::Signals)?;
    tokio::spawn(async move {
        loop {
            let news = tokio::select! {
                _ = terminate.recv() => GatewayInput::Event(GatewayEvent::Stop),
                _ = hangup.recv() => GatewayInput::Reload,
            };
            if input.send(news).is_err() {
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
    loop {
        let Ok((stream, address)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let (local, input) = (local.clone(), input.clone());
        tokio::spawn(async move {
            let error = hold_accepted(stream, &local, &input).await;
            note_end(&error, &address.to_string());
        });
    }
}

async fn hold_accepted(
    stream: TcpStream,
    local: &LocalNode,
    input: &mpsc::UnboundedSender<GatewayInput>,
) -> WireError {
    let expected = [NodeRole::Agent, NodeRole::Gateway];
    match session::accept_any(stream, local, &expected).await {
        Ok((socket, NodeRole::Agent, remote)) => hold_agent(socket, remote, input).await,
        Ok((socket, NodeRole::Gateway, _)) => hold_peer(socket, false, input).await,
        Err(error) => error,
    }
}

async fn hold_agent(
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

async fn hold_peer(
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

/// Sessions to peers that this gateway has dialed.
struct PeerSessions {
    input: mpsc::UnboundedSender<GatewayInput>,
}

impl Dialed for PeerSessions {
    async fn hold(&self, _address: SocketAddr, socket: Socket, _remote: Remote) -> WireError {
        hold_peer(socket, true, &self.input).await
    }

    fn on_refused(&self, _gateway: Incarnation) {}
}

/// Drives one gateway's machine.
struct Driver {
    clock: Clock,
    machine: LeasedGateway,
    dialer: Dialer<PeerSessions>,
    view: watch::Sender<View>,
    calls: HashMap<CallNumber, oneshot::Sender<Answer>>,
    agents: HashMap<SessionId, mpsc::UnboundedSender<ToAgent>>,
    peers: HashMap<SessionId, mpsc::UnboundedSender<ToPeer>>,
    seed_source: SeedSource,
    decisions: DecisionLog,
    is_stopped: bool,
}

impl Driver {
    async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<GatewayInput>) {
        let mut batch = Vec::with_capacity(INPUT_BATCH);
        let mut effects = Vec::new();
        while !self.is_stopped {
            let sleep = sleep_until(&self.clock, self.machine.next_wakeup());
            tokio::select! {
                _ = inputs.recv_many(&mut batch, INPUT_BATCH) => {}
                () = tokio::time::sleep(sleep) => {}
            }
            for input in batch.drain(..) {
                self.take(input, &mut effects);
            }
            self.machine.flush(self.clock.now(), &mut effects);
            for effect in effects.drain(..) {
                self.carry_out(effect);
            }
            self.show();
        }
    }

    fn take(&mut self, input: GatewayInput, effects: &mut Vec<GatewayEffect>) {
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
                let _ = reply.send(self.machine.has_job(job));
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
                self.dialer.reseed(&self.seed_source);
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
            GatewayEvent::Stop => log::info!(event = "stopping"; "planned stop"),
            _ => {}
        }
        self.machine.handle(self.clock.now(), event, effects);
    }

    fn carry_out(&mut self, effect: GatewayEffect) {
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
                self.view
                    .send_modify(|view| view.configuration = Some(configuration));
            }
            GatewayEffect::Dial {
                members,
                is_settled,
            } => self.dialer.want(&members, is_settled),
            GatewayEffect::Decided(decision) => self.decisions.gateway(&decision),
            GatewayEffect::Stopped => self.is_stopped = true,
        }
    }

    /// Shows the front end what has changed.
    fn show(&mut self) {
        let is_ready = self.machine.is_ready(self.clock.now());
        let is_stopping = self.machine.is_stopping();
        self.view.send_if_modified(|view| {
            let has_changed = view.is_ready != is_ready || view.is_stopping != is_stopping;
            view.is_ready = is_ready;
            view.is_stopping = is_stopping;
            has_changed
        });
    }
}

/// How long a driver may sleep.
pub(super) fn sleep_until(clock: &Clock, wakeup: Option<Timestamp>) -> Duration {
    let Some(wakeup) = wakeup else {
        return LONGEST_SLEEP;
    };
    let span = wakeup.since(clock.now());
    Duration::from_micros(span.0).min(LONGEST_SLEEP)
}
