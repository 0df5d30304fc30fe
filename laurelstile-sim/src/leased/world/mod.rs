//! The emulated world: its queue of happenings, its links, its callers.

mod callers;
pub mod commands;
mod faulting;
pub mod handshakes;
mod heartbeats;
mod isolation;
mod leaving;
mod links;
mod old_statements;
pub mod partial_cuts;
mod peering;
mod processes;
mod session_faults;
pub mod timed_faults;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use laurelstile_core::leased::agent::worker::{IncarnationRecord, Registration};
use laurelstile_core::leased::agent::{AgentEvent, LeasedAgent, WorkerCommand};
use laurelstile_core::leased::evacuation::Evacuations;
use laurelstile_core::leased::gateway::job::{CallNumber, JobRequest};
use laurelstile_core::leased::gateway::{GatewayEvent, LeasedGateway};
use laurelstile_core::leased::input::JobInput;
use laurelstile_core::leased::messages::{FromAgent, FromAgentBody, ToAgent, ToAgentBody, ToPeer};
use laurelstile_core::leased::task::{JobId, RunId, TaskId};
use laurelstile_core::leased::worker_incarnation::WorkerIncarnation;
use laurelstile_core::session::{Remote, SessionId};
use laurelstile_history::leased::{Life, Record, Seen, StartOrder};
use laurelstile_types::id::Incarnation;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use commands::CommandFaults;
use handshakes::Handshakes;
use links::ThinLinks;
use old_statements::HeldNews;
use partial_cuts::PartialCuts;
use session_faults::Refusal;
use timed_faults::TimedFaults;

use super::faults::{Sabotage, ScheduledFault};
use super::nodes::{self, Deployment, Process};
use super::orders::Delivery;
use super::worker::{RunPlan, SimWorker};

/// After so long a link that is cut ends its session.
const USER_TIMEOUT: u64 = 2_000_000;
/// Interval of workers' heartbeats.
const HEARTBEAT: u64 = 1_500_000;
/// Stream of the latencies of claims.
const CLAIM_STREAM: u64 = 0xc1a1;
const CONFIRMATION_STREAM: u64 = 0xc0f1;
/// Pause before a caller hands in again after a broken connection.
pub const RESEND: u64 = 1_300_000;
/// How long a killed process stays away.
const RESTART: u64 = 300_000;
/// How long a process has for a planned stop.
const GRACE: u64 = 6_000_000;
/// How long most callers wait for an answer.
pub const DEADLINE: u64 = 5_000_000;

/// A job that a caller will hand in.
#[derive(Clone, Debug)]
pub struct SimJob {
    /// When.
    pub at: u64,
    /// Number of tasks.
    pub tasks: u32,
    /// How long each takes, in microseconds.
    pub duration: u64,
    /// Its queue.
    pub queue: usize,
    /// How long after its coming its caller cancels it, if ever, in microseconds.
    pub cancelled_after: Option<u64>,
    /// Number of its steps, which follow each other.
    pub steps: usize,
    /// How long its caller waits for the answer, in microseconds.
    pub patience: u64,
    /// Index of the task that takes each worker down that starts it, if one does.
    pub crashing: Option<u32>,
    /// The kind of worker that it requires, if any.
    pub kind: Option<u64>,
}

/// Calls that cancel the job of a caller have its number and this.
const FIRST_CANCEL: u64 = 1 << 32;
/// Calls of a caller after ones that their gateways may still hold are this far apart.
const FORMER_CALL: u64 = 1 << 33;

/// What is traced of sessions.
const SESSION_EVENTS: [&str; 7] = [
    "SessionOpens",
    "SessionEnds",
    "SessionAccepted",
    "SessionSilent",
    "LateHandshake",
    "Close(",
    "Snapshot(",
];

/// Room that every task needs, in thousandths of a core.
pub const TASK_ROOM: u32 = 1_000;

