//! Brings faults about and mends them.

use laurelstile_core::agent::AgentEvent;
use laurelstile_core::gateway::GatewayEvent;
use laurelstile_history::event::Event;
use laurelstile_types::revision::Change;

use super::names::{agent_name, gateway_name};
use super::network::LinkKey;
use super::{Sabotage, SimEvent, World, node_of_fault};
use crate::faults::Fault;

/// How much slower a straggler is, in thousandths.
const STRAGGLER: u64 = 6_000;
/// Usual speed, in thousandths.
const USUAL: u64 = 1_000;
/// Pause after a planned stop until the node is started anew.
const RESTART: u64 = 2_000_000;

impl World {
    pub(super) fn fault_begins(&mut self, index: usize) {
        let scheduled = self.faults[index];
        let fault = scheduled.fault;
        if self.is_impossible(fault) {
            return;
        }
        self.note_fault(index, true);
        match fault {
            Fault::KillGateway(gateway) => self.end_gateway(gateway),
            Fault::KillAgent(agent) => self.end_agent(agent),
            Fault::KillBackend(agent) => self.end_backend(agent),
            Fault::FreezeGateway(gateway) => self.gateways[gateway].frozen = true,
            Fault::FreezeAgent(agent) => self.agents[agent].frozen = true,
            Fault::CutAgentLink(gateway, agent) => {
                self.hold(LinkKey::Agent(gateway, agent), true, true);
            }
            Fault::CutTowardsAgent(gateway, agent) => {
                self.hold(LinkKey::Agent(gateway, agent), true, false);
            }
            Fault::CutFromAgent(gateway, agent) => {
                self.hold(LinkKey::Agent(gateway, agent), false, true);
            }
            Fault::SeverAgentLink(gateway, agent) => self.sever(LinkKey::Agent(gateway, agent)),
            Fault::CutPeerLink(one, other) => self.hold(peer_link(one, other), true, true),
            Fault::SeverPeerLink(one, other) => self.sever(peer_link(one, other)),
            Fault::TableDown => self.table.down += 1,
            Fault::TableLosesReplies => self.table.loses_replies += 1,
            Fault::Straggler(agent) => self.agents[agent].slowness_permille = STRAGGLER,
            Fault::ListedLeaving(agent) => {
                self.leaving[agent] = true;
            }
            Fault::Apply => {
                if self.table.down == 0 {
                    self.accept_change(Change::Apply(self.configuration()));
                }
            }
            Fault::Drain(agent) => {
                let is_sabotaged = self.plan.sabotage == Some(Sabotage::NoDrains);
                if self.table.down == 0 && !is_sabotaged {
                    self.accept_change(Change::Drain(agent_name(agent).as_str().into()));
                } else if is_sabotaged {
                    let backend = agent_name(agent);
                    self.record("platform", Event::ListedLeaving { backend });
                }
            }
            Fault::StopGateway(gateway) => {
                let target = gateway_name(gateway);
                self.record("lab", Event::StopBegan { target });
                if self.plan.sabotage == Some(Sabotage::NoHandOver) {
                    self.end_gateway(gateway);
                }
                self.gateways[gateway].stopping = true;
                let incarnation = self.gateways[gateway].incarnation;
                self.tell_gateway(gateway, incarnation, GatewayEvent::Stop);
            }
            Fault::StopAgent(agent) => {
                let target = agent_name(agent);
                self.record("lab", Event::StopBegan { target });
                self.agents[agent].stopping = true;
                let incarnation = self.agents[agent].incarnation;
                self.tell_agent(agent, incarnation, AgentEvent::Stop);
            }
        }
        self.schedule(self.now + scheduled.length, SimEvent::FaultEnds(index));
    }

    pub(super) fn fault_ends(&mut self, index: usize) {
        match self.faults[index].fault {
            Fault::KillGateway(gateway) => self.start_gateway(gateway),
            Fault::KillAgent(agent) => self.start_agent(agent),
            Fault::KillBackend(agent) => self.agents[agent].backend_up = true,
            Fault::FreezeGateway(gateway) => self.thaw_gateway(gateway),
            Fault::FreezeAgent(agent) => self.thaw_agent(agent),
            Fault::CutAgentLink(gateway, agent) => {
                self.let_go(LinkKey::Agent(gateway, agent), true, true);
            }
            Fault::CutTowardsAgent(gateway, agent) => {
                self.let_go(LinkKey::Agent(gateway, agent), true, false);
            }
            Fault::CutFromAgent(gateway, agent) => {
                self.let_go(LinkKey::Agent(gateway, agent), false, true);
            }
            Fault::CutPeerLink(one, other) => self.let_go(peer_link(one, other), true, true),
            Fault::TableDown => self.table.down -= 1,
            Fault::TableLosesReplies => self.table.loses_replies -= 1,
            Fault::Straggler(agent) => self.agents[agent].slowness_permille = USUAL,
            Fault::StopGateway(gateway) => {
                if self.gateways[gateway].machine.is_some() {
                    self.schedule(self.now + RESTART, SimEvent::FaultEnds(index));
                    return;
                }
                self.start_gateway(gateway);
            }
            Fault::StopAgent(agent) => {
                if self.agents[agent].machine.is_some() {
                    self.schedule(self.now + RESTART, SimEvent::FaultEnds(index));
                    return;
                }
                self.start_agent(agent);
            }
            Fault::SeverAgentLink(..)
            | Fault::SeverPeerLink(..)
            | Fault::ListedLeaving(_)
            | Fault::Apply
            | Fault::Drain(_) => {}
        }
        self.note_fault(index, false);
    }

    /// A fault on a node that is under another fault would muddle both.
    fn is_impossible(&self, fault: Fault) -> bool {
        match fault {
            Fault::KillGateway(gateway)
            | Fault::FreezeGateway(gateway)
            | Fault::StopGateway(gateway) => {
                let node = &self.gateways[gateway];
                node.machine.is_none() || node.frozen || node.stopping
            }
            Fault::KillAgent(agent) | Fault::FreezeAgent(agent) | Fault::StopAgent(agent) => {
                let node = &self.agents[agent];
                node.machine.is_none() || node.frozen || node.stopping
            }
            Fault::KillBackend(agent) => !self.agents[agent].backend_up,
            _ => false,
        }
    }

    fn note_fault(&mut self, index: usize, begins: bool) {
        let fault = self.faults[index].fault;
        for target in node_of_fault(fault) {
            let kind = fault.kind().to_owned();
            let event = if begins {
                Event::FaultBegan { target, kind }
            } else {
                Event::FaultEnded { target, kind }
            };
            self.record("lab", event);
        }
    }
}

fn peer_link(one: usize, other: usize) -> LinkKey {
    LinkKey::Peer(one.min(other), one.max(other))
}
