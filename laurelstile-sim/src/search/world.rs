//! A deterministic world of two gateways, two agents with a worker each, and one job of one task.

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;

use laurelstile_core::leased::agent::worker::{FenceToken, Registration};
use laurelstile_core::leased::agent::{
    AgentEffect, AgentEvent, AgentOptions, HeartbeatTiming, LeasedAgent, WorkerCommand,
};
use laurelstile_core::leased::gateway::job::{CallNumber, JobRequest, StepRequest};
use laurelstile_core::leased::gateway::{Answer, GatewayEffect, GatewayEvent, LeasedGateway};
use laurelstile_core::leased::messages::{FromAgent, ToAgent, ToAgentBody};
use laurelstile_core::leased::resources::Resources;
use laurelstile_core::leased::task::{JobId, RunId, TaskId};
use laurelstile_core::leased::timing::CALLER_RETRY_DELAY;
use laurelstile_core::session::{Remote, SessionId};
use laurelstile_types::id::Incarnation;
use laurelstile_types::time::Span;

use super::commands::{Armed, Delivery, PendingWatch};
use super::fault::{
    AgentInput, Direction, Fault, GatewayInput, Micros, ScheduledFault, TokenStart,
};
use super::scheduled::Scheduled;
use crate::leased::nodes::{self, Process};
use crate::leased::worker::{SimWorker, UNIX_MILLIS};

/// Number of gateways, and of agents and workers.
pub const NODES: usize = 2;
/// When the job is submitted.
pub const SUBMITTED_AT: Micros = 500_000;
/// The job.
pub const JOB: JobId = JobId(1);
/// When the first gateway gets an earlier job, if it does, and how much later the next one.
const EARLIER_JOBS_AT: Micros = 20_000;
const EARLIER_JOBS_INTERVAL: Micros = 10_000;
/// How long the tasks of an earlier job run.
pub const EARLIER_RUN_TIME: Micros = 2_000;
/// How long the task runs.
pub const RUN_TIME: Micros = 3_000_000;
/// End of a history.
pub const END: Micros = SUBMITTED_AT + 7_000_000;
/// One-way delay between two processes.
const LATENCY: Micros = 500;
/// Interval at which an agent dials a gateway to which it has no session.
const REDIAL: Micros = 25_000;
/// Interval of workers' heartbeats, and when the first one after the registration is sent.
const HEARTBEAT: Micros = 1_500_000;
/// How long sent bytes may stay unacknowledged until a session ends.
const USER_TIMEOUT: Micros = 2_000_000;
/// How late both sides notice that a connection was closed.
const CLOSE_NOTICE: Micros = 1_000;
/// How long an agent that starts takes to read its worker's record.
const RECORD_DELAY: Micros = 5_000;
/// How long a gateway that starts takes to read the configuration.
const CONFIGURATION_DELAY: Micros = 20_000;
/// The caller's deadline unless a fault sets another.
const DEADLINE: Micros = 10_000_000;
/// How often the caller submits the job at most.
const MAX_SUBMISSIONS: u64 = 3;
/// Longest time that a stop takes at a worker.
const STOP_TIME: Micros = 50_000;
/// How far a wall clock is set back, in milliseconds.
const SET_BACK_MILLIS: u64 = 2_000;
/// CPU that the task needs, which is all that a worker has.
const CPU_MILLIS: u32 = 1_000;

/// A mechanism that can be switched off, to show that the search finds what it prevents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    /// Workers kill runs whose lease has expired.
    Leases,
    /// Agents stop the runs of gateways that have not echoed their clock for long.
    OwnerTimeout,
}

/// Properties of a world beside its faults.
#[derive(Clone, Copy, Debug, Default)]
pub struct Setup {
    /// Whether workers report when their process started, and may restart under the same id.
    pub has_start_times: bool,
    /// Whether each gateway has had a short job on each worker shortly before, so that agents send
    /// it frequent heartbeats.
    pub has_busy_sessions: bool,
    /// Whether the caller submits the job again at the same gateway instead of the other.
    pub has_same_gateway: bool,
    /// A mechanism that is switched off.
    pub without: Option<Mechanism>,
}

