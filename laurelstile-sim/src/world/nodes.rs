//! Gateways and agents of the world.

use std::collections::{BTreeMap, VecDeque};

use laurelstile_core::agent::{Agent, AgentEvent};
use laurelstile_core::gateway::{Gateway, GatewayEvent, Identity};
use laurelstile_types::id::{DispatchId, Incarnation};
use laurelstile_types::time::{Span, Timestamp};

use super::names::{agent_name, gateway_name};
use super::network::LinkKey;
use super::{SimEvent, TICK, World};

/// A gateway: its process, which may be gone or frozen.
pub struct GatewayNode {
    pub(super) machine: Option<Gateway>,
    pub(super) incarnation: Incarnation,
    pub(super) started: u64,
    pub(super) frozen: bool,
    pub(super) stopping: bool,
    pub(super) inbox: VecDeque<GatewayEvent>,
    pub(super) known_revision: u64,
}

/// An agent and its back end.
pub struct AgentNode {
    pub(super) machine: Option<Agent>,
    pub(super) incarnation: Incarnation,
    pub(super) started: u64,
    pub(super) frozen: bool,
    pub(super) stopping: bool,
    pub(super) inbox: VecDeque<AgentEvent>,
    pub(super) backend_up: bool,
    /// Grows with each start of the back end.
    pub(super) backend_life: u64,
    pub(super) slowness_permille: u64,
    /// Runs of this incarnation of the agent, for aborts.
    pub(super) runs: BTreeMap<DispatchId, u64>,
}

impl World {
    pub(super) fn start_nodes(&mut self) {
        for index in 0..self.plan.gateways {
            self.gateways.push(GatewayNode {
                machine: None,
                incarnation: Incarnation(0),
                started: 0,
                frozen: false,
                stopping: false,
                inbox: VecDeque::new(),
                known_revision: 0,
            });
            self.start_gateway(index);
            self.schedule(TICK + index as u64, SimEvent::GatewayTick(index));
            self.schedule(10_000, SimEvent::PollConfiguration(index));
            self.schedule(20_000, SimEvent::PollMachines(index));
        }
        for index in 0..self.plan.agents {
            self.agents.push(AgentNode {
                machine: None,
                incarnation: Incarnation(0),
                started: 0,
                frozen: false,
                stopping: false,
                inbox: VecDeque::new(),
                backend_up: true,
                backend_life: 0,
                slowness_permille: 1_000,
                runs: BTreeMap::new(),
            });
            self.start_agent(index);
            self.schedule(TICK + 7 * index as u64, SimEvent::AgentTick(index));
        }
        for gateway in 0..self.plan.gateways {
            for agent in 0..self.plan.agents {
                self.schedule(30_000, SimEvent::Dial(LinkKey::Agent(gateway, agent)));
            }
            for other in gateway + 1..self.plan.gateways {
                self.schedule(15_000, SimEvent::Dial(LinkKey::Peer(gateway, other)));
            }
        }
    }

    pub(super) fn start_gateway(&mut self, index: usize) {
        let incarnation = self.next_incarnation();
        let identity = Identity {
            name: gateway_name(index).as_str().into(),
            incarnation,
            zone: format!("zone-{}", index % 3).as_str().into(),
        };
        let node = &mut self.gateways[index];
        node.machine = Some(Gateway::new(identity));
        node.incarnation = incarnation;
        node.started = self.now;
        node.known_revision = 0;
        node.frozen = false;
        node.stopping = false;
        node.inbox.clear();
    }

    pub(super) fn start_agent(&mut self, index: usize) {
        let incarnation = self.next_incarnation();
        let node = &mut self.agents[index];
        node.machine = Some(Agent::new(agent_name(index).as_str().into()));
        node.incarnation = incarnation;
        node.started = self.now;
        node.frozen = false;
        node.stopping = false;
        node.inbox.clear();
        node.runs.clear();
    }

    fn next_incarnation(&mut self) -> Incarnation {
        Incarnation(rand::Rng::random(&mut self.random))
    }

    /// The time on a gateway's own clock.
    pub(super) fn gateway_clock(&self, index: usize) -> Timestamp {
        Timestamp(self.now - self.gateways[index].started)
    }

    /// The time on an agent's own clock.
    pub(super) fn agent_clock(&self, index: usize) -> Timestamp {
        Timestamp(self.now - self.agents[index].started)
    }

    pub(super) fn gateway_uptime(&self, index: usize) -> Span {
        Span(self.gateway_clock(index).0)
    }

    pub(super) fn agent_uptime(&self, index: usize) -> Span {
        Span(self.agent_clock(index).0)
    }

    /// Hands an event to a process, if it is still the same.
    pub(super) fn tell_gateway(
        &mut self,
        index: usize,
        incarnation: Incarnation,
        event: GatewayEvent,
    ) {
        let node = &mut self.gateways[index];
        if node.incarnation != incarnation || node.machine.is_none() {
            return;
        }
        if node.frozen {
            node.inbox.push_back(event);
            return;
        }
        self.gateway_handles(index, event);
    }

    /// Hands an event to a process, if it is still the same.
    pub(super) fn tell_agent(&mut self, index: usize, incarnation: Incarnation, event: AgentEvent) {
        let node = &mut self.agents[index];
        if node.incarnation != incarnation || node.machine.is_none() {
            return;
        }
        if node.frozen {
            node.inbox.push_back(event);
            return;
        }
        self.agent_handles(index, event);
    }

    pub(super) fn gateway_handles(&mut self, index: usize, event: GatewayEvent) {
        let now = self.gateway_clock(index);
        let Some(machine) = &mut self.gateways[index].machine else {
            return;
        };
        let mut effects = Vec::new();
        machine.handle(now, event, &mut effects);
        machine.flush(now, &mut effects);
        self.carry_out_gateway(index, effects);
    }

    pub(super) fn agent_handles(&mut self, index: usize, event: AgentEvent) {
        let now = self.agent_clock(index);
        let Some(machine) = &mut self.agents[index].machine else {
            return;
        };
        let mut effects = Vec::new();
        machine.handle(now, event, &mut effects);
        machine.flush(now, &mut effects);
        self.carry_out_agent(index, effects);
    }

    /// Lets a frozen process take what came meanwhile.
    pub(super) fn thaw_gateway(&mut self, index: usize) {
        self.gateways[index].frozen = false;
        let inbox = std::mem::take(&mut self.gateways[index].inbox);
        for event in inbox {
            self.gateway_handles(index, event);
        }
    }

    /// Lets a frozen process take what came meanwhile.
    pub(super) fn thaw_agent(&mut self, index: usize) {
        self.agents[index].frozen = false;
        let inbox = std::mem::take(&mut self.agents[index].inbox);
        for event in inbox {
            self.agent_handles(index, event);
        }
    }

    pub(super) fn end_gateway(&mut self, index: usize) {
        self.gateways[index].machine = None;
        self.gateways[index].frozen = false;
        self.gateways[index].inbox.clear();
        self.close_connections_of_gateway(index);
        self.lose_requests_of(index);
    }

    pub(super) fn end_agent(&mut self, index: usize) {
        let node = &mut self.agents[index];
        node.machine = None;
        node.frozen = false;
        node.inbox.clear();
        node.runs.clear();
        self.close_connections_of_agent(index);
    }
}
