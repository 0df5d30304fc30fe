//! Events into gateways and agents, and their effects.

use laurelstile_core::leased::agent::{AgentEffect, AgentEvent};
use laurelstile_core::leased::gateway::{GatewayEffect, GatewayEvent};
use laurelstile_core::leased::messages::{FromAgentBody, ToAgentBody};
use laurelstile_core::leased::task::{RunId, TaskId};
use laurelstile_history::leased::{Seen, StartOrder};
use rand::Rng;

use super::super::faults::Sabotage;
use super::{Happening, RESTART, World};

/// Chance that an input of a slow process is the last of its batch, after which it is flushed.
const LAST_OF_BATCH: f64 = 0.3;

impl World {
    /// Gives an agent an event and carries out what it wants.
    pub fn agent_event(&mut self, index: usize, event: AgentEvent) {
        let process = &mut self.agents[index];
        if !process.is_up {
            return;
        }
        let clock = process.clock(self.now);
        let mut effects = Vec::new();
        process.machine.handle(clock, event, &mut effects);
        let is_last = !process.is_slow() || self.random.random_bool(LAST_OF_BATCH);
        let wakeup = if is_last {
            process.machine.flush(clock, &mut effects);
            process.machine.next_wakeup(clock)
        } else {
            Some(clock)
        };
        let incarnation = process.incarnation;
        if let Some(at) = process.wake_sooner(clock, wakeup) {
            self.schedule(at, Happening::WakeAgent(index));
        }
        for effect in effects {
            self.trace_line(|| format!("agent-{index}"), &effect);
            match effect {
                AgentEffect::Send { session, message } => {
                    let Some(gateway) = self.agents[index].sessions.get(&session).copied() else {
                        continue;
                    };
                    if matches!(message.body, FromAgentBody::Ends(_)) {
                        self.disrupt_soon(index, gateway);
                    }
                    let to = self.gateways[gateway].incarnation;
                    let happening = Happening::ToGateway(gateway, to, session, message);
                    self.transmit(index, gateway, session, true, happening);
                }
                AgentEffect::Close(session) => {
                    let gateway = self.agents[index].sessions.remove(&session);
                    if let Some(gateway) = gateway {
                        self.gateway_hears_of_end(gateway, session);
                    }
                }
                AgentEffect::Command(order) => self.give(index, incarnation, order),
                AgentEffect::StoreRecord(record) => self.write_record(index, incarnation, record),
                AgentEffect::AnswerDeregistration(_) => self.deregistration_answered(index),
                _ => {}
            }
        }
    }

    pub(super) fn gateway_event(&mut self, index: usize, event: GatewayEvent) {
        let process = &mut self.gateways[index];
        if !process.is_up {
            return;
        }
        let clock = process.clock(self.now);
        let mut effects = Vec::new();
        process.machine.handle(clock, event, &mut effects);
        let is_last = !process.is_slow() || self.random.random_bool(LAST_OF_BATCH);
        let wakeup = if is_last {
            process.machine.flush(clock, &mut effects);
            process.machine.next_wakeup()
        } else {
            Some(clock)
        };
        if let Some(at) = process.wake_sooner(clock, wakeup) {
            self.schedule(at, Happening::WakeGateway(index));
        }
        for effect in effects {
            self.carry_out(index, effect);
        }
    }

    pub(super) fn carry_out(&mut self, index: usize, effect: GatewayEffect) {
        self.trace_line(|| format!("gateway-{index}"), &effect);
        match effect {
            GatewayEffect::ToAgent {
                session,
                mut message,
            } => {
                let Some(agent) = self.gateways[index].sessions.get(&session).copied() else {
                    return;
                };
                if self.sabotage == Some(Sabotage::NoCancelNews) {
                    message.cancelled.clear();
                }
                let to = self.agents[agent].incarnation;
                self.note_starts(index, agent, &message.body);
                if matches!(message.body, ToAgentBody::Start(_)) {
                    self.disrupt_soon(agent, index);
                }
                let happening = Happening::ToAgent(agent, to, session, message);
                self.transmit(agent, index, session, false, happening);
            }
            GatewayEffect::ToPeer { session, message } => {
                self.tell_peer(index, session, message);
            }
            GatewayEffect::Close(session) => {
                let agent = self.gateways[index].sessions.remove(&session);
                if let Some(agent) = agent {
                    self.agent_hears_of_end(agent, session);
                }
            }
            GatewayEffect::Answer { call, answer } => self.answer(call, answer),
            GatewayEffect::InForce(configuration) => {
                let gateway = self.gateways[index].incarnation.0;
                let version = configuration.version;
                self.see(Seen::InForce { gateway, version });
            }
            GatewayEffect::Stopped => {
                self.end_gateway(index, true);
                self.schedule(self.now + RESTART, Happening::RestartGateway(index));
            }
            _ => {}
        }
    }

    /// Keeps which gateway ordered the runs of a batch.
    fn note_starts(&mut self, gateway: usize, agent: usize, body: &ToAgentBody) {
        let ToAgentBody::Start(batch) = body else {
            return;
        };
        for (index, run) in &batch.tasks {
            let task = TaskId {
                job: batch.job,
                repetition: 0,
                step: batch.step,
                index: *index,
            };
            let order = StartOrder {
                gateway,
                gateway_incarnation: Some(self.gateways[gateway].incarnation.0),
                agent,
                run: run.0,
                sent_at: Some(self.now),
                token: None,
                call: None,
            };
            let run = RunId { task, run: *run };
            self.start_orders.insert((agent, run), order);
        }
    }
}
