//! Runs an agent process for a leased worker: one task drives the state machine, others
//! hold the sessions to gateways and exchange messages with the worker and the record store.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use laurelstile_core::leased::agent::worker::FenceToken;
use laurelstile_core::leased::agent::{
    AgentEffect, AgentEvent, AgentOptions, CommandKind, LeasedAgent, WorkerCommand,
};
use laurelstile_core::leased::membership::subset::Subset;
use laurelstile_core::session::Remote;
use laurelstile_types::id::Incarnation;
use laurelstile_wire::error::WireError;
use laurelstile_wire::hello::{NodeRole, Socket};
use laurelstile_wire::session;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, oneshot};
use tokio::time::MissedTickBehavior;

use super::decisions::DecisionLog;
use super::gateway::sleep_duration;
use super::input::AgentInput;
use super::links::Links;
use super::ports::{RecordStore, SeedSource, WorkerPort, WorkerRequest};
use super::sessions::{Dialer, SessionHandler};
use super::settings::{LeasedAgentSettings, LeasedSettings};
use super::{membership, recall, traffic_log};
use crate::clock::Clock;
use crate::error::DaemonError;
use crate::gateway::local_node;
use crate::session::next_session;

/// Maximum number of inputs handled before the state machine is flushed.
const MAX_INPUT_BATCH: usize = 64;
/// Time-out of a start or stop command to the worker.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(25);
/// Time allowed for the answer to a watch, in addition to the wait that the watch requests.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_millis(25);
/// Time for the last messages to be written before the process exits.
const MESSAGE_FLUSH_DELAY: Duration = Duration::from_millis(100);
/// Interval at which an agent without a session reads the store's list of gateways.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(2_000);
/// Interval at which an agent compares its open sessions with those that it should have.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);
/// Time for the seeds to answer before an agent reads the list of gateways.
const SEED_TIMEOUT: Duration = Duration::from_millis(30);
/// Upper bound, exclusive, of the per-agent jitter that is added to [`SEED_TIMEOUT`] before the
/// first read.
const FIRST_LOOKUP_JITTER: Duration = Duration::from_millis(100);

/// Runs an agent until its graceful shutdown has finished.
///
/// # Errors
/// [`DaemonError::Signals`] if signal handlers cannot be installed.
pub async fn run<W, S>(
    settings: LeasedSettings,
    role: LeasedAgentSettings,
    worker: Arc<W>,
    mut worker_requests: mpsc::UnboundedReceiver<WorkerRequest>,
    store: Arc<S>,
    seed_source: SeedSource,
) -> Result<(), DaemonError>
where
    W: WorkerPort,
    S: RecordStore,
{
    let clock = Clock::start();
    let local = local_node(&settings.node, NodeRole::Agent, clock);
    let (input, mut inputs) = mpsc::unbounded_channel();
    let mut terminate = signal(SignalKind::terminate()).map_err(DaemonError::Signals)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(DaemonError::Signals)?;
    log::info!(event = "started", node = settings.node.name.as_str(), incarnation:% = local.incarnation; "agent started");
    let session_handler = GatewaySessionHandler {
        input: input.clone(),
    };
    let token_floor = fence_token_floor();
    let options = AgentOptions {
        zone: settings.node.zone.0.clone(),
        shutdown_timeout: role.shutdown_timeout(),
        heartbeats: role.heartbeat_timing(),
        token_floor,
        departures: role.policies.departures(),
    };
    let name = settings.node.name.clone();
    tokio::spawn(recall::restore(
        Arc::clone(&store),
        name.clone(),
        input.clone(),
    ));
    tokio::spawn(traffic_log::run());
    let mut driver = Driver {
        clock,
        state_machine: LeasedAgent::new(options),
        links: Links::new(
            Dialer::new(local, settings.seeds.clone(), session_handler),
            Subset::new(name.clone(), settings.node.zone.0.clone()),
        ),
        worker,
        store: Arc::clone(&store),
        record_writer: recall::start_writer(Arc::clone(&store), name.clone(), token_floor),
        input,
        decisions: DecisionLog::default(),
        name: name.clone(),
        deregistrations: HashMap::new(),
        is_stopped: false,
    };
    let first_lookup = tokio::time::Instant::now() + first_lookup_delay(&name);
    let mut lookup = tokio::time::interval_at(first_lookup, LOOKUP_INTERVAL);
    let mut review = tokio::time::interval(REVIEW_INTERVAL);
    review.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut batch = Vec::with_capacity(MAX_INPUT_BATCH);
    let mut effects = Vec::new();
    while !driver.is_stopped {
        let sleep = sleep_duration(&clock, driver.state_machine.next_wakeup(clock.now()));
        tokio::select! {
            _ = inputs.recv_many(&mut batch, MAX_INPUT_BATCH) => {}
            Some(request) = worker_requests.recv() => {
                let event = driver.translate_request(request);
                batch.extend(event.map(AgentInput::Event));
            }
            _ = terminate.recv() => {
                log::info!(event = "stopping"; "graceful shutdown started");
                batch.push(AgentInput::Event(AgentEvent::Stop));
            }
            _ = hangup.recv() => driver.links.reload_seeds(&seed_source),
            _ = review.tick() => driver.links.review(clock.now(), &mut driver.state_machine),
            _ = lookup.tick(), if driver.links.is_empty() => {
                driver.links.reload_seeds(&seed_source);
                driver.look_up_gateways();
            }
            () = tokio::time::sleep(sleep) => {}
        }
        for input in batch.drain(..) {
            driver.handle_input(input, &mut effects);
        }
        driver.state_machine.flush(clock.now(), &mut effects);
        for effect in effects.drain(..) {
            driver.execute(effect);
        }
    }
    tokio::time::sleep(MESSAGE_FLUSH_DELAY).await;
    log::info!(event = "stopped"; "agent stopped");
    Ok(())
}

