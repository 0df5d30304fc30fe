//! The agent role for leased workers.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

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
use super::gateway::sleep_until;
use super::input::AgentInput;
use super::links::Links;
use super::ports::{RecordStore, SeedSource, WorkerNews, WorkerPort};
use super::sessions::{Dialed, Dialer};
use super::settings::{LeasedAgentSettings, LeasedSettings};
use super::{membership, recall, traffic_log};
use crate::clock::Clock;
use crate::error::DaemonError;
use crate::gateway::local_node;
use crate::session::next_session;

/// Most inputs that are handled before the machine is flushed.
const INPUT_BATCH: usize = 64;
/// How long the worker may take to answer a start or stop.
const ORDER_LIMIT: Duration = Duration::from_millis(25);
/// How long it may take to answer a watch, beyond the wait in it.
const WATCH_LIMIT: Duration = Duration::from_millis(25);
/// How long messages may take to leave at the end.
const LAST_MESSAGES: Duration = Duration::from_millis(100);
/// How often an agent without a session reads the store's list of gateways.
const LOOKUP_PAUSE: Duration = Duration::from_millis(2_000);
/// How often an agent looks whether its sessions are those that it wants.
const REVIEW_PAUSE: Duration = Duration::from_millis(500);
/// How long the seeds have to answer before that.
const SEED_PATIENCE: Duration = Duration::from_millis(30);
/// Over how long the first reads of agents are spread.
const FIRST_LOOKUP_SPREAD: Duration = Duration::from_millis(100);

/// Runs an agent until it has stopped in a planned way.
///
/// # Errors
/// [`DaemonError`] if it cannot start.
pub async fn run<W, S>(
    settings: LeasedSettings,
    role: LeasedAgentSettings,
    worker: Arc<W>,
    mut news: mpsc::UnboundedReceiver<WorkerNews>,
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
    let gateways = GatewaySessions {
        input: input.clone(),
    };
    let token_floor = time_of_day();
    let options = AgentOptions {
        zone: settings.node.zone.0.clone(),
        shutdown_timeout: role.stop_patience(),
        heartbeats: role.heartbeats(),
        token_floor,
    };
    let name = settings.node.name.clone();
    tokio::spawn(recall::recall(
        Arc::clone(&store),
        name.clone(),
        input.clone(),
    ));
    tokio::spawn(traffic_log::write());
    let mut driver = Driver {
        clock,
        machine: LeasedAgent::new(options),
        links: Links::new(
            Dialer::new(local, settings.seeds.clone(), gateways),
            Subset::new(name.clone(), settings.node.zone.0.clone()),
        ),
        worker,
        store: Arc::clone(&store),
        record: recall::keep(Arc::clone(&store), name.clone(), token_floor),
        input,
        decisions: DecisionLog::default(),
        name: name.clone(),
        deregistrations: HashMap::new(),
        is_stopped: false,
    };
    let first_lookup = tokio::time::Instant::now() + first_lookup_after(&name);
    let mut lookup = tokio::time::interval_at(first_lookup, LOOKUP_PAUSE);
    let mut review = tokio::time::interval(REVIEW_PAUSE);
    review.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut batch = Vec::with_capacity(INPUT_BATCH);
    let mut effects = Vec::new();
    while !driver.is_stopped {
        let sleep = sleep_until(&clock, driver.machine.next_wakeup(clock.now()));
        tokio::select! {
            _ = inputs.recv_many(&mut batch, INPUT_BATCH) => {}
            Some(news) = news.recv() => {
                let event = driver.event_of(news);
                batch.extend(event.map(AgentInput::Event));
            }
            _ = terminate.recv() => {
                log::info!(event = "stopping"; "planned stop");
                batch.push(AgentInput::Event(AgentEvent::Stop));
            }
            _ = hangup.recv() => driver.links.reseed(&seed_source),
            _ = review.tick() => driver.links.review(clock.now(), &mut driver.machine),
            _ = lookup.tick(), if driver.links.is_empty() => {
                driver.links.reseed(&seed_source);
                driver.look_up();
            }
            () = tokio::time::sleep(sleep) => {}
        }
        for input in batch.drain(..) {
            driver.take(input, &mut effects);
        }
        driver.machine.flush(clock.now(), &mut effects);
        for effect in effects.drain(..) {
            driver.carry_out(effect);
        }
    }
    tokio::time::sleep(LAST_MESSAGES).await;
    log::info!(event = "stopped"; "agent stopped");
    Ok(())
}

/// The time of day, from which the tokens of orders begin: it rises from agent to agent of a
/// worker.
fn time_of_day() -> FenceToken {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = time.unwrap_or_default().as_millis();
    FenceToken(u64::try_from(millis).unwrap_or_default())
}

