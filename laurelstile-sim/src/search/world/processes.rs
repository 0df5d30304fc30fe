//! Processes of agents and gateways: their starts and ends, and the effects of their events.

use laurelstile_core::leased::agent::worker::FenceToken;
use laurelstile_core::leased::agent::{
    AgentEffect, AgentEvent, AgentOptions, HeartbeatTiming, LeasedAgent,
};
use laurelstile_core::leased::gateway::{GatewayEffect, GatewayEvent};
use laurelstile_types::id::Incarnation;
use laurelstile_types::time::Span;

use super::super::fault::{Direction, Micros, TokenStart};
use super::links::LATENCY;
use super::workers::HEARTBEAT;
use super::{CLOSE_NOTICE, Event, World};
use crate::leased::nodes::{self, Deployment, Process};
use crate::leased::worker::UNIX_MILLIS;

/// How long an agent that starts takes to read its worker's record.
const RECORD_DELAY: Micros = 5_000;
/// How long a gateway that starts takes to read the configuration.
const CONFIGURATION_DELAY: Micros = 20_000;
/// How far a wall clock is set back, in milliseconds.
const SET_BACK_MILLIS: u64 = 2_000;

impl World {
    pub(super) fn agent(&mut self, index: usize, token_floor: u64) -> LeasedAgent {
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
            departures: None,
        })
    }

    pub(super) fn is_gateway(&self, index: usize, incarnation: Incarnation) -> bool {
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
                    self.records[index] = Some(record);
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

    pub(super) fn gateway_event(&mut self, index: usize, event: GatewayEvent) {
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

    pub(super) fn start_gateway(&mut self, index: usize) {
        if self.gateways[index].is_up {
            return;
        }
        let incarnation = self.fresh();
        self.gateways[index] = Process::begin(
            nodes::gateway(index, incarnation, &Deployment::default()),
            incarnation,
            self.now,
        );
        self.refusing_gateways[index] = false;
        self.note(|| format!("gateway-{index} starts"));
        let read_at = self.now + CONFIGURATION_DELAY;
        self.schedule(
            read_at,
            Event::Configuration(index, Incarnation(incarnation)),
        );
    }

    pub(super) fn start_agent(&mut self, index: usize, token: TokenStart, has_record: bool) {
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
        if let Some(record) = self.records[index].clone().filter(|_| has_record) {
            let event = Box::new(AgentEvent::RecordLoaded {
                registration: record.registration,
                stated_at: record.stated_at,
            });
            let at = self.now + RECORD_DELAY;
            self.schedule(
                at,
                Event::AgentInput(index, Incarnation(incarnation), event),
            );
        }
    }

    pub(super) fn kill_gateway(&mut self, index: usize, away: Micros) {
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

    pub(super) fn kill_agent(&mut self, index: usize) {
        if !self.agents[index].is_up {
            return;
        }
        self.agents[index].is_up = false;
        self.watches[index] = None;
        for (session, gateway) in std::mem::take(&mut self.agents[index].sessions) {
            let of = self.gateways[gateway].incarnation;
            let opens_at = self.opens_at.get(&session).copied().unwrap_or(0);
            let at = self.now.max(opens_at + LATENCY) + CLOSE_NOTICE;
            self.schedule(at, Event::GatewaySessionEnds(gateway, of, session));
        }
    }
}