/// Something that happens at a point in time.
#[derive(Debug)]
pub enum Event {
    /// Timers of a gateway may have expired.
    WakeGateway(usize),
    /// Timers of an agent may have expired.
    WakeAgent(usize),
    /// A message reaches an agent.
    ToAgent(usize, Incarnation, SessionId, Box<ToAgent>),
    /// A message reaches a gateway.
    ToGateway(usize, Incarnation, SessionId, Box<FromAgent>),
    /// An agent notices the end of a session.
    AgentSessionEnds(usize, Incarnation, SessionId),
    /// A gateway notices the end of a session.
    GatewaySessionEnds(usize, Incarnation, SessionId),
    /// An agent dials the gateways to which it has no session.
    Dial(usize),
    /// A command reaches a worker.
    CommandArrives(usize, Incarnation, Box<WorkerCommand>, Delivery),
    /// A command leaves the agent that has held it back.
    CommandLeaves(usize, Incarnation, Box<WorkerCommand>),
    /// An event reaches an agent's process.
    AgentInput(usize, Incarnation, Box<AgentEvent>),
    /// A worker answers a watch.
    WatchEnds(usize, u64),
    /// A worker ends what is due.
    Settle(usize),
    /// A worker sends a heartbeat.
    Heartbeat(usize, u64),
    /// A worker's process starts.
    WorkerStarts(usize),
    /// A worker's process ends.
    WorkerEnds(usize, u64),
    /// A gateway's process starts.
    GatewayStarts(usize),
    /// An agent's process starts.
    AgentStarts(usize, TokenStart, bool),
    /// A gateway is asked to stop.
    GatewayStop(usize, Incarnation),
    /// A gateway reads the configuration.
    Configuration(usize, Incarnation),
    /// Another caller submits a short job.
    EarlierJob(usize),
    /// The caller submits the job.
    Submit,
    /// A submission reaches a gateway.
    Submission(usize, Incarnation, CallNumber, Span),
    /// The caller's deadline passes.
    DeadlinePasses(CallNumber),
    /// A gateway learns that the caller has disconnected.
    Disconnect(usize, Incarnation, CallNumber),
    /// A fault begins.
    Fault(usize),
    /// A loss of messages ends with the session.
    LossEnds(usize, usize, SessionId),
    /// An input that has waited in a driver.
    Waited(Box<Event>),
}

/// A run in progress, or its order.
#[derive(Clone, Debug)]
pub struct OrderedRun {
    /// Index of the worker.
    pub worker: usize,
    /// Index of the gateway that ordered it.
    pub gateway: usize,
    /// The run.
    pub run: RunId,
    /// When it started.
    pub started: Micros,
}

/// Two runs of the task at the same time.
#[derive(Clone, Debug)]
pub struct Overlap {
    /// When the later run started.
    pub at: Micros,
    /// The runs, earlier one first.
    pub runs: [OrderedRun; 2],
    /// How often the caller had submitted the job.
    pub submissions: u64,
}

/// The caller's present submission.
#[derive(Debug)]
struct Call {
    number: CallNumber,
    gateway: usize,
    incarnation: Incarnation,
}

/// State of a link between an agent and a gateway in one direction.
#[derive(Clone, Copy, Debug, Default)]
struct Link {
    held_until: Micros,
    lossy_until: Micros,
}

/// The world.
pub struct World {
    /// The present.
    pub now: Micros,
    /// Agents; each has the worker of the same index.
    pub agents: Vec<Process<LeasedAgent>>,
    /// Workers.
    pub workers: Vec<SimWorker>,
    /// Watches that wait at workers.
    pub watches: Vec<Option<PendingWatch>>,
    /// Faults of commands that have begun and affect later commands.
    pub armed: Vec<Armed>,
    /// When each worker next ends something by itself.
    pub settles_at: Vec<Micros>,
    /// Workers that refuse connections, and whether they refuse watches too.
    pub refuses: Vec<Option<bool>>,
    /// Until when each worker ignores commands of a kind.
    pub ignores: Vec<BTreeMap<&'static str, Micros>>,
    /// Runs in progress.
    pub running: Vec<OrderedRun>,
    /// The first overlap.
    pub overlap: Option<Overlap>,
    /// Number of commands that are not carried out yet.
    pub commands_in_flight: usize,
    /// Lines of the timeline, if it is wanted.
    pub timeline: Option<Vec<(Micros, String)>>,
    setup: Setup,
    gateways: Vec<Process<LeasedGateway>>,
    owners: BTreeMap<(usize, RunId), usize>,
    ended_registrations: Vec<Option<Registration>>,
    records: Vec<Option<Registration>>,
    links: [[[Link; 2]; NODES]; NODES],
    severed_until: [[Micros; NODES]; NODES],
    broken: BTreeSet<(SessionId, Direction)>,
    last_gateways: [[Option<Incarnation>; NODES]; NODES],
    refusing_gateways: [bool; NODES],
    slow_gateways: [[Micros; 3]; NODES],
    slow_agents: [[Micros; 2]; NODES],
    /// The submissions that gateways have read.
    read_calls: BTreeSet<CallNumber>,
    tokens: [u64; NODES],
    gateways_away: [Micros; NODES],
    agents_away: [Micros; NODES],
    faults: Vec<ScheduledFault>,
    faults_left: usize,
    call: Option<Call>,
    deadline: Micros,
    submissions: u64,
    is_caller_done: bool,
    queue: BinaryHeap<Scheduled<Event>>,
    sequence: u64,
}