/// Lower bound of this agent's fence tokens: the wall-clock time in milliseconds, so that a later
/// agent of the same worker uses higher tokens than an earlier one.
fn fence_token_floor() -> FenceToken {
    FenceToken(recall::wall_clock_millis())
}

/// Time from the start of an agent to its first read of the store's list of gateways, which it
/// does only while no seed has answered: a running seed answers within some 20 ms and names the
/// other gateways. After a power failure seeds may return later than the agents, so the wait is
/// short. The jitter, derived from the agent's name, spreads the reads of agents that start
/// together.
pub fn first_lookup_delay(name: &str) -> Duration {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    let jitter = FIRST_LOOKUP_JITTER.as_micros() as u64;
    SEED_TIMEOUT + Duration::from_micros(hasher.finish() % jitter)
}

/// Runs the sessions that this agent has dialed to gateways.
struct GatewaySessionHandler {
    input: mpsc::UnboundedSender<AgentInput>,
}

impl SessionHandler for GatewaySessionHandler {
    async fn run_session(&self, address: SocketAddr, socket: Socket, remote: Remote) -> WireError {
        let session = next_session();
        let (outgoing, messages) = mpsc::unbounded_channel();
        let _ = self.input.send(AgentInput::Opened {
            session,
            gateway: remote,
            address,
            outgoing,
        });
        let error = session::run(socket, messages, |message| {
            let _ = self
                .input
                .send(AgentInput::Event(AgentEvent::Message { session, message }));
        })
        .await;
        let _ = self
            .input
            .send(AgentInput::Event(AgentEvent::Closed { session }));
        error
    }

    fn on_connection_refused(&self, gateway: Incarnation) {
        let _ = self
            .input
            .send(AgentInput::Event(AgentEvent::GatewayEnded { gateway }));
    }
}

/// Feeds inputs to the agent's state machine and executes its effects.
struct Driver<W, S> {
    clock: Clock,
    state_machine: LeasedAgent,
    links: Links<GatewaySessionHandler>,
    worker: Arc<W>,
    store: Arc<S>,
    record_writer: recall::RecordWriter,
    input: mpsc::UnboundedSender<AgentInput>,
    decisions: DecisionLog,
    name: String,
    /// Unanswered deregistration calls, by worker id.
    deregistrations: HashMap<Arc<str>, Vec<oneshot::Sender<()>>>,
    is_stopped: bool,
}

