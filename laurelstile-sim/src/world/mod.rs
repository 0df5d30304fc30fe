//! The simulated world: nodes, network, platform, back ends and callers, and
//! the queue of events that drives them in virtual time.

mod callers;
mod effects;
mod faulting;
mod names;
mod network;
mod nodes;
mod table;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

use laurelstile_core::agent::{AgentEvent, RunEnd};
use laurelstile_core::gateway::GatewayEvent;
use laurelstile_core::messages::agent::{FromAgent, ToAgent};
use laurelstile_core::messages::peer::ToPeer;
use laurelstile_history::event::{Event, PLATFORM, Record};
use laurelstile_types::configuration::{
    Backend, Class, Configuration, FORMAT_VERSION, Pool, Service, Tenant,
};
use laurelstile_types::id::{DispatchId, Incarnation};
use laurelstile_types::revision::Revision;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::faults::{Fault, ScheduledFault};
use crate::workload::SimJob;
use callers::Callers;
use network::{Network, SimMessage};
use nodes::{AgentNode, GatewayNode};
use table::Table;

/// Interval of the machines' ticks, in microseconds.
const TICK: u64 = 20_000;
/// Time between an end of a connection and a redial, in microseconds.
const REDIAL: u64 = 200_000;
/// Interval of the polls of the configuration log, in microseconds.
const CONFIGURATION_POLL: u64 = 500_000;
/// Interval of the polls of the machine list, in microseconds.
const MACHINES_POLL: u64 = 1_000_000;

/// What a world consists of.
#[derive(Clone, Debug)]
pub struct WorldPlan {
    /// Seed of every random choice.
    pub seed: u64,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of back ends.
    pub agents: usize,
    /// Slots of each.
    pub slots: u32,
    /// Tenants' quotas of slots.
    pub quotas: Vec<u32>,
    /// Deadline of every job, in microseconds.
    pub deadline: u64,
    /// One-way latency between nodes, in microseconds.
    pub latency: u64,
    /// One-way latency between callers and gateways, in microseconds.
    pub caller_latency: u64,
    /// A mechanism that is switched off, to show what it is for.
    pub sabotage: Option<Sabotage>,
}

/// A mechanism that is switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sabotage {
    /// After the loss of a scheduler nobody asks the agents: the job is simply
    /// delegated again.
    NoRecovery,
    /// Claims are granted without asking the table.
    NoClaims,
    /// Drains are not told to agents and gateways.
    NoDrains,
    /// Revisions are not pushed to agents.
    NoPush,
    /// A planned stop ends the process at once.
    NoHandOver,
    /// Answers go to callers in the order of their submissions, not by id.
    NoSubmissionIds,
    /// A job past its deadline is answered with what is there.
    NoWholeness,
    /// A deadline counts as proof that nothing ran.
    NoProof,
}

/// Something that happens at a time.
#[derive(Debug)]
enum SimEvent {
    GatewayTick(usize),
    AgentTick(usize),
    ToGateway(usize, Incarnation, Box<GatewayEvent>),
    ToAgentNode(usize, Incarnation, Box<AgentEvent>),
    Deliver(u64, SimMessage),
    Dial(network::LinkKey),
    RunEnds(usize, u64, DispatchId, RunEnd),
    Submit(usize),
    AtGateway(usize),
    AnswerAtCaller(String, Box<callers::CallerOutcome>),
    PollConfiguration(usize),
    PollMachines(usize),
    FaultBegins(usize),
    FaultEnds(usize),
    TableCall(table::TableCall),
}

/// The world.
pub struct World {
    plan: WorldPlan,
    now: u64,
    next_event: u64,
    queue: BinaryHeap<Reverse<Scheduled>>,
    random: Pcg64,
    gateways: Vec<GatewayNode>,
    agents: Vec<AgentNode>,
    network: Network,
    table: Table,
    callers: Callers,
    jobs: Vec<SimJob>,
    faults: Vec<ScheduledFault>,
    log: Vec<Arc<Revision>>,
    leaving: Vec<bool>,
    /// Whether a gateway has read of it.
    leaving_read: Vec<bool>,
    records: Vec<Record>,
    messages: BTreeMap<&'static str, u64>,
}