impl World {
    /// A world with these faults. Keeps a timeline if `is_traced`.
    pub fn new(setup: Setup, faults: &[ScheduledFault], is_traced: bool) -> Self {
        let clock_rate = |worker: usize| {
            let rates = faults.iter().filter_map(|scheduled| match scheduled.fault {
                Fault::ClockRate(index, rate) if index == worker => Some(rate),
                _ => None,
            });
            rates.min().unwrap_or(1_000)
        };
        let tells_start_time = setup.has_start_times
            || faults
                .iter()
                .any(|scheduled| matches!(scheduled.fault, Fault::WorkerRestarts(_, _, true)));
        let deadlines = faults.iter().filter_map(|scheduled| match scheduled.fault {
            Fault::Deadline(after) => Some(after),
            _ => None,
        });
        let workers = (0..NODES).map(|index| {
            let offset = 1_000_000 * (index as u64 + 1);
            let mut worker = SimWorker::new(CPU_MILLIS, clock_rate(index), offset);
            worker.keeps_id = tells_start_time;
            worker.tells_birth = tells_start_time;
            worker.stop_time = STOP_TIME;
            worker.has_leases = setup.without != Some(Mechanism::Leases);
            worker
        });
        let mut world = Self {
            now: 0,
            agents: Vec::new(),
            workers: workers.collect(),
            watches: vec![None, None],
            armed: Vec::new(),
            settles_at: vec![Micros::MAX; NODES],
            refuses: vec![None; NODES],
            ignores: vec![BTreeMap::new(); NODES],
            running: Vec::new(),
            overlap: None,
            commands_in_flight: 0,
            timeline: is_traced.then(Vec::new),
            setup,
            gateways: Vec::new(),
            owners: BTreeMap::new(),
            ended_registrations: vec![None; NODES],
            records: vec![None; NODES],
            links: Default::default(),
            severed_until: Default::default(),
            broken: BTreeSet::new(),
            last_gateways: Default::default(),
            refusing_gateways: [false; NODES],
            slow_gateways: Default::default(),
            slow_agents: Default::default(),
            read_calls: BTreeSet::new(),
            tokens: [0; NODES],
            gateways_away: [0; NODES],
            agents_away: [0; NODES],
            faults: faults.to_vec(),
            faults_left: faults.len(),
            call: None,
            deadline: deadlines.min().unwrap_or(DEADLINE),
            submissions: 0,
            is_caller_done: false,
            queue: BinaryHeap::new(),
            sequence: 0,
        };
        world.begin();
        world
    }

    fn begin(&mut self) {
        for index in 0..NODES {
            let incarnation = self.fresh();
            let gateway = Process::begin(nodes::gateway(index), incarnation, 0);
            self.schedule(1_000, Event::Configuration(index, gateway.incarnation));
            self.gateways.push(gateway);
        }
        for index in 0..NODES {
            let incarnation = self.fresh();
            let machine = self.agent(index, UNIX_MILLIS);
            self.agents.push(Process::begin(machine, incarnation, 0));
            self.schedule(2_000, Event::WorkerStarts(index));
            self.schedule(5_000, Event::Dial(index));
        }
        for index in 0..self.faults.len() {
            let at = self.faults[index].at;
            self.schedule(at, Event::Fault(index));
        }
        if self.setup.has_busy_sessions {
            for index in 0..NODES {
                let at = EARLIER_JOBS_AT + EARLIER_JOBS_INTERVAL * index as u64;
                self.schedule(at, Event::EarlierJob(index));
            }
        }
        self.schedule(SUBMITTED_AT, Event::Submit);
    }

    fn agent(&mut self, index: usize, token_floor: u64) -> LeasedAgent {
        self.tokens[index] = token_floor;
        LeasedAgent::new(AgentOptions {
            // The first agent is in the gateways' zone, so that the task starts there.
            zone: if index == 0 {
                nodes::ZONE.into()
            } else {
                nodes::zone_name(index)
            },
            shutdown_timeout: Span::from_secs(5),
            heartbeats: HeartbeatTiming {
                interval: Span(HEARTBEAT),
                grace: Span::from_millis(3_000),
            },
            token_floor: FenceToken(token_floor),
        })
    }

    /// Runs until the end, the first overlap, or until nothing can happen any more.
    pub fn run(&mut self) {
        while let Some(next) = self.queue.pop() {
            if next.at > END || self.overlap.is_some() || self.is_over() {
                return;
            }
            self.now = next.at;
            if let Some(thaw) = self.thaw_of(&next.event) {
                // Keeps its number, and so its place among what arrives meanwhile.
                self.queue.push(Scheduled { at: thaw, ..next });
                continue;
            }
            match next.event {
                Event::Waited(event) => self.handle(*event),
                event => match self.driver_delay(&event) {
                    0 => self.handle(event),
                    delay => self.schedule(self.now + delay, Event::Waited(Box::new(event))),
                },
            }
        }
    }

    /// How long an input waits in the driver of its process.
    fn driver_delay(&self, event: &Event) -> Micros {
        let gateway = |index: usize, input| self.slow_gateways[index][input as usize];
        let agent = |index: usize, input| self.slow_agents[index][input as usize];
        match event {
            Event::ToGateway(index, ..) | Event::GatewaySessionEnds(index, ..) => {
                gateway(*index, GatewayInput::AgentMessages)
            }
            Event::Submission(index, ..) => gateway(*index, GatewayInput::Submissions),
            Event::Disconnect(index, ..) => gateway(*index, GatewayInput::Disconnects),
            Event::ToAgent(index, ..) | Event::AgentSessionEnds(index, ..) => {
                agent(*index, AgentInput::GatewayMessages)
            }
            Event::AgentInput(index, ..) => agent(*index, AgentInput::WorkerMessages),
            _ => 0,
        }
    }

    /// Whether no run is in progress and none will start.
    fn is_over(&self) -> bool {
        self.is_caller_done
            && self.running.is_empty()
            && self.commands_in_flight == 0
            && self.faults_left == 0
            && self
                .gateways
                .iter()
                .all(|gateway| !gateway.is_up || gateway.machine.job_count() == 0)
    }

