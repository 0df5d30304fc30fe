//! Sessions that are reset and refused, agents that fail unnoticed, and delayed handshakes.

use laurelstile_core::leased::agent::AgentEvent;
use laurelstile_core::leased::gateway::GatewayEvent;
use laurelstile_core::session::{Remote, SessionId};
use laurelstile_types::id::Incarnation;
use rand::Rng;

use super::{Happening, USER_TIMEOUT, World};

/// How soon a side notices that a session was reset, in microseconds.
const NOTICE: u64 = 1_000;
/// One in so many gateways notices the reset only by the time-out of its connection.
const UNNOTICED_ONE_IN: u32 = 4;
/// Longest way of a delayed handshake.
const LONGEST_HANDSHAKE: u64 = 1_500_000;

/// A gateway that refuses the connections of an agent.
#[derive(Debug)]
pub struct Refusal {
    until: u64,
    /// The process to which the agent had a session, until the agent is told of its end.
    last_gateway: Option<Incarnation>,
}

impl World {
    /// An agent's sessions to a gateway are reset, and its dials are refused until `end`; both
    /// processes live.
    pub(super) fn refuse_sessions(&mut self, agent: usize, gateway: usize, end: u64) {
        let (of, to) = (
            self.agents[agent].incarnation,
            self.gateways[gateway].incarnation,
        );
        let mut sessions = self.agents[agent].sessions.clone();
        sessions.retain(|_, index| *index == gateway);
        let last_gateway = (!sessions.is_empty()).then_some(to);
        for session in sessions.into_keys() {
            let is_unnoticed = self.random.random_ratio(1, UNNOTICED_ONE_IN);
            let notice = if is_unnoticed { USER_TIMEOUT } else { NOTICE };
            let ends = Happening::AgentSessionEnds(agent, of, session);
            self.schedule(self.now + NOTICE, ends);
            let ends = Happening::GatewaySessionEnds(gateway, to, session);
            self.schedule(self.now + notice, ends);
        }
        let refusal = Refusal {
            until: end,
            last_gateway,
        };
        self.refusals.insert((agent, gateway), refusal);
    }

    /// Whether a gateway refuses a dial now; an agent whose session has ended takes the first
    /// refusal for the end of the process.
    pub(super) fn is_dial_refused(&mut self, agent: usize, gateway: usize) -> bool {
        let now = self.now;
        let Some(refusal) = self.refusals.get_mut(&(agent, gateway)) else {
            return false;
        };
        if refusal.until <= now {
            self.refusals.remove(&(agent, gateway));
            return false;
        }
        if let Some(gateway) = refusal.last_gateway.take() {
            self.agent_event(agent, AgentEvent::GatewayEnded { gateway });
        }
        true
    }

    /// An agent's process fails, and its gateways do not learn of it; it starts again at `end`.
    pub(super) fn darken_agent(&mut self, index: usize, end: u64) {
        self.agents[index].is_up = false;
        let sessions = std::mem::take(&mut self.agents[index].sessions);
        for (session, gateway) in sessions {
            let to = self.gateways[gateway].incarnation;
            let ends = Happening::GatewaySessionEnds(gateway, to, session);
            self.schedule(self.now + USER_TIMEOUT, ends);
        }
        self.schedule(end, Happening::RestartAgent(index));
    }

    /// Opens a session whose handshake is delayed: each side handles it at a time of its own.
    /// Returns whether it does.
    pub(super) fn open_late(
        &mut self,
        agent: usize,
        gateway: usize,
        session: SessionId,
        remote: &Remote,
    ) -> bool {
        let is_delayed = self
            .handshakes_delayed_until
            .get(&agent)
            .is_some_and(|until| *until > self.now);
        if !is_delayed {
            return false;
        }
        let of = self.agents[agent].incarnation;
        let to = self.gateways[gateway].incarnation;
        let at_gateway = self.now + self.random.random_range(NOTICE..LONGEST_HANDSHAKE);
        let at_agent = self.now + self.random.random_range(NOTICE..LONGEST_HANDSHAKE);
        self.last_delivery.insert((session, true), at_gateway);
        self.last_delivery.insert((session, false), at_agent);
        self.opening.insert(session, at_gateway);
        let opens = Happening::GatewaySessionOpens(gateway, to, session, remote.clone());
        self.schedule(at_gateway, opens);
        let opens = Happening::AgentSessionOpens(agent, of, session, to);
        self.schedule(at_agent, opens);
        true
    }

    pub(super) fn gateway_session_opens(
        &mut self,
        gateway: usize,
        incarnation: Incarnation,
        session: SessionId,
        mut remote: Remote,
    ) {
        if self.handshakes.is_some() {
            self.last_step_arrives(gateway, incarnation, session, &mut remote);
        }
        if self.gateways[gateway].incarnation == incarnation && self.gateways[gateway].is_up {
            self.gateway_event(gateway, GatewayEvent::AgentOpened { session, remote });
        }
    }

    pub(super) fn agent_session_opens(
        &mut self,
        agent: usize,
        incarnation: Incarnation,
        session: SessionId,
        gateway: Incarnation,
    ) {
        if self.handshakes.is_some() {
            self.hello_answered(agent, incarnation, session, gateway);
            return;
        }
        let process = &self.agents[agent];
        if process.incarnation == incarnation && process.sessions.contains_key(&session) {
            self.agent_event(agent, AgentEvent::Opened { session, gateway });
        }
    }

    /// When a gateway has opened a session whose end it may learn of before, if it has not yet.
    pub(super) fn opens_at(&self, session: SessionId) -> Option<u64> {
        let opens_at = self.opening.get(&session).copied();
        opens_at.filter(|at| *at >= self.now)
    }
}