/// Something that happens at a point in time.
#[derive(Debug)]
pub enum Happening {
    /// A gateway looks at the time.
    WakeGateway(usize),
    /// An agent looks at the time.
    WakeAgent(usize),
    /// A message reaches an agent.
    ToAgent(usize, Incarnation, SessionId, ToAgent),
    /// A message reaches a gateway.
    ToGateway(usize, Incarnation, SessionId, FromAgent),
    /// A message reaches a gateway from a peer.
    ToPeer(usize, SessionId, Box<ToPeer>),
    /// A gateway notices the end of a session to a peer.
    PeerSessionEnds(usize, SessionId),
    /// A gateway that was cut off opens sessions to the others.
    PeersReturn(usize),
    /// An agent notices the end of a session.
    AgentSessionEnds(usize, Incarnation, SessionId),
    /// A gateway notices the end of a session.
    GatewaySessionEnds(usize, Incarnation, SessionId),
    /// A gateway opens a session whose handshake was delayed.
    GatewaySessionOpens(usize, Incarnation, SessionId, Remote),
    /// An agent opens a session whose handshake was delayed.
    AgentSessionOpens(usize, Incarnation, SessionId, Incarnation),
    /// An agent dials.
    Dial(usize),
    /// An order reaches a worker.
    OrderArrives(usize, Incarnation, WorkerCommand, Delivery),
    /// An answer, or the lack of one, reaches an agent.
    OrderAnswered(usize, Incarnation, Box<AgentEvent>),
    /// A worker may end something.
    Settle(usize),
    /// A worker answers a watch that has waited long enough.
    WatchOver(usize, u64),
    /// A worker sends a heartbeat.
    Heartbeat(usize, u64),
    /// A heartbeat reaches an agent that has stood still meanwhile.
    RepeatHeartbeat(usize, u64),
    /// A caller hands a job in.
    Submit(usize),
    /// A caller's request reaches its gateway.
    Request(usize, Incarnation, CallNumber, Box<JobRequest>),
    /// A gateway notices that the connection of a call has broken.
    CallerGone(usize, Incarnation, CallNumber),
    /// A caller cancels its job, at any gateway.
    Cancel(usize),
    /// A caller has waited long enough.
    Leave(usize),
    /// A fault begins.
    Fault(usize),
    /// A fault begins that an event has drawn.
    TimedFault(ScheduledFault),
    /// A fault ends.
    FaultEnds(usize),
    /// A process begins anew.
    RestartGateway(usize),
    /// A process begins anew.
    RestartAgent(usize),
    /// A process is killed at the end of its grace.
    GraceEnds(usize, Incarnation),
    /// A worker begins a new life.
    WorkerBegins(usize),
    /// A life of a worker that leaves deregisters.
    Deregisters(usize, Life),
    /// A life of a worker that has deregistered ends.
    WorkerLeaves(usize, Life),
    /// The successor of a life of a worker starts; the life itself ends at this time.
    Succeeds(usize, Life, u64),
    /// A life of a worker that has a successor may end something.
    SettleSucceeded(usize, Life),
    /// The store takes records of an agent again.
    StoreReturns(usize),
    /// The heartbeat of a worker arrives that was held up.
    HeldHeartbeatArrives(usize),
    /// A worker starts again under its id, and sends its first heartbeat after so many microseconds.
    WorkerReturns(usize, u64),
    /// A gateway reads a version of the configuration.
    ReadConfiguration(usize, u64),
    /// A gateway reads which zones are evacuated.
    ReadEvacuations(usize),
    /// A gateway that is to hear of that late hears of it now if no other in service has.
    ReadIfAlone(usize),
}

/// A caller and its job.
#[derive(Debug)]
struct Caller {
    job: SimJob,
    /// The gateway that has the call, with its incarnation.
    gateway: Option<(usize, Incarnation)>,
    /// Calls before whose connections have broken while their gateways ran on.
    former_calls: u64,
    /// The gateway that it does not call again, if there is another.
    avoids: Option<usize>,
    is_over: bool,
}