/// When an agent that no seed has answered reads the store's list for the first time,
/// counted from its start. A seed that lives answers within some 20 ms and names the
/// other gateways, so agents read nothing then. After a loss of power seeds may come back
/// later than others: a longer wait costs worth (over 2 s: 0.015 on days with such a
/// loss). Agents start together, so their reads are spread by their names.
pub fn first_lookup_after(name: &str) -> Duration {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    let spread = FIRST_LOOKUP_SPREAD.as_micros() as u64;
    SEED_PATIENCE + Duration::from_micros(hasher.finish() % spread)
}

/// Sessions to gateways.
struct GatewaySessions {
    input: mpsc::UnboundedSender<AgentInput>,
}

impl Dialed for GatewaySessions {
    async fn hold(&self, address: SocketAddr, socket: Socket, remote: Remote) -> WireError {
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

    fn on_refused(&self, gateway: Incarnation) {
        let _ = self
            .input
            .send(AgentInput::Event(AgentEvent::GatewayEnded { gateway }));
    }
}

/// Drives one agent's machine.
struct Driver<W, S> {
    clock: Clock,
    machine: LeasedAgent,
    links: Links<GatewaySessions>,
    worker: Arc<W>,
    store: Arc<S>,
    record: recall::RecordKeeper,
    input: mpsc::UnboundedSender<AgentInput>,
    decisions: DecisionLog,
    /// Its name.
    name: String,
    /// Deregistrations that wait for their answers, by the worker's id.
    deregistrations: HashMap<Arc<str>, Vec<oneshot::Sender<()>>>,
    is_stopped: bool,
}

impl<W: WorkerPort, S: RecordStore> Driver<W, S> {
    fn take(&mut self, input: AgentInput, effects: &mut Vec<AgentEffect>) {
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
                self.links.learn(self.clock.now(), members);
                return;
            }
        };
        if let AgentEvent::Closed { session } = &event {
            self.links.on_closed(*session);
        }
        self.machine.handle(self.clock.now(), event, effects);
    }

    fn event_of(&mut self, news: WorkerNews) -> Option<AgentEvent> {
        match news {
            WorkerNews::Registered(registration) => Some(AgentEvent::Registered(registration)),
            WorkerNews::SetAside { id, error } => {
                self.decisions.heartbeat_set_aside(&id, &error);
                None
            }
            WorkerNews::Deregistration { id, answer } => {
                let waiting = self.deregistrations.entry(Arc::clone(&id));
                waiting.or_default().push(answer);
                Some(AgentEvent::Deregistration { id })
            }
        }
    }

    fn answer_deregistration(&mut self, id: &str) {
        for answer in self.deregistrations.remove(id).into_iter().flatten() {
            let _ = answer.send(());
        }
    }

    fn carry_out(&mut self, effect: AgentEffect) {
        match effect {
            AgentEffect::Send { session, message } => {
                self.links.send(session, message);
            }
            AgentEffect::Close(session) => self.links.on_closed(session),
            AgentEffect::Command(order) => self.give(order),
            AgentEffect::Members(members) => self.links.learn(self.clock.now(), members),
            AgentEffect::StoreRecord(known) => self.record.remember(known),
            AgentEffect::AnswerDeregistration(id) => self.answer_deregistration(&id),
            AgentEffect::Decided(decision) => self.decisions.agent(&decision),
            AgentEffect::Stopped => self.is_stopped = true,
        }
    }

    /// Carries an order to the worker, and its answer back to the machine.
    fn give(&self, order: WorkerCommand) {
        let (worker, input) = (Arc::clone(&self.worker), self.input.clone());
        tokio::spawn(async move {
            let event = give(worker.as_ref(), order).await;
            let _ = input.send(AgentInput::Event(event));
        });
    }

    /// Asks the store which gateways there are.
    fn look_up(&self) {
        let (store, input) = (Arc::clone(&self.store), self.input.clone());
        let name = self.name.clone();
        tokio::spawn(async move {
            if let Ok(members) = membership::read(store.as_ref(), &name).await {
                log::info!(event = "looked_up", members = members.len(); "gateways read from the store");
                let _ = input.send(AgentInput::Listed(members));
            }
        });
    }
}

async fn give<W: WorkerPort>(worker: &W, order: WorkerCommand) -> AgentEvent {
    let incarnation = order.incarnation.clone();
    match &order.kind {
        CommandKind::Start { run, .. } => AgentEvent::StartAnswered {
            run: *run,
            incarnation,
            answer: worker.order(&order, ORDER_LIMIT).await,
        },
        CommandKind::Stop { run } => AgentEvent::StopAnswered {
            run: *run,
            incarnation,
            answer: worker.order(&order, ORDER_LIMIT).await,
        },
        CommandKind::Watch { wait, .. } => {
            let limit = Duration::from_micros(wait.0) + WATCH_LIMIT;
            AgentEvent::Watched {
                incarnation,
                answer: worker.watch(&order, limit).await,
            }
        }
    }
}
