//! Sessions between agents and gateways, and the messages on them.

use laurelstile_core::leased::agent::AgentEvent;
use laurelstile_core::leased::gateway::GatewayEvent;
use laurelstile_core::session::{Remote, SessionId};
use laurelstile_types::id::Incarnation;
use laurelstile_types::time::Span;

use super::super::fault::{Direction, LateSession, Micros};
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
        let opens_at = self.opens_at.get(&session).copied();
        let opens_at = opens_at.filter(|_| direction == Direction::ToGateway);
        let at = self.now.max(link.held_until).max(opens_at.unwrap_or(0)) + LATENCY;
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

    /// Closes the session between an agent and a gateway, and opens another that the gateway learns
    /// of late.
    pub(super) fn open_late(
        &mut self,
        agent: usize,
        gateway: usize,
        late: LateSession,
        micros: Micros,
    ) {
        if !self.agents[agent].is_up || !self.gateways[gateway].is_up {
            return;
        }
        if let Some(session) = self.session(agent, gateway) {
            self.broken.insert((session, Direction::ToAgent));
            self.broken.insert((session, Direction::ToGateway));
            self.agents[agent].sessions.remove(&session);
            self.agent_event(agent, AgentEvent::Closed { session });
            let of = self.gateways[gateway].incarnation;
            let ends = Event::GatewaySessionEnds(gateway, of, session);
            self.schedule(self.now + CLOSE_NOTICE, ends);
        }
        let session = SessionId(self.fresh());
        let dialed_at = match late {
            LateSession::LeftForEarlierDial => self.now + 2 * REDIAL,
            LateSession::Kept | LateSession::Left => self.now,
        };
        let (of, to) = (
            self.agents[agent].incarnation,
            self.gateways[gateway].incarnation,
        );
        let remote = Remote {
            name: format!("agent-{agent}"),
            incarnation: of,
            uptime: Span(dialed_at - self.agents[agent].started),
        };
        let opens_at = self.now + micros;
        self.opens_at.insert(session, opens_at);
        let opens = Event::GatewaySessionOpens(gateway, to, session, remote);
        self.schedule(opens_at, opens);
        self.last_gateways[agent][gateway] = Some(to);
        self.agents[agent].sessions.insert(session, gateway);
        self.note(|| format!("session {} opens at agent-{agent}", session.0));
        let opened = AgentEvent::Opened {
            session,
            gateway: to,
        };
        self.agent_event(agent, opened);
        if late != LateSession::Kept {
            let ends_at = self.now + CLOSE_NOTICE;
            self.schedule(ends_at, Event::AgentSessionEnds(agent, of, session));
            let ends = Event::GatewaySessionEnds(gateway, to, session);
            self.schedule(opens_at + 2 * LATENCY, ends);
        }
    }

    pub(super) fn gateway_session_opens(
        &mut self,
        gateway: usize,
        incarnation: Incarnation,
        session: SessionId,
        remote: Remote,
    ) {
        let index = remote.name.trim_start_matches("agent-").parse();
        if let (true, Ok(agent)) = (self.is_gateway(gateway, incarnation), index) {
            self.gateways[gateway].sessions.insert(session, agent);
            self.note(|| format!("session {} opens at gateway-{gateway}", session.0));
            self.gateway_event(gateway, GatewayEvent::AgentOpened { session, remote });
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