struct Scheduled {
    at: u64,
    number: u64,
    event: SimEvent,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// What a run gave.
pub struct RunResult {
    /// The history.
    pub records: Vec<Record>,
    /// For every answered job its index and response time in microseconds.
    pub responses: Vec<(usize, u64)>,
    /// Messages between nodes, by kind.
    pub messages: BTreeMap<&'static str, u64>,
    /// Tasks started.
    pub starts: u64,
}

impl World {
    /// A world with its jobs and faults.
    pub fn new(plan: WorldPlan, jobs: Vec<SimJob>, faults: Vec<ScheduledFault>) -> Self {
        let mut world = Self {
            now: 0,
            next_event: 0,
            queue: BinaryHeap::new(),
            random: Pcg64::seed_from_u64(plan.seed),
            gateways: Vec::new(),
            agents: Vec::new(),
            network: Network::new(plan.latency),
            table: Table::default(),
            callers: Callers::default(),
            jobs,
            faults,
            log: Vec::new(),
            leaving: vec![false; plan.agents],
            leaving_read: vec![false; plan.agents],
            records: Vec::new(),
            messages: BTreeMap::new(),
            plan,
        };
        world.start_nodes();
        world
    }

    /// Runs until `end`, in microseconds.
    pub fn run(mut self, end: u64) -> RunResult {
        self.accept_change(laurelstile_types::revision::Change::Apply(
            self.configuration(),
        ));
        for index in 0..self.jobs.len() {
            self.schedule(self.jobs[index].at + REDIAL * 10, SimEvent::Submit(index));
        }
        for index in 0..self.faults.len() {
            let fault = self.faults[index];
            self.schedule(fault.at + REDIAL * 10, SimEvent::FaultBegins(index));
        }
        while let Some(Reverse(next)) = self.queue.pop() {
            if next.at > end {
                break;
            }
            self.now = next.at;
            self.happen(next.event);
        }
        self.give_up_open_requests();
        let starts = self
            .records
            .iter()
            .filter(|record| matches!(record.event, Event::TaskStarted { .. }))
            .count();
        RunResult {
            responses: self.callers.responses,
            records: self.records,
            messages: self.messages,
            starts: starts as u64,
        }
    }

    fn happen(&mut self, event: SimEvent) {
        match event {
            SimEvent::GatewayTick(index) => {
                self.schedule(self.now + TICK, SimEvent::GatewayTick(index));
                if !self.gateways[index].frozen {
                    self.gateway_handles(index, GatewayEvent::Tick);
                }
            }
            SimEvent::AgentTick(index) => {
                self.schedule(self.now + TICK, SimEvent::AgentTick(index));
                if !self.agents[index].frozen {
                    self.agent_handles(index, AgentEvent::Tick);
                }
            }
            SimEvent::ToGateway(index, incarnation, event) => {
                self.tell_gateway(index, incarnation, *event);
            }
            SimEvent::ToAgentNode(index, incarnation, event) => {
                self.tell_agent(index, incarnation, *event);
            }
            SimEvent::Deliver(connection, message) => self.deliver(connection, message),
            SimEvent::Dial(link) => self.dial(link),
            SimEvent::RunEnds(agent, backend_life, dispatch, end) => {
                self.run_ends(agent, backend_life, dispatch, end);
            }
            SimEvent::Submit(index) => self.submit(index),
            SimEvent::AtGateway(index) => self.arrive_at_gateway(index),
            SimEvent::AnswerAtCaller(request, outcome) => {
                self.answer_at_caller(&request, *outcome);
            }
            SimEvent::PollConfiguration(index) => self.poll_configuration(index),
            SimEvent::PollMachines(index) => self.poll_machines(index),
            SimEvent::FaultBegins(index) => self.fault_begins(index),
            SimEvent::FaultEnds(index) => self.fault_ends(index),
            SimEvent::TableCall(call) => self.table_call(call),
        }
    }