/// A watch that a worker has not answered.
#[derive(Debug)]
pub struct PendingWatch {
    /// Number, new for each.
    pub number: u64,
    /// The agent's incarnation.
    pub agent: Incarnation,
    /// The life that it asked.
    pub incarnation: WorkerIncarnation,
    /// How long its answer takes, in microseconds.
    pub answer_delay: u64,
}

/// The world.
pub struct World {
    /// Now, in microseconds.
    pub now: u64,
    /// Random choices.
    pub random: Pcg64,
    /// Draws the latencies of claims, which are sent for some jobs only: other draws of a seed do not
    /// depend on them.
    claim_random: Pcg64,
    /// Draws the latencies of confirmations of cancellations, likewise.
    confirmation_random: Pcg64,
    /// A mechanism that is switched off.
    pub sabotage: Option<Sabotage>,
    /// Agents; each stands beside the worker of the same index.
    pub agents: Vec<Process<LeasedAgent>>,
    /// Workers.
    pub workers: Vec<SimWorker>,
    /// Watches that wait at workers.
    pub watches: Vec<Option<PendingWatch>>,
    /// Whether a look for ends is scheduled at each worker.
    pub settles: Vec<bool>,
    /// What agents have recorded of their workers.
    pub recorded: Vec<Option<IncarnationRecord>>,
    /// What keeps news of each worker back.
    held_news: Vec<HeldNews>,
    /// Workers that run on beside their successors, by life, and when they end.
    succeeded: BTreeMap<Life, (SimWorker, u64)>,
    /// What the last life of each worker that has ended said of itself.
    ended_lives: Vec<Option<Registration>>,
    /// The life of each worker that waits for the answer to its deregistration.
    deregistering: Vec<Option<Life>>,
    /// Until when orders are lost or late.
    pub late_orders_until: u64,
    /// What befalls the commands to each worker.
    pub command_faults: Vec<CommandFaults>,
    /// Whether agents send few commands at once.
    pub limits_commands: bool,
    /// Whether a worker that has ended refuses connections. Otherwise another process answers in its
    /// place at once, unless workers keep their ids.
    pub dead_workers_refuse: bool,
    /// Gateways that refuse dials, by agent and gateway.
    refusals: BTreeMap<(usize, usize), Refusal>,
    /// Until when the handshakes of an agent are delayed.
    handshakes_delayed_until: BTreeMap<usize, u64>,
    /// Handshakes that take time step by step, if they do.
    pub handshakes: Option<Handshakes>,
    /// When gateways handle sessions whose handshakes are delayed.
    opening: BTreeMap<SessionId, u64>,
    /// The life of each worker that refuses connections.
    pub shut: Vec<Option<Life>>,
    /// How far each agent's wall clock is behind, in milliseconds.
    clocks_back: Vec<u64>,
    /// Events after which faults follow, if there are any.
    pub timed_faults: Option<TimedFaults>,
    /// How long a call waits for its answer, if that is less than the caller does; a caller
    /// submits again after such an answer.
    pub call_limit: Option<u64>,
    /// What was seen.
    pub records: Vec<Record>,
    gateways: Vec<Process<LeasedGateway>>,
    callers: Vec<Caller>,
    faults: Vec<ScheduledFault>,
    cuts: BTreeMap<(usize, usize), u64>,
    /// Gateways that are cut off from all agents and other gateways, and until when.
    isolated: BTreeMap<usize, u64>,
    /// Cuts of single links, if there are any.
    pub partial_cuts: Option<PartialCuts>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    happenings: BTreeMap<u64, Happening>,
    sequence: u64,
    last_delivery: BTreeMap<(SessionId, bool), u64>,
    version: u64,
    evacuations: Evacuations,
    /// Whether gateways have sessions to each other, and between which two each is.
    has_peers: bool,
    peers: BTreeMap<SessionId, [usize; 2]>,
    /// The job whose events are printed.
    traced: Option<JobId>,
    /// The latest order to start each run at each agent.
    start_orders: BTreeMap<(usize, RunId), StartOrder>,
    /// The links of the gateways, if they are thin.
    thin_links: Option<ThinLinks>,
    /// Input of every job.
    input: JobInput,
    /// Policies of the gateways and priorities of the queues.
    deployment: Deployment,
}