impl<W: WorkerPort, S: RecordStore> Driver<W, S> {
    fn handle_input(&mut self, input: AgentInput, effects: &mut Vec<AgentEffect>) {
        let event = match input {
            AgentInput::Event(event) => event,
            AgentInput::Opened {
                session,
                gateway,
                address,
                outgoing,
            } => {
                let incarnation = gateway.incarnation;
                let now = self.clock.now();
                self.links
                    .on_opened(now, session, gateway.name, address, outgoing);
                AgentEvent::Opened {
                    session,
                    gateway: incarnation,
                }
            }
            AgentInput::Listed(members) => {
                self.links.add_members(self.clock.now(), members);
                return;
            }
        };
        if let AgentEvent::Closed { session } = &event {
            self.links.on_closed(*session);
        }
        self.state_machine.handle(self.clock.now(), event, effects);
    }

    fn translate_request(&mut self, request: WorkerRequest) -> Option<AgentEvent> {
        match request {
            WorkerRequest::Registered(registration) => Some(AgentEvent::Registered(registration)),
            WorkerRequest::Rejected { id, error } => {
                self.decisions.record_rejected_heartbeat(&id, &error);
                None
            }
            WorkerRequest::RemainingIgnored { id, error } => {
                self.decisions.log_ignored_remaining(&id, &error);
                None
            }
            WorkerRequest::Deregistration { id, answer } => {
                let pending = self.deregistrations.entry(Arc::clone(&id));
                pending.or_default().push(answer);
                Some(AgentEvent::Deregistration { id })
            }
        }
    }

    fn answer_deregistration(&mut self, id: &str) {
        for answer in self.deregistrations.remove(id).into_iter().flatten() {
            let _ = answer.send(());
        }
    }

    fn execute(&mut self, effect: AgentEffect) {
        match effect {
            AgentEffect::Send { session, message } => {
                self.links.send(session, message);
            }
            AgentEffect::Close(session) => self.links.on_closed(session),
            AgentEffect::Command(command) => self.spawn_command(command),
            AgentEffect::Members(members) => self.links.add_members(self.clock.now(), members),
            AgentEffect::StoreRecord(record) => self.record_writer.schedule(record),
            AgentEffect::AnswerDeregistration(id) => self.answer_deregistration(&id),
            AgentEffect::Decided(decision) => self.decisions.record_agent(&decision),
            AgentEffect::Stopped => self.is_stopped = true,
        }
    }

    /// Sends a command to the worker in a separate task; the answer becomes an input.
    fn spawn_command(&self, command: WorkerCommand) {
        let (worker, input) = (Arc::clone(&self.worker), self.input.clone());
        tokio::spawn(async move {
            let event = send_command(worker.as_ref(), command).await;
            let _ = input.send(AgentInput::Event(event));
        });
    }

    /// Reads the list of gateways from the store; the result becomes an input.
    fn look_up_gateways(&self) {
        let (store, input) = (Arc::clone(&self.store), self.input.clone());
        let name = self.name.clone();
        tokio::spawn(async move {
            if let Ok(members) = membership::read_members(store.as_ref(), &name).await {
                log::info!(event = "looked_up", members = members.len(); "gateways read from the store");
                let _ = input.send(AgentInput::Listed(members));
            }
        });
    }
}

async fn send_command<W: WorkerPort>(worker: &W, command: WorkerCommand) -> AgentEvent {
    let incarnation = command.incarnation.clone();
    match &command.kind {
        CommandKind::Start { run, .. } => AgentEvent::StartAnswered {
            run: *run,
            incarnation,
            answer: worker.send_command(&command, COMMAND_TIMEOUT).await,
        },
        CommandKind::Stop { run } => AgentEvent::StopAnswered {
            run: *run,
            incarnation,
            answer: worker.send_command(&command, COMMAND_TIMEOUT).await,
        },
        CommandKind::Watch { wait, .. } => {
            let timeout = Duration::from_micros(wait.0) + WATCH_TIMEOUT_MARGIN;
            AgentEvent::Watched {
                incarnation,
                answer: worker.watch(&command, timeout).await,
            }
        }
    }
}