    /// Schedules an event.
    pub fn schedule(&mut self, at: Micros, event: Event) {
        self.sequence += 1;
        let number = self.sequence;
        self.queue.push(Scheduled { at, number, event });
    }

    /// A number that is new in this world.
    pub fn fresh(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Adds a line to the timeline.
    pub fn note(&mut self, line: impl FnOnce() -> String) {
        let now = self.now;
        if let Some(timeline) = &mut self.timeline {
            timeline.push((now, line()));
        }
    }

    /// When the process that an event is for runs again; `None` if it runs.
    fn thaw_of(&self, event: &Event) -> Option<Micros> {
        let frozen_until = match event {
            Event::WakeGateway(index)
            | Event::ToGateway(index, ..)
            | Event::GatewaySessionEnds(index, ..)
            | Event::Submission(index, ..)
            | Event::Configuration(index, _)
            | Event::GatewayStop(index, _)
            | Event::Disconnect(index, ..) => self.gateways[*index].frozen_until,
            Event::WakeAgent(index)
            | Event::ToAgent(index, ..)
            | Event::AgentSessionEnds(index, ..)
            | Event::Dial(index)
            | Event::CommandLeaves(index, ..)
            | Event::AgentInput(index, ..) => self.agents[*index].frozen_until,
            Event::Waited(event) => return self.thaw_of(event),
            _ => 0,
        };
        (frozen_until > self.now).then_some(frozen_until)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::WakeGateway(index) => {
                if self.gateways[index].wakes_at <= self.now {
                    self.gateways[index].wakes_at = Micros::MAX;
                    self.gateway_event(index, GatewayEvent::Tick);
                }
            }
            Event::WakeAgent(index) => {
                if self.agents[index].wakes_at <= self.now {
                    self.agents[index].wakes_at = Micros::MAX;
                    self.agent_event(index, AgentEvent::Tick);
                }
            }
            Event::ToAgent(index, incarnation, session, message) => {
                let agent = &self.agents[index];
                let is_open = agent.sessions.contains_key(&session);
                if agent.is_up && agent.incarnation == incarnation && is_open {
                    self.record_owner(index, session, &message);
                    let mut message = *message;
                    if self.setup.without == Some(Mechanism::OwnerTimeout) {
                        message.echo = self.agents[index].clock(self.now);
                    }
                    self.agent_event(index, AgentEvent::Message { session, message });
                }
            }
            Event::ToGateway(index, incarnation, session, message) => {
                if self.is_gateway(index, incarnation) {
                    let message = *message;
                    self.gateway_event(index, GatewayEvent::AgentMessage { session, message });
                }
            }
            Event::AgentSessionEnds(index, incarnation, session) => {
                let agent = &mut self.agents[index];
                if agent.is_up
                    && agent.incarnation == incarnation
                    && agent.sessions.remove(&session).is_some()
                {
                    self.agent_event(index, AgentEvent::Closed { session });
                }
            }
            Event::GatewaySessionEnds(index, incarnation, session) => {
                if self.is_gateway(index, incarnation)
                    && self.gateways[index].sessions.remove(&session).is_some()
                {
                    self.gateway_event(index, GatewayEvent::AgentClosed { session });
                }
            }
            Event::Dial(index) => self.dial(index),
            Event::CommandArrives(worker, agent, command, delivery) => {
                self.commands_in_flight -= 1;
                self.command_arrives(worker, agent, &command, delivery);
            }
            Event::CommandLeaves(index, incarnation, command) => {
                self.commands_in_flight -= 1;
                if self.agents[index].is_up && self.agents[index].incarnation == incarnation {
                    self.send_to_worker(index, incarnation, command);
                }
            }
            Event::AgentInput(index, incarnation, event) => {
                if self.agents[index].is_up && self.agents[index].incarnation == incarnation {
                    self.agent_event(index, *event);
                }
            }
            Event::WatchEnds(worker, number) => self.end_watch(worker, number),
            Event::Settle(worker) => {
                if self.settles_at[worker] <= self.now {
                    self.settles_at[worker] = Micros::MAX;
                    self.settle(worker);
                }
            }
            Event::Heartbeat(worker, life) => {
                if self.workers[worker].life == life {
                    self.schedule(self.now + HEARTBEAT, Event::Heartbeat(worker, life));
                    let registration = self.registration(worker);
                    self.register(worker, registration);
                }
            }
            Event::WorkerStarts(worker) => self.start_worker(worker),
            Event::WorkerEnds(worker, life) => {
                if self.workers[worker].life == life {
                    self.end_worker(worker);
                }
            }
            Event::GatewayStarts(index) => self.start_gateway(index),
            Event::AgentStarts(index, token, has_record) => {
                self.start_agent(index, token, has_record);
            }
            Event::Configuration(index, incarnation) => {
                if self.is_gateway(index, incarnation) {
                    let configuration = nodes::configuration(1);
                    self.gateway_event(index, GatewayEvent::Configuration(configuration));
                }
            }
            Event::GatewayStop(index, incarnation) => {
                if self.is_gateway(index, incarnation) {
                    self.gateway_event(index, GatewayEvent::Stop);
                }
            }
            Event::EarlierJob(index) => {
                let id = JobId(JOB.0 + 1 + index as u64);
                let request = request(id, NODES, EARLIER_RUN_TIME, Span(DEADLINE));
                let call = CallNumber(MAX_SUBMISSIONS + 1 + index as u64);
                self.gateway_event(index, GatewayEvent::Submit { call, request });
            }
            Event::Submit => self.submit(),
            Event::Submission(index, incarnation, call, time_left) => {
                if self.is_gateway(index, incarnation) {
                    self.read_calls.insert(call);
                    self.note(|| format!("gateway-{index} reads submission {}", call.0));
                    let request = request(JOB, 1, RUN_TIME, time_left);
                    self.gateway_event(index, GatewayEvent::Submit { call, request });
                }
            }
            Event::DeadlinePasses(call) => {
                if self.call.as_ref().is_some_and(|open| open.number == call) {
                    self.note(|| "caller's deadline passes".into());
                    self.break_call(Some(0));
                }
            }
            Event::Disconnect(index, incarnation, call) => {
                if self.is_gateway(index, incarnation) && !self.read_calls.contains(&call) {
                    // The connection's end is read after the submission.
                    let event = Event::Disconnect(index, incarnation, call);
                    let event = Event::Waited(Box::new(event));
                    self.schedule(self.now + CLOSE_NOTICE, event);
                } else if self.is_gateway(index, incarnation) {
                    self.note(|| format!("gateway-{index} learns that its caller has left"));
                    self.gateway_event(index, GatewayEvent::CallerDisconnected { call });
                }
            }
            Event::Fault(index) => {
                self.faults_left -= 1;
                let fault = self.faults[index].fault;
                self.note(|| format!("FAULT: {}: {fault:?}", fault.kind()));
                self.begin_fault(fault);
            }
            Event::LossEnds(agent, gateway, session) => self.close_session(agent, gateway, session),
            Event::Waited(event) => self.handle(*event),
        }
    }