impl World {
    /// A world that begins now.
    pub fn new(
        random: Pcg64,
        sabotage: Option<Sabotage>,
        gateways: usize,
        workers: Vec<SimWorker>,
        jobs: Vec<SimJob>,
        faults: Vec<ScheduledFault>,
    ) -> Self {
        let command_faults = workers.iter().map(|_| CommandFaults::default()).collect();
        let mut world = Self {
            now: 0,
            claim_random: Pcg64::seed_from_u64(CLAIM_STREAM),
            confirmation_random: Pcg64::seed_from_u64(CONFIRMATION_STREAM),
            random,
            sabotage,
            agents: Vec::new(),
            watches: workers.iter().map(|_| None).collect(),
            settles: vec![false; workers.len()],
            recorded: vec![None; workers.len()],
            held_news: workers.iter().map(|_| HeldNews::default()).collect(),
            succeeded: BTreeMap::new(),
            ended_lives: vec![None; workers.len()],
            deregistering: vec![None; workers.len()],
            evacuations: Evacuations::default(),
            has_peers: false,
            peers: BTreeMap::new(),
            traced: None,
            start_orders: BTreeMap::new(),
            thin_links: None,
            input: "input".into(),
            deployment: Deployment::default(),
            late_orders_until: 0,
            command_faults,
            limits_commands: false,
            dead_workers_refuse: false,
            refusals: BTreeMap::new(),
            handshakes_delayed_until: BTreeMap::new(),
            handshakes: None,
            opening: BTreeMap::new(),
            shut: vec![None; workers.len()],
            clocks_back: vec![0; workers.len()],
            timed_faults: None,
            call_limit: None,
            workers,
            records: Vec::new(),
            gateways: Vec::new(),
            callers: Vec::new(),
            faults,
            cuts: BTreeMap::new(),
            isolated: BTreeMap::new(),
            partial_cuts: None,
            queue: BinaryHeap::new(),
            happenings: BTreeMap::new(),
            sequence: 0,
            last_delivery: BTreeMap::new(),
            version: 1,
        };
        for index in 0..gateways {
            let incarnation = world.fresh();
            let machine = nodes::gateway(index, incarnation, &world.deployment);
            let process = Process::begin(machine, incarnation, 0);
            world.gateways.push(process);
            world.schedule(10_000, Happening::ReadConfiguration(index, 1));
        }
        for index in 0..world.workers.len() {
            let process = Process::begin(nodes::agent(index, 0, 0), world.fresh(), 0);
            world.agents.push(process);
            world.schedule(1_000, Happening::WorkerBegins(index));
            world.schedule(2_000, Happening::Dial(index));
        }
        for (index, job) in jobs.into_iter().enumerate() {
            world.schedule(job.at, Happening::Submit(index));
            if let Some(after) = job.cancelled_after {
                world.schedule(job.at + after, Happening::Cancel(index));
            }
            world.callers.push(Caller {
                job,
                gateway: None,
                former_calls: 0,
                avoids: None,
                is_over: false,
            });
        }
        for index in 0..world.faults.len() {
            let at = world.faults[index].at;
            world.schedule(at, Happening::Fault(index));
        }
        world
    }

    /// Gives the gateways policies and the queues priorities, before the world runs.
    pub fn deploy(&mut self, deployment: Deployment) {
        self.deployment = deployment;
        for (index, process) in self.gateways.iter_mut().enumerate() {
            let incarnation = process.incarnation.0;
            process.machine = nodes::gateway(index, incarnation, &deployment);
        }
    }

    /// Gives each gateway's link a rate, in bytes a second each way, and every job an
    /// input that takes room there.
    pub fn thin_links(&mut self, rate: u64, input: JobInput) {
        self.thin_links = Some(ThinLinks::new(rate, self.gateways.len()));
        self.input = input;
    }

