//! The world of a fleet: its machines, and what happens to them one after the other.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use laurelstile_core::leased::agent::worker::RunLists;
use laurelstile_core::leased::agent::{
    AgentEffect, AgentEvent, CommandKind, WatchAnswer, WorkerCommand,
};
use laurelstile_core::leased::gateway::{GatewayEffect, GatewayEvent};
use laurelstile_core::leased::membership::page::{Page, record_key};
use laurelstile_core::leased::messages::{FromAgent, Member, ToAgent, ToPeer};
use laurelstile_core::session::SessionId;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use super::link::Way;
use super::machines::{self, Machine, Role};
use super::scenario::FleetSize;
use super::store::Store;
use super::traffic::bytes_of;

/// How often gateways renew their records, in microseconds.
const RENEWAL: u64 = 8_000_000;
/// How long the store takes to answer.
const STORE_ANSWER: u64 = 4_000;
/// How often an agent looks whether its sessions are those that it wants.
const REVIEW: u64 = 500_000;
/// Processes that start together begin over so long.
const START_SPREAD: u64 = 300_000;
/// Seeds that a process is given.
const SEEDS: usize = 3;
/// Interval of workers' heartbeats.
const HEARTBEAT: u64 = 1_500_000;
/// Longest that a gateway's driver sleeps.
const LONGEST_SLEEP: u64 = 500_000;
/// Pause of an agent after an answered watch, if the worker may wait for an end.
const WATCH_PAUSE: u64 = 30_000;

/// Something that happens at a point in time to a life of a machine's process.
#[derive(Debug)]
pub enum Happening {
    /// It begins.
    Begin,
    /// It looks at the time.
    Wake,
    /// It dials a machine.
    Dial(usize),
    /// A hello has reached it: from which machine and life, and which attempt of its dial.
    HelloArrives(usize, u64, u64),
    /// A hello is answered: by which machine and life, and the attempt.
    HelloAnswered(usize, u64, u64),
    /// A dial has had its time.
    DialOver(usize, u64),
    /// So many bytes have come to its link.
    Arrives(usize, Box<Happening>),
    /// They have passed the link.
    Received(usize, Box<Happening>),
    /// A session has ended.
    SessionEnds(SessionId),
    /// A message has come.
    Message(SessionId, Box<Payload>, usize),
    /// It reads the list of gateways, and renews its record.
    Renew,
    /// A page of the list is there.
    Listed(Page),
    /// It has read a version of the configuration.
    Configuration(u64),
    /// An agent looks at its sessions.
    Review,
    /// What an agent's worker says of itself.
    Heartbeat,
    /// A worker answers an order.
    Watched(WorkerCommand),
}

/// A message between processes.
#[derive(Debug)]
pub enum Payload {
    /// To an agent.
    ToAgent(ToAgent),
    /// To a gateway from an agent.
    FromAgent(FromAgent),
    /// Between gateways.
    ToPeer(ToPeer),
}

/// The world.
pub struct FleetWorld {
    /// Now, in microseconds.
    pub now: u64,
    /// The machines: gateways first.
    pub machines: Vec<Machine>,
    /// How many of them are gateways.
    pub gateways: usize,
    /// The store.
    pub store: Store,
    /// Version of the configuration.
    pub version: u64,
    /// When each gateway had the present one in force.
    pub in_force_at: BTreeMap<usize, u64>,
    pub(super) random: Pcg64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    happenings: BTreeMap<u64, (usize, u64, Happening)>,
    sequence: u64,
}

impl FleetWorld {
    /// A fleet of which no process has begun.
    pub fn new(size: FleetSize, seed: u64) -> Self {
        let gateways = (0..size.gateways).map(machines::gateway_machine);
        let agents = (0..size.agents).map(|index| machines::agent_machine(size.gateways + index));
        Self {
            now: 0,
            machines: gateways.chain(agents).collect(),
            gateways: size.gateways,
            store: Store::default(),
            version: 1,
            in_force_at: BTreeMap::new(),
            random: Pcg64::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            happenings: BTreeMap::new(),
            sequence: 0,
        }
    }