    fn is_gateway(&self, index: usize, incarnation: Incarnation) -> bool {
        self.gateways[index].is_up && self.gateways[index].incarnation == incarnation
    }

    /// Gives an agent an event, and executes the effects.
    pub fn agent_event(&mut self, index: usize, event: AgentEvent) {
        let agent = &mut self.agents[index];
        if !agent.is_up {
            return;
        }
        let clock = agent.clock(self.now);
        let mut effects = Vec::new();
        agent.machine.handle(clock, event, &mut effects);
        agent.machine.flush(clock, &mut effects);
        let wakeup = agent.machine.next_wakeup(clock);
        let incarnation = agent.incarnation;
        if let Some(at) = agent.wake_sooner(clock, wakeup) {
            self.schedule(at, Event::WakeAgent(index));
        }
        for effect in effects {
            match effect {
                AgentEffect::Send { session, message } => {
                    let Some(gateway) = self.agents[index].sessions.get(&session).copied() else {
                        continue;
                    };
                    let to = self.gateways[gateway].incarnation;
                    let event = Event::ToGateway(gateway, to, session, Box::new(message));
                    self.transmit(index, gateway, session, Direction::ToGateway, event);
                }
                AgentEffect::Close(session) => {
                    if let Some(gateway) = self.agents[index].sessions.remove(&session) {
                        let to = self.gateways[gateway].incarnation;
                        let event = Event::GatewaySessionEnds(gateway, to, session);
                        self.transmit(index, gateway, session, Direction::ToGateway, event);
                    }
                }
                AgentEffect::Command(command) => {
                    self.tokens[index] = self.tokens[index].max(command.token.0);
                    self.give_command(index, incarnation, Box::new(command));
                }
                AgentEffect::StoreRecord(record) => {
                    self.records[index] = Some(record.registration);
                }
                AgentEffect::Stopped => {
                    self.kill_agent(index);
                    let (token, away) = (TokenStart::WallClock, self.agents_away[index]);
                    self.schedule(self.now + away, Event::AgentStarts(index, token, true));
                }
                AgentEffect::Decided(decision) => {
                    self.note(|| format!("agent-{index}: {decision:?}"));
                }
                _ => {}
            }
        }
    }

    fn gateway_event(&mut self, index: usize, event: GatewayEvent) {
        let gateway = &mut self.gateways[index];
        if !gateway.is_up {
            return;
        }
        let clock = gateway.clock(self.now);
        let mut effects = Vec::new();
        gateway.machine.handle(clock, event, &mut effects);
        gateway.machine.flush(clock, &mut effects);
        let wakeup = gateway.machine.next_wakeup();
        if let Some(at) = gateway.wake_sooner(clock, wakeup) {
            self.schedule(at, Event::WakeGateway(index));
        }
        for effect in effects {
            match effect {
                GatewayEffect::ToAgent { session, message } => {
                    let Some(agent) = self.gateways[index].sessions.get(&session).copied() else {
                        continue;
                    };
                    let to = self.agents[agent].incarnation;
                    let event = Event::ToAgent(agent, to, session, Box::new(message));
                    self.transmit(agent, index, session, Direction::ToAgent, event);
                }
                GatewayEffect::Close(session) => {
                    if let Some(agent) = self.gateways[index].sessions.remove(&session) {
                        let to = self.agents[agent].incarnation;
                        let event = Event::AgentSessionEnds(agent, to, session);
                        self.transmit(agent, index, session, Direction::ToAgent, event);
                    }
                }
                GatewayEffect::Answer { call, answer } => self.on_answer(index, call, answer),
                GatewayEffect::Stopped => self.kill_gateway(index, self.gateways_away[index]),
                GatewayEffect::Decided(decision) => {
                    self.note(|| format!("gateway-{index}: {decision:?}"));
                }
                _ => {}
            }
        }
    }

