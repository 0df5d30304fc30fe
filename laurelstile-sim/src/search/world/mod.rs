//! A deterministic world of two gateways, two agents with a worker each, and one job of one task.

mod caller;
mod faulting;
mod inputs;
mod links;
mod processes;
mod workers;

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use laurelstile_core::leased::agent::worker::{IncarnationRecord, Registration};
use laurelstile_core::leased::agent::{AgentEvent, LeasedAgent, WorkerCommand};
use laurelstile_core::leased::gateway::LeasedGateway;
use laurelstile_core::leased::gateway::job::CallNumber;
use laurelstile_core::leased::messages::{FromAgent, ToAgent};
use laurelstile_core::leased::task::{JobId, RunId};
use laurelstile_core::session::{Remote, SessionId};
use laurelstile_types::id::Incarnation;
use laurelstile_types::time::Span;

use super::commands::{Armed, Delivery, PendingWatch};
use super::fault::{Direction, Fault, Micros, ScheduledFault, TokenStart};
use super::scheduled::Scheduled;
use crate::leased::nodes::{self, Deployment, Process};
use crate::leased::worker::{SimWorker, UNIX_MILLIS};
use caller::Call;
pub use workers::{OrderedRun, Overlap};

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
/// How late both sides notice that a connection was closed.
const CLOSE_NOTICE: Micros = 1_000;
/// The caller's deadline unless a fault sets another.
const DEADLINE: Micros = 10_000_000;
/// Longest time that a stop takes at a worker.
const STOP_TIME: Micros = 50_000;
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
    /// The handshake of a session reaches its gateway late.
    GatewaySessionOpens(usize, Incarnation, SessionId, Remote),
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
    records: Vec<Option<IncarnationRecord>>,
    links: [[[Link; 2]; NODES]; NODES],
    severed_until: [[Micros; NODES]; NODES],
    broken: BTreeSet<(SessionId, Direction)>,
    /// When the handshakes of sessions reach their gateways that do so late.
    opens_at: BTreeMap<SessionId, Micros>,
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
            opens_at: BTreeMap::new(),
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
            let gateway = Process::begin(
                nodes::gateway(index, incarnation, &Deployment::default()),
                incarnation,
                0,
            );
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
}