    /// A number that is new in this world.
    pub fn fresh(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Schedules what happens to the present life of a machine's process.
    pub fn schedule(&mut self, at: u64, machine: usize, happening: Happening) {
        let life = self.machines[machine].life;
        let sequence = self.fresh();
        self.queue.push(Reverse((at.max(self.now), sequence)));
        self.happenings.insert(sequence, (machine, life, happening));
    }

    /// Runs until `end`.
    pub fn run_until(&mut self, end: u64) {
        while let Some(Reverse((at, sequence))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some((machine, life, happening)) = self.happenings.remove(&sequence)
                && self.machines[machine].life == life
            {
                self.happen(machine, happening);
            }
        }
        self.now = end;
    }

    /// Begins a process on a machine at some moment after `from`.
    pub fn start_after(&mut self, from: u64, machine: usize) {
        let at = from + self.random.random_range(0..START_SPREAD);
        self.schedule(at, machine, Happening::Begin);
    }

    /// Ends the process of a machine at once. The others notice it soon, since connections
    /// to it are reset.
    pub fn kill(&mut self, machine: usize) {
        let process = &mut self.machines[machine];
        process.is_up = false;
        process.life += 1;
        process.ready_at = None;
        process.link.clear();
        process.processor.clear();
        let sessions = std::mem::take(&mut process.sessions);
        self.in_force_at.remove(&machine);
        for (session, other) in sessions {
            let notice = self.now + 2 * self.latency(machine, other);
            self.schedule(notice, other, Happening::SessionEnds(session));
        }
    }

    /// The gateways that a gateway knows.
    pub fn known_to(&self, machine: usize) -> BTreeSet<Member> {
        match &self.machines[machine].role {
            Role::Gateway(gateway) => gateway.known_members().cloned().collect(),
            Role::Agent(..) => BTreeSet::new(),
        }
    }

    fn happen(&mut self, machine: usize, happening: Happening) {
        if !self.machines[machine].is_up && !matches!(happening, Happening::Begin) {
            return;
        }
        match happening {
            Happening::Begin => self.begin(machine),
            Happening::Wake => {
                if self.machines[machine].wakes_at <= self.now {
                    self.machines[machine].wakes_at = u64::MAX;
                    self.tick(machine);
                }
            }
            Happening::Dial(target) => self.dial(machine, target),
            Happening::HelloArrives(from, life, attempt) => {
                self.answer_hello(machine, from, life, attempt);
            }
            Happening::HelloAnswered(by, life, attempt) => {
                self.finish_dial(machine, by, life, attempt);
            }
            Happening::Arrives(bytes, what) => self.arrives(machine, bytes, what),
            Happening::Received(bytes, what) => self.received(machine, bytes, *what),
            Happening::DialOver(target, attempt) => self.give_dial_up(machine, target, attempt),
            Happening::SessionEnds(session) => self.session_ends(machine, session),
            Happening::Message(session, payload, bytes) => {
                self.take_message(machine, session, *payload, bytes);
            }
            Happening::Renew => self.renew(machine),
            Happening::Listed(page) => {
                self.gateway_event(machine, GatewayEvent::ListPage(page));
            }
            Happening::Configuration(version) => {
                let news = GatewayEvent::Configuration(machines::configuration(version));
                self.gateway_event(machine, news);
            }
            Happening::Review => self.review(machine),
            Happening::Heartbeat => {
                let news = machines::registration(machine, self.now);
                self.agent_event(machine, AgentEvent::Registered(news));
                self.schedule(self.now + HEARTBEAT, machine, Happening::Heartbeat);
            }
            Happening::Watched(order) => {
                let answer = WatchAnswer {
                    clock: Some(machines::worker_clock(self.now)),
                    started_at: None,
                    lists: Ok(RunLists::default()),
                };
                let incarnation = order.incarnation;
                let answer = Ok(answer);
                self.agent_event(
                    machine,
                    AgentEvent::Watched {
                        incarnation,
                        answer,
                    },
                );
            }
        }
    }

    fn begin(&mut self, machine: usize) {
        let now = self.now;
        let seeds = self.draw_seeds(machine);
        let is_gateway = machine < self.gateways;
        let process = &mut self.machines[machine];
        process.life += 1;
        process.started = now;
        process.is_up = true;
        process.wakes_at = u64::MAX;
        process.dials = super::dials::Dials::new(seeds.clone());
        process.role = if is_gateway {
            machines::gateway_role(machine, process.life)
        } else {
            machines::agent_role(machine, now)
        };
        for seed in seeds {
            self.want(machine, seed);
        }
        if is_gateway {
            let name = machines::member(machine).name;
            self.machines[machine].reads_from = record_key(&name);
            self.renew(machine);
            self.read_configuration(machine);
            self.tick(machine);
        } else {
            let first = now + self.random.random_range(10_000..HEARTBEAT);
            self.schedule(first, machine, Happening::Heartbeat);
            let recalled = machines::registration(machine, now);
            let stated_at = Some(recalled.clock);
            let loaded = AgentEvent::RecordLoaded {
                registration: recalled,
                stated_at,
            };
            self.agent_event(machine, loaded);
            self.schedule(now + REVIEW, machine, Happening::Review);
        }
    }

    /// Seeds are gateways that the platform knows; some may not run.
    fn draw_seeds(&mut self, machine: usize) -> Vec<usize> {
        let mut seeds = Vec::new();
        while seeds.len() < SEEDS.min(self.gateways - 1) {
            let seed = self.random.random_range(0..self.gateways);
            if seed != machine && !seeds.contains(&seed) {
                seeds.push(seed);
            }
        }
        seeds
    }

    /// A gateway reads the configuration, as it does when it begins or one is announced.
    pub fn read_configuration(&mut self, machine: usize) {
        if self.store.shut_out.contains(&machine) {
            return;
        }
        let bytes = bytes_of(&machines::configuration(self.version));
        self.store.note_read(bytes);
        let at = self.now + STORE_ANSWER;
        let at = self.machines[machine].link.carry(Way::In, at, bytes);
        self.schedule(at, machine, Happening::Configuration(self.version));
    }

    fn renew(&mut self, machine: usize) {
        self.schedule(self.now + RENEWAL, machine, Happening::Renew);
        if self.store.shut_out.contains(&machine) {
            return;
        }
        let before = self.store.bytes_read;
        let from = std::mem::take(&mut self.machines[machine].reads_from);
        let mut pages = vec![self.store.list(self.now, &from)];
        if pages[0].until.is_none() && !from.is_empty() {
            pages.push(self.store.list(self.now, ""));
        }
        let next = pages.last().map_or("", Page::next);
        self.machines[machine].reads_from = next.to_owned();
        let bytes = usize::try_from(self.store.bytes_read - before).unwrap_or(usize::MAX);
        self.store.put(self.now, machines::member(machine));
        let at = self.now + STORE_ANSWER;
        let at = self.machines[machine].link.carry(Way::In, at, bytes);
        for page in pages {
            self.schedule(at, machine, Happening::Listed(page));
        }
    }

    fn review(&mut self, machine: usize) {
        self.schedule(self.now + REVIEW, machine, Happening::Review);
        self.dial_wanted(machine);
    }

    /// A gateway dials others, and only these any more once that is settled.
    fn dial_members(&mut self, machine: usize, members: &[Member], is_settled: bool) {
        let members: Vec<usize> = members.iter().map(machines::machine_at).collect();
        for member in &members {
            self.want(machine, *member);
        }
        if is_settled {
            let dials = &mut self.machines[machine].dials;
            dials.release(|dialed| members.contains(&dialed));
        }
    }

    /// An agent dials the gateways of its subset.
    fn dial_wanted(&mut self, machine: usize) {
        let clock = self.machines[machine].clock(self.now);
        let Role::Agent(_, subset) = &mut self.machines[machine].role else {
            return;
        };
        let wanted = subset.wanted(clock);
        let is_settled = subset.is_settled(&wanted);
        let wanted: Vec<usize> = wanted.iter().map(machines::machine_at).collect();
        for gateway in &wanted {
            self.want(machine, *gateway);
        }
        if !is_settled {
            return;
        }
        self.machines[machine]
            .dials
            .release(|gateway| wanted.contains(&gateway));
        self.close_unwanted(machine, &wanted);
    }

    fn tick(&mut self, machine: usize) {
        if self.machines[machine].is_gateway() {
            self.gateway_event(machine, GatewayEvent::Tick);
        } else {
            self.agent_event(machine, AgentEvent::Tick);
        }
    }

    /// Gives a gateway an event and carries out what it wants.
    pub(super) fn gateway_event(&mut self, machine: usize, event: GatewayEvent) {
        let now = self.now;
        let process = &mut self.machines[machine];
        let clock = process.clock(now);
        let Role::Gateway(gateway) = &mut process.role else {
            return;
        };
        let mut effects = Vec::new();
        gateway.handle(clock, event, &mut effects);
        gateway.flush(clock, &mut effects);
        let wakeup = gateway.next_wakeup();
        if process.ready_at.is_none() && gateway.is_ready(clock) {
            process.ready_at = Some(now);
        }
        let wakeup = wakeup.map_or(u64::MAX, |at| at.0.max(clock.0 + 1));
        self.wake_at(machine, wakeup.min(clock.0 + LONGEST_SLEEP));
        for effect in effects {
            match effect {
                GatewayEffect::ToAgent { session, message } => {
                    self.send(machine, session, Payload::ToAgent(message));
                }
                GatewayEffect::ToPeer { session, message } => {
                    self.send(machine, session, Payload::ToPeer(message));
                }
                GatewayEffect::Close(session) => self.close(machine, session),
                GatewayEffect::Dial {
                    members,
                    is_settled,
                } => self.dial_members(machine, &members, is_settled),
                GatewayEffect::InForce(configuration) if configuration.version == self.version => {
                    self.in_force_at.insert(machine, now);
                }
                _ => {}
            }
        }
    }

    /// Gives an agent an event and carries out what it wants.
    pub(super) fn agent_event(&mut self, machine: usize, event: AgentEvent) {
        let process = &mut self.machines[machine];
        let clock = process.clock(self.now);
        let Role::Agent(agent, _) = &mut process.role else {
            return;
        };
        let mut effects = Vec::new();
        agent.handle(clock, event, &mut effects);
        agent.flush(clock, &mut effects);
        let wakeup = agent.next_wakeup(clock);
        if let Some(wakeup) = wakeup {
            self.wake_at(machine, wakeup.0.max(clock.0 + 1));
        }
        for effect in effects {
            match effect {
                AgentEffect::Send { session, message } => {
                    self.send(machine, session, Payload::FromAgent(message));
                }
                AgentEffect::Close(session) => self.close(machine, session),
                AgentEffect::Members(members) => {
                    if let Role::Agent(_, subset) = &mut self.machines[machine].role {
                        subset.add_members(members);
                    }
                    self.dial_wanted(machine);
                }
                AgentEffect::Command(order) => self.answer_order(machine, order),
                _ => {}
            }
        }
    }

    /// The worker answers: it runs nothing.
    fn answer_order(&mut self, machine: usize, order: WorkerCommand) {
        let wait = match &order.kind {
            CommandKind::Watch { wait, .. } if wait.0 > 0 => WATCH_PAUSE,
            _ => 1_000,
        };
        self.schedule(self.now + wait, machine, Happening::Watched(order));
    }

    fn wake_at(&mut self, machine: usize, clock: u64) {
        let process = &mut self.machines[machine];
        let at = process.started.saturating_add(clock);
        if at < process.wakes_at {
            process.wakes_at = at;
            self.schedule(at, machine, Happening::Wake);
        }
    }
}