    /// Sends something over a session: in order, after the latency or when the link recovers.
    fn transmit(
        &mut self,
        agent: usize,
        gateway: usize,
        session: SessionId,
        direction: Direction,
        event: Event,
    ) {
        let link = self.links[agent][gateway][direction as usize];
        if self.now < link.lossy_until {
            self.broken.insert((session, direction));
        }
        if self.broken.contains(&(session, direction)) {
            return;
        }
        let at = self.now.max(link.held_until) + LATENCY;
        self.schedule(at, event);
    }

    /// Closes a session; both sides notice.
    fn close_session(&mut self, agent: usize, gateway: usize, session: SessionId) {
        let at = self.now + CLOSE_NOTICE;
        let of = self.agents[agent].incarnation;
        self.schedule(at, Event::AgentSessionEnds(agent, of, session));
        let of = self.gateways[gateway].incarnation;
        self.schedule(at, Event::GatewaySessionEnds(gateway, of, session));
    }

    /// The open session between an agent and a gateway, as either side knows it.
    fn session(&self, agent: usize, gateway: usize) -> Option<SessionId> {
        let sessions = &self.agents[agent].sessions;
        let session = sessions.iter().find(|(_, to)| **to == gateway);
        session.map(|(session, _)| *session)
    }

    fn dial(&mut self, index: usize) {
        self.schedule(self.now + REDIAL, Event::Dial(index));
        if !self.agents[index].is_up {
            return;
        }
        for gateway in 0..NODES {
            let is_blocked = self.severed_until[index][gateway] > self.now
                || self.links[index][gateway]
                    .iter()
                    .any(|link| link.held_until > self.now);
            if is_blocked || self.session(index, gateway).is_some() {
                continue;
            }
            let other = &self.gateways[gateway];
            if other.is_up && other.frozen_until <= self.now {
                self.connect(index, gateway);
            } else if self.refusing_gateways[gateway]
                && let Some(gateway) = self.last_gateways[index][gateway].take()
            {
                self.agent_event(index, AgentEvent::GatewayEnded { gateway });
            }
        }
    }

    fn connect(&mut self, index: usize, gateway: usize) {
        let session = SessionId(self.fresh());
        let remote = Remote {
            name: format!("agent-{index}"),
            incarnation: self.agents[index].incarnation,
            uptime: Span(self.now - self.agents[index].started),
        };
        let to = self.gateways[gateway].incarnation;
        self.last_gateways[index][gateway] = Some(to);
        self.agents[index].sessions.insert(session, gateway);
        self.gateways[gateway].sessions.insert(session, index);
        self.note(|| {
            format!(
                "session {} opens, agent-{index} to gateway-{gateway}",
                session.0
            )
        });
        self.gateway_event(gateway, GatewayEvent::AgentOpened { session, remote });
        let opened = AgentEvent::Opened {
            session,
            gateway: to,
        };
        self.agent_event(index, opened);
    }

    /// Records which gateway orders the runs in a message.
    fn record_owner(&mut self, agent: usize, session: SessionId, message: &ToAgent) {
        let gateway = self.agents[agent].sessions.get(&session).copied();
        if let (ToAgentBody::Start(batch), Some(gateway)) = (&message.body, gateway) {
            for (index, run) in &batch.tasks {
                let task = TaskId {
                    job: batch.job,
                    repetition: 0,
                    step: batch.step,
                    index: *index,
                };
                self.owners
                    .insert((agent, RunId { task, run: *run }), gateway);
            }
        }
    }

    /// The gateway that ordered a run at an agent.
    pub fn owner(&self, agent: usize, run: RunId) -> usize {
        self.owners
            .get(&(agent, run))
            .copied()
            .unwrap_or(usize::MAX)
    }

    /// Records that a run has started, and judges it.
    pub fn run_started(&mut self, worker: usize, run: RunId) {
        // What is due at the same time ends first.
        for other in (0..NODES).filter(|other| *other != worker) {
            self.settle(other);
        }
        let started = OrderedRun {
            worker,
            gateway: self.owner(worker, run),
            run,
            started: self.now,
        };
        self.note(|| {
            format!(
                "WORKER-{worker} STARTS run {} of gateway-{}",
                run.run.0, started.gateway
            )
        });
        if let Some(earlier) = self.running.first() {
            let runs = [earlier.clone(), started.clone()];
            let (at, submissions) = (self.now, self.submissions);
            self.note(|| "TWO RUNS AT THE SAME TIME".into());
            self.overlap = Some(Overlap {
                at,
                runs,
                submissions,
            });
        }
        self.running.push(started);
    }

    /// What a worker reports of itself.
    pub fn registration(&self, worker: usize) -> Registration {
        let state = &self.workers[worker];
        Registration {
            incarnation: state.worker_incarnation(),
            service: nodes::SERVICE.into(),
            capacity: Resources {
                cpu_millis: CPU_MILLIS,
                memory_mib: 0,
                gpus: 0,
            },
            labels: Vec::new(),
            clock: state.clock(self.now),
            draining: state.draining,
            sequence: state.sequence(self.now),
        }
    }