    /// Runs until `end`.
    pub fn run(&mut self, end: u64) {
        while let Some(Reverse((at, sequence))) = self.queue.pop() {
            if at > end {
                return;
            }
            self.now = at;
            if let Some(happening) = self.happenings.remove(&sequence) {
                self.happen(happening);
            }
        }
    }

    /// Workers that are up, do not drain and run nothing, but are not available.
    pub fn unused_workers(&self) -> Vec<usize> {
        (0..self.workers.len())
            .filter(|index| {
                let worker = &self.workers[*index];
                let is_well = worker.life != 0 && !worker.draining && !worker.is_busy();
                let agent = &self.agents[*index];
                is_well && agent.is_up && !agent.machine.is_available(agent.clock(self.now))
            })
            .collect()
    }

    /// Schedules a happening at a point in time.
    pub fn schedule(&mut self, at: u64, happening: Happening) {
        self.sequence += 1;
        self.queue.push(Reverse((at.max(self.now), self.sequence)));
        self.happenings.insert(self.sequence, happening);
    }

    /// A number that is new in this world.
    pub fn fresh(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Prints from now on what happens to a job.
    pub fn trace(&mut self, job: u64) {
        self.traced = Some(JobId(job));
    }

    /// Prints what concerns the traced job, if there is one.
    pub(super) fn trace_line<T: std::fmt::Debug>(&self, place: impl Fn() -> String, what: &T) {
        let Some(job) = self.traced else {
            return;
        };
        let text = format!("{what:?}");
        let is_list = text.contains("Watched");
        let is_of_zones = text.contains("Evacuations");
        let mut of_sessions = SESSION_EVENTS.iter();
        let is_of_session = of_sessions.any(|event| text.contains(event));
        if is_of_zones || is_of_session || !is_list && text.contains(&format!("{job:?}")) {
            println!("{:>12} us  {}  {text}", self.now, place());
        }
    }

    /// Records something seen.
    pub fn see(&mut self, seen: Seen) {
        self.records.push(Record { at: self.now, seen });
    }

    fn happen(&mut self, happening: Happening) {
        if let Some(thaw) = self.thaw_of(&happening) {
            self.schedule(thaw, happening);
            return;
        }
        self.work_on(&happening);
        if self.traced.is_some() {
            self.trace_line(|| "->".into(), &happening);
        }
        match happening {
            // A wake-up that was replaced by an earlier one is void.
            Happening::WakeGateway(index) => {
                if self.gateways[index].wakes_at <= self.now {
                    self.gateways[index].wakes_at = u64::MAX;
                    self.gateway_event(index, GatewayEvent::Tick);
                }
            }
            Happening::WakeAgent(index) => {
                if self.agents[index].wakes_at <= self.now {
                    self.agents[index].wakes_at = u64::MAX;
                    self.agent_event(index, AgentEvent::Tick);
                }
            }
            Happening::ToAgent(index, incarnation, session, mut message) => {
                let process = &self.agents[index];
                let is_open = process.sessions.contains_key(&session);
                if process.incarnation == incarnation && process.is_up && is_open {
                    if self.sabotage == Some(Sabotage::NoOwnerSilence) {
                        message.echo = process.clock(self.now);
                    }
                    if self.sabotage == Some(Sabotage::NoEvacuations)
                        && matches!(message.body, ToAgentBody::Evacuations(_))
                    {
                        message.body = ToAgentBody::Heartbeat;
                    }
                    self.agent_event(index, AgentEvent::Message { session, message });
                }
            }
            Happening::ToGateway(index, incarnation, session, mut message) => {
                if self.sabotage == Some(Sabotage::NoCrashNews)
                    && matches!(message.body, FromAgentBody::Crashes(_))
                {
                    message.body = FromAgentBody::Heartbeat;
                }
                if let FromAgentBody::Snapshot(snapshot) = &mut message.body {
                    match self.sabotage {
                        Some(Sabotage::NoSessionOrder) => snapshot.session = None,
                        Some(Sabotage::NoProcessOrder) => snapshot.control = None,
                        _ => {}
                    }
                }
                let process = &self.gateways[index];
                if process.incarnation == incarnation && process.is_up {
                    self.gateway_event(index, GatewayEvent::AgentMessage { session, message });
                }
            }
            Happening::ToPeer(to, session, message) => self.peer_message(to, session, *message),
            Happening::PeerSessionEnds(index, session) => self.peer_session_ends(index, session),
            Happening::PeersReturn(gateway) => self.peers_return(gateway),
            Happening::AgentSessionEnds(index, incarnation, session) => {
                if self.agents[index].incarnation == incarnation && self.agents[index].is_up {
                    if let Some(handshakes) = &mut self.handshakes {
                        handshakes.forget(session);
                    }
                    self.agents[index].sessions.remove(&session);
                    self.agent_event(index, AgentEvent::Closed { session });
                }
            }
            Happening::GatewaySessionOpens(index, incarnation, session, remote) => {
                self.gateway_session_opens(index, incarnation, session, remote);
            }
            Happening::AgentSessionOpens(index, incarnation, session, gateway) => {
                self.agent_session_opens(index, incarnation, session, gateway);
            }
            Happening::GatewaySessionEnds(index, incarnation, session) => {
                if let Some(opens_at) = self.opens_at(session) {
                    let ends = Happening::GatewaySessionEnds(index, incarnation, session);
                    self.schedule(opens_at + 1, ends);
                    return;
                }
                if self.gateways[index].incarnation == incarnation && self.gateways[index].is_up {
                    self.gateways[index].sessions.remove(&session);
                    self.gateway_event(index, GatewayEvent::AgentClosed { session });
                }
            }
            Happening::Dial(index) => self.dial(index),
            Happening::OrderArrives(worker, agent, order, delivery) => {
                self.order_arrives(worker, agent, &order, delivery);
            }
            Happening::OrderAnswered(index, incarnation, event) => {
                if self.agents[index].incarnation == incarnation && self.agents[index].is_up {
                    self.command_over(index, incarnation, &event);
                    self.agent_event(index, *event);
                }
            }
            Happening::Settle(worker) => {
                self.settles[worker] = false;
                self.settle(worker);
            }
            Happening::WatchOver(worker, number) => self.watch_over(worker, number),
            Happening::Heartbeat(worker, life) => self.heartbeat(worker, life),
            Happening::RepeatHeartbeat(worker, life) => self.repeat_heartbeat(worker, life),
            Happening::Submit(caller) => self.submit(caller),
            Happening::Request(index, incarnation, call, request) => {
                let caller = &self.callers[number_of(call)];
                let is_waited_for = caller.gateway == Some((index, incarnation))
                    && caller.call(number_of(call)) == call;
                if self.gateways[index].incarnation == incarnation && is_waited_for {
                    let request = *request;
                    self.gateway_event(index, GatewayEvent::Submit { call, request });
                }
            }
            Happening::CallerGone(index, incarnation, call) => {
                if self.gateways[index].incarnation == incarnation {
                    self.gateway_event(index, GatewayEvent::CallerDisconnected { call });
                }
            }
            Happening::Cancel(caller) => self.cancel(caller),
            Happening::Leave(caller) => self.leave(caller),
            Happening::Fault(index) => self.fault_begins(self.faults[index]),
            Happening::TimedFault(fault) => self.fault_begins(fault),
            Happening::FaultEnds(index) => self.fault_ends(self.faults[index].fault),
            Happening::RestartGateway(index) => self.restart_gateway(index),
            Happening::RestartAgent(index) => self.restart_agent(index),
            Happening::GraceEnds(index, incarnation) => {
                if self.gateways[index].incarnation == incarnation && self.gateways[index].is_up {
                    self.end_gateway(index, true);
                    self.schedule(self.now + RESTART, Happening::RestartGateway(index));
                }
            }
            Happening::WorkerBegins(worker) => self.begin_worker(worker),
            Happening::StoreReturns(agent) => self.store_returns(agent),
            Happening::HeldHeartbeatArrives(worker) => self.held_heartbeat_arrives(worker),
            Happening::WorkerReturns(worker, unheard) => self.begin_unheard(worker, unheard),
            Happening::Deregisters(worker, life) => self.deregister(worker, life),
            Happening::WorkerLeaves(worker, life) => self.worker_leaves(worker, life),
            Happening::Succeeds(worker, life, end) => self.succeed_worker(worker, life, end),
            Happening::SettleSucceeded(worker, life) => self.settle_succeeded(worker, life),
            Happening::ReadConfiguration(index, version) => {
                let configuration = nodes::configuration(version, &self.deployment);
                self.gateway_event(index, GatewayEvent::Configuration(configuration));
            }
            Happening::ReadIfAlone(index) => {
                if !self.is_evacuation_known() {
                    self.schedule(self.now, Happening::ReadEvacuations(index));
                }
            }
            Happening::ReadEvacuations(index) => {
                let news = GatewayEvent::Evacuations(self.evacuations.clone());
                self.gateway_event(index, news);
            }
        }
    }

    /// When the process that a happening is for goes on, if it stands still or is at work.
    fn thaw_of(&self, happening: &Happening) -> Option<u64> {
        let free_at = match receiver_of(happening)? {
            Receiver::Gateway(index) => {
                let process = &self.gateways[index];
                process.frozen_until.max(process.busy_until)
            }
            Receiver::Agent(index) => {
                let process = &self.agents[index];
                process.frozen_until.max(process.busy_until)
            }
        };
        (free_at > self.now).then_some(free_at)
    }

    /// A slow process takes time for what happens to it.
    fn work_on(&mut self, happening: &Happening) {
        match receiver_of(happening) {
            Some(Receiver::Gateway(index)) => self.gateways[index].work(self.now),
            Some(Receiver::Agent(index)) => self.agents[index].work(self.now),
            None => {}
        }
    }

    /// What a run of a task does.
    pub fn plan_of(&self, task: TaskId) -> RunPlan {
        let index = usize::try_from(task.job.0).unwrap_or(usize::MAX);
        let job = self.callers.get(index).map(|caller| &caller.job);
        RunPlan {
            duration: job.map_or(1_000, |job| job.duration),
            crashes: job.is_some_and(|job| job.crashing == Some(task.index)),
            is_late: false,
        }
    }
}

/// A process that takes inputs in turn.
enum Receiver {
    Gateway(usize),
    Agent(usize),
}

/// The process whose input a happening is, if it is one.
fn receiver_of(happening: &Happening) -> Option<Receiver> {
    match happening {
        Happening::WakeGateway(index)
        | Happening::Request(index, ..)
        | Happening::ToGateway(index, ..)
        | Happening::CallerGone(index, ..)
        | Happening::ToPeer(index, ..)
        | Happening::PeerSessionEnds(index, _)
        | Happening::GatewaySessionOpens(index, ..)
        | Happening::GatewaySessionEnds(index, ..)
        | Happening::ReadConfiguration(index, _)
        | Happening::ReadEvacuations(index) => Some(Receiver::Gateway(*index)),
        Happening::WakeAgent(index)
        | Happening::ToAgent(index, ..)
        | Happening::AgentSessionOpens(index, ..)
        | Happening::AgentSessionEnds(index, ..)
        | Happening::Dial(index)
        | Happening::OrderAnswered(index, ..) => Some(Receiver::Agent(*index)),
        _ => None,
    }
}

/// The caller that a call is of.
fn number_of(call: CallNumber) -> usize {
    usize::try_from(call.0 % FIRST_CANCEL).unwrap_or(usize::MAX)
}

/// Whether a call cancels a job.
fn is_cancel(call: CallNumber) -> bool {
    call.0 & FIRST_CANCEL != 0
}