    fn schedule(&mut self, at: u64, event: SimEvent) {
        self.next_event += 1;
        self.queue.push(Reverse(Scheduled {
            at,
            number: self.next_event,
            event,
        }));
    }

    fn record(&mut self, node: &str, event: Event) {
        self.records.push(Record {
            at_micros: self.now,
            node: node.to_owned(),
            event,
        });
    }

    fn count(&mut self, kind: &'static str) {
        *self.messages.entry(kind).or_default() += 1;
    }

    fn configuration(&self) -> Configuration {
        let class = |name: &str, repeatable| Class {
            name: name.into(),
            expected_millis: 500,
            deadline_millis: self.plan.deadline / 1_000,
            repeatable,
        };
        Configuration {
            version: FORMAT_VERSION,
            pools: vec![Pool {
                name: "pool".into(),
                max_queued_tasks: 20_000,
                backends: (0..self.plan.agents)
                    .map(|index| Backend {
                        name: names::agent_name(index).as_str().into(),
                        agent: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
                        zone: format!("zone-{}", index % 3).as_str().into(),
                        rack: format!("rack-{}", index / 3).as_str().into(),
                        slots: self.plan.slots,
                    })
                    .collect(),
            }],
            services: vec![Service {
                name: "service".into(),
                pool: "pool".into(),
                max_tasks_per_job: 820,
                classes: vec![class("again", true), class("once", false)],
            }],
            tenants: self
                .plan
                .quotas
                .iter()
                .enumerate()
                .map(|(index, quota)| Tenant {
                    name: callers::tenant_name(index).as_str().into(),
                    weight: 1,
                    quota_slots: *quota,
                    max_queued_tasks: 20_000,
                })
                .collect(),
        }
    }
}

/// Names of messages, for counting.
fn kind_to_agent(message: &ToAgent) -> &'static str {
    use laurelstile_core::messages::agent::ToAgentBody;
    match message.body {
        ToAgentBody::Heartbeat => "agent_heartbeat",
        ToAgentBody::Start(_) => "start",
        _ => "other_to_agent",
    }
}

fn kind_from_agent(message: &FromAgent) -> &'static str {
    use laurelstile_core::messages::agent::FromAgentBody;
    match message.body {
        FromAgentBody::Heartbeat => "slot_heartbeat",
        FromAgentBody::Results(_) => "results",
        FromAgentBody::NotStarted(_) => "not_started",
        _ => "other_from_agent",
    }
}

fn kind_to_peer(message: &ToPeer) -> &'static str {
    use laurelstile_core::messages::peer::ToPeerBody;
    match message.body {
        ToPeerBody::Heartbeat => "peer_heartbeat",
        ToPeerBody::Delegate(_) => "delegate",
        ToPeerBody::Done(_) => "done",
        _ => "other_to_peer",
    }
}

/// Kinds of fault that hit a node, for the history.
fn node_of_fault(fault: Fault) -> Vec<String> {
    match fault {
        Fault::KillGateway(gateway) | Fault::FreezeGateway(gateway) => {
            vec![names::gateway_name(gateway)]
        }
        Fault::KillAgent(agent) | Fault::FreezeAgent(agent) => vec![names::agent_name(agent)],
        Fault::CutAgentLink(gateway, agent)
        | Fault::CutTowardsAgent(gateway, agent)
        | Fault::CutFromAgent(gateway, agent)
        | Fault::SeverAgentLink(gateway, agent) => {
            vec![names::gateway_name(gateway), names::agent_name(agent)]
        }
        Fault::CutPeerLink(one, other) | Fault::SeverPeerLink(one, other) => {
            vec![names::gateway_name(one), names::gateway_name(other)]
        }
        Fault::TableDown | Fault::TableLosesReplies => vec![PLATFORM.to_owned()],
        Fault::Straggler(agent) | Fault::KillBackend(agent) => {
            vec![format!("{}-backend", names::agent_name(agent))]
        }
        _ => vec!["lab".to_owned()],
    }
}