    fn register(&mut self, worker: usize, registration: Registration) {
        let incarnation = self.agents[worker].incarnation;
        let event = Box::new(AgentEvent::Registered(registration));
        self.schedule(self.now, Event::AgentInput(worker, incarnation, event));
    }

    fn start_worker(&mut self, worker: usize) {
        if self.workers[worker].life != 0 {
            return;
        }
        let life = self.fresh();
        self.workers[worker].begin(self.now, life);
        self.refuses[worker] = None;
        self.note(|| format!("worker-{worker} starts as {life}"));
        self.schedule(self.now, Event::Heartbeat(worker, life));
    }

    fn end_worker(&mut self, worker: usize) {
        if self.workers[worker].life == 0 {
            return;
        }
        self.ended_registrations[worker] = Some(self.registration(worker));
        self.break_watch(worker);
        self.workers[worker].crash();
        self.running.retain(|run| run.worker != worker);
        self.note(|| format!("worker-{worker}'s process ends, with all that runs there"));
    }

    fn start_gateway(&mut self, index: usize) {
        if self.gateways[index].is_up {
            return;
        }
        let incarnation = self.fresh();
        self.gateways[index] = Process::begin(nodes::gateway(index), incarnation, self.now);
        self.refusing_gateways[index] = false;
        self.note(|| format!("gateway-{index} starts"));
        let read_at = self.now + CONFIGURATION_DELAY;
        self.schedule(
            read_at,
            Event::Configuration(index, Incarnation(incarnation)),
        );
    }

    fn start_agent(&mut self, index: usize, token: TokenStart, has_record: bool) {
        if self.agents[index].is_up {
            return;
        }
        let wall_clock = UNIX_MILLIS + self.now / 1_000;
        let floor = match token {
            TokenStart::WallClock => wall_clock,
            TokenStart::SetBack => wall_clock - SET_BACK_MILLIS,
            // The first incarnation that an agent follows gets the floor and one.
            TokenStart::Equal => self.tokens[index] - 1,
        };
        let incarnation = self.fresh();
        let machine = self.agent(index, floor);
        self.agents[index] = Process::begin(machine, incarnation, self.now);
        self.note(|| format!("agent-{index} starts"));
        if let Some(registration) = self.records[index].clone().filter(|_| has_record) {
            let event = Box::new(AgentEvent::RecordLoaded(registration));
            let at = self.now + RECORD_DELAY;
            self.schedule(
                at,
                Event::AgentInput(index, Incarnation(incarnation), event),
            );
        }
    }

    fn submit(&mut self) {
        if self.is_caller_done || self.submissions >= MAX_SUBMISSIONS {
            return;
        }
        // The first submission goes to the first gateway, later ones to the other that is up.
        let first = usize::from(self.submissions > 0 && !self.setup.has_same_gateway);
        let gateway = if self.gateways[first].is_up {
            first
        } else {
            1 - first
        };
        self.submissions += 1;
        let number = CallNumber(self.submissions);
        let incarnation = self.gateways[gateway].incarnation;
        self.note(|| format!("caller submits the job to gateway-{gateway}"));
        if !self.gateways[gateway].is_up {
            self.call = None;
            self.schedule(self.now + CALLER_RETRY_DELAY.0, Event::Submit);
            return;
        }
        self.call = Some(Call {
            number,
            gateway,
            incarnation,
        });
        let time_left = Span(self.deadline);
        let submission = Event::Submission(gateway, incarnation, number, time_left);
        self.schedule(self.now + LATENCY, submission);
        self.schedule(self.now + self.deadline, Event::DeadlinePasses(number));
    }

    /// The caller's connection breaks; it submits the job again later.
    fn break_call(&mut self, notice: Option<Micros>) {
        let Some(call) = self.call.take() else {
            return;
        };
        if let Some(notice) = notice {
            let event = Event::Disconnect(call.gateway, call.incarnation, call.number);
            self.schedule(self.now + notice + LATENCY, event);
        }
        self.schedule(self.now + CALLER_RETRY_DELAY.0, Event::Submit);
    }

    fn on_answer(&mut self, gateway: usize, call: CallNumber, answer: Answer) {
        if self.call.as_ref().is_none_or(|open| open.number != call) {
            return;
        }
        self.note(|| format!("gateway-{gateway} answers the caller: {answer:?}"));
        self.call = None;
        if answer == Answer::GivenUp {
            self.schedule(self.now + CALLER_RETRY_DELAY.0, Event::Submit);
        } else {
            self.is_caller_done = true;
        }
    }

