//! Sessions between agents and gateways, and the messages on them.

use laurelstile_core::leased::agent::AgentEvent;
use laurelstile_core::leased::gateway::GatewayEvent;
use laurelstile_core::session::{Remote, SessionId};
use laurelstile_types::time::Span;

use super::super::fault::{Direction, Micros};
use super::{CLOSE_NOTICE, Event, NODES, World};

/// One-way delay between two processes.
pub const LATENCY: Micros = 500;
/// Interval at which an agent dials a gateway to which it has no session.
const REDIAL: Micros = 25_000;

impl World {
    /// Sends something over a session: in order, after the latency or when the link recovers.
    pub(super) fn transmit(
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
    pub(super) fn close_session(&mut self, agent: usize, gateway: usize, session: SessionId) {
        let at = self.now + CLOSE_NOTICE;
        let of = self.agents[agent].incarnation;
        self.schedule(at, Event::AgentSessionEnds(agent, of, session));
        let of = self.gateways[gateway].incarnation;
        self.schedule(at, Event::GatewaySessionEnds(gateway, of, session));
    }

    /// The open session between an agent and a gateway, as either side knows it.
    pub(super) fn session(&self, agent: usize, gateway: usize) -> Option<SessionId> {
        let sessions = &self.agents[agent].sessions;
        let session = sessions.iter().find(|(_, to)| **to == gateway);
        session.map(|(session, _)| *session)
    }

    pub(super) fn dial(&mut self, index: usize) {
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

    pub(super) fn connect(&mut self, index: usize, gateway: usize) {
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
}