    fn begin_fault(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::Delay(agent, gateway, direction, micros) => {
                self.links[agent][gateway][direction as usize].held_until = now + micros;
            }
            Fault::Loss(agent, gateway, direction, micros) => {
                self.links[agent][gateway][direction as usize].lossy_until = now + micros;
                if let Some(session) = self.session(agent, gateway) {
                    self.schedule(now + micros, Event::LossEnds(agent, gateway, session));
                }
            }
            Fault::Silent(agent, gateway) => {
                if let Some(session) = self.session(agent, gateway) {
                    self.broken.insert((session, Direction::ToAgent));
                    self.broken.insert((session, Direction::ToGateway));
                    self.schedule(now + USER_TIMEOUT, Event::LossEnds(agent, gateway, session));
                }
            }
            Fault::GatewayStops(index, micros) => {
                self.gateways_away[index] = micros;
                self.schedule(
                    now,
                    Event::GatewayStop(index, self.gateways[index].incarnation),
                );
            }
            Fault::AgentStops(index, micros) => {
                self.agents_away[index] = micros;
                let incarnation = self.agents[index].incarnation;
                let event = Box::new(AgentEvent::Stop);
                self.schedule(now, Event::AgentInput(index, incarnation, event));
            }
            Fault::Severed(agent, gateway, micros) => {
                self.severed_until[agent][gateway] = now + micros;
                if let Some(session) = self.session(agent, gateway) {
                    self.broken.insert((session, Direction::ToAgent));
                    self.broken.insert((session, Direction::ToGateway));
                    self.close_session(agent, gateway, session);
                }
            }
            Fault::AgentCut(agent, micros) => {
                for link in self.links[agent].iter_mut().flatten() {
                    link.held_until = now + micros;
                }
            }
            Fault::GatewayFrozen(index, micros) => self.gateways[index].freeze(now + micros),
            Fault::AgentFrozen(index, micros) => self.agents[index].freeze(now + micros),
            Fault::GatewayKilled(index, micros) => self.kill_gateway(index, micros),
            Fault::AgentKilled(index, micros, token, has_record) => {
                self.kill_agent(index);
                self.schedule(now + micros, Event::AgentStarts(index, token, has_record));
            }
            Fault::AnswerLost(..)
            | Fault::CommandLost(..)
            | Fault::CarriedOutLate(..)
            | Fault::HeldInAgent(..) => self.armed.push(Armed::new(fault)),
            Fault::RefusesUnannounced(worker, micros, keeps_watches) => {
                self.refuse_connections(worker, micros, keeps_watches);
            }
            Fault::RefusesAnnounced(worker, micros) => {
                self.workers[worker].draining = true;
                let registration = self.registration(worker);
                self.register(worker, registration);
                self.refuse_connections(worker, micros, false);
            }
            Fault::WorkerRestarts(worker, micros, keeps_id) => {
                self.workers[worker].keeps_id = keeps_id;
                self.end_worker(worker);
                self.schedule(now + micros, Event::WorkerStarts(worker));
            }
            Fault::OldHeartbeat(worker) => {
                if let Some(registration) = self.ended_registrations[worker].clone() {
                    self.register(worker, registration);
                }
            }
            Fault::Ignores(worker, command, micros) => {
                self.ignores[worker].insert(command.name(), now + micros);
            }
            Fault::StandsStill(worker) => {
                self.workers[worker].stand_still();
                self.settles_at[worker] = Micros::MAX;
                self.settle(worker);
            }
            Fault::ClockRate(..) | Fault::Deadline(_) => {}
            Fault::CallerBreaks(notice) => {
                if self.call.is_some() {
                    self.break_call(notice);
                }
            }
            Fault::SlowDriver(index, input, micros) => {
                self.slow_gateways[index][input as usize] = micros;
            }
            Fault::SlowAgentDriver(index, input, micros) => {
                self.slow_agents[index][input as usize] = micros;
            }
        }
    }

    fn refuse_connections(&mut self, worker: usize, micros: Micros, keeps_watches: bool) {
        self.refuses[worker] = Some(!keeps_watches);
        if !keeps_watches {
            self.break_watch(worker);
        }
        let life = self.workers[worker].life;
        self.schedule(self.now + micros, Event::WorkerEnds(worker, life));
    }

    fn kill_gateway(&mut self, index: usize, away: Micros) {
        if !self.gateways[index].is_up {
            return;
        }
        self.gateways[index].is_up = false;
        self.refusing_gateways[index] = true;
        for (session, agent) in std::mem::take(&mut self.gateways[index].sessions) {
            let of = self.agents[agent].incarnation;
            let at = self.now + CLOSE_NOTICE;
            self.schedule(at, Event::AgentSessionEnds(agent, of, session));
        }
        if self.call.as_ref().is_some_and(|call| call.gateway == index) {
            self.break_call(None);
        }
        self.schedule(self.now + away, Event::GatewayStarts(index));
    }

    fn kill_agent(&mut self, index: usize) {
        if !self.agents[index].is_up {
            return;
        }
        self.agents[index].is_up = false;
        self.watches[index] = None;
        for (session, gateway) in std::mem::take(&mut self.agents[index].sessions) {
            let of = self.gateways[gateway].incarnation;
            let at = self.now + CLOSE_NOTICE;
            self.schedule(at, Event::GatewaySessionEnds(gateway, of, session));
        }
    }
}

fn request(id: JobId, tasks: usize, estimate: Micros, time_left: Span) -> JobRequest {
    JobRequest {
        id,
        queue: Arc::new(nodes::queue(0)),
        input: "input".into(),
        steps: vec![StepRequest {
            count: u32::try_from(tasks).unwrap_or(1),
            resources: Resources {
                cpu_millis: CPU_MILLIS,
                memory_mib: 0,
                gpus: 0,
            },
            estimate: Span(estimate),
            after: Vec::new(),
            label: None,
            near: None,
        }],
        time_left,
        unsupported: Vec::new(),
    }
}
