//! Links between gateways and agents: dialing, cuts, latency, and rates.

use laurelstile_core::leased::agent::AgentEvent;
use laurelstile_core::leased::gateway::GatewayEvent;
use laurelstile_core::leased::messages::ToAgentBody;
use laurelstile_core::session::{Remote, SessionId};
use laurelstile_types::time::Span;
use rand::Rng;

use super::{Happening, USER_TIMEOUT, World, handshakes};

/// Pause between two dials.
const REDIAL: u64 = 100_000;
/// Bytes of a message that carries no input, with its frame and packet.
const SMALL_MESSAGE: u64 = 90;
/// Bytes of a call besides its input.
const CALL_BYTES: u64 = 500;

/// The gateways' links, each with a queue that has no bound.
#[derive(Debug)]
pub struct ThinLinks {
    bytes_per_second: u64,
    /// Until when each gateway's link is busy: to the gateway, and from it.
    busy_until: Vec<[u64; 2]>,
}

impl ThinLinks {
    /// Links of so many gateways.
    pub fn new(bytes_per_second: u64, gateways: usize) -> Self {
        Self {
            bytes_per_second,
            busy_until: vec![[0; 2]; gateways],
        }
    }

    /// When bytes that join a queue at `at` have passed.
    fn carry(&mut self, gateway: usize, is_to_gateway: bool, at: u64, bytes: u64) -> u64 {
        let busy_until = &mut self.busy_until[gateway][usize::from(is_to_gateway)];
        *busy_until = at.max(*busy_until) + bytes * 1_000_000 / self.bytes_per_second;
        *busy_until
    }
}

/// Bytes that something takes on a link.
fn bytes_of(happening: &Happening) -> u64 {
    match happening {
        Happening::ToAgent(_, _, _, message) => match &message.body {
            ToAgentBody::Start(batch) => batch.bytes(),
            _ => SMALL_MESSAGE,
        },
        Happening::Request(_, _, _, request) => CALL_BYTES + request.input.as_str().len() as u64,
        _ => SMALL_MESSAGE,
    }
}

impl World {
    /// When a call that leaves its caller now reaches a gateway.
    pub(super) fn call_arrives(&mut self, gateway: usize, call: &Happening) -> u64 {
        let now = self.now;
        self.thin_links
            .as_mut()
            .map_or(now, |thin| thin.carry(gateway, true, now, bytes_of(call)))
    }

    /// Sends a message over a session: in order, after the latency, or when
    /// its link heals; if that takes too long, the session ends.
    pub(super) fn transmit(
        &mut self,
        agent: usize,
        gateway: usize,
        session: SessionId,
        is_to_gateway: bool,
        happening: Happening,
    ) {
        let latency = self.random.random_range(200..1_500);
        let mut sent = self.free_from(agent, gateway, session, is_to_gateway);
        if sent - self.now > USER_TIMEOUT {
            let at = self.now + USER_TIMEOUT;
            let (a, g) = (
                self.agents[agent].incarnation,
                self.gateways[gateway].incarnation,
            );
            self.schedule(at, Happening::AgentSessionEnds(agent, a, session));
            self.schedule(at, Happening::GatewaySessionEnds(gateway, g, session));
            return;
        }
        if let Some(thin) = &mut self.thin_links {
            sent = thin.carry(gateway, is_to_gateway, sent, bytes_of(&happening));
        }
        let last = self
            .last_delivery
            .entry((session, is_to_gateway))
            .or_default();
        let at = (sent + latency).max(*last);
        *last = at;
        self.schedule(at, happening);
    }

    pub(super) fn dial(&mut self, index: usize) {
        let is_in_steps = self.handshakes.is_some();
        let pause = if is_in_steps {
            handshakes::REDIAL
        } else {
            REDIAL
        };
        self.schedule(self.now + pause, Happening::Dial(index));
        if !self.agents[index].is_up {
            return;
        }
        if is_in_steps {
            self.dial_in_steps(index);
            return;
        }
        for gateway in 0..self.gateways.len() {
            let is_cut = self.is_link_cut(index, gateway);
            let has_session = self.agents[index]
                .sessions
                .values()
                .any(|to| *to == gateway);
            if is_cut || has_session {
                continue;
            }
            if self.is_dial_refused(index, gateway) {
                continue;
            }
            let other = &self.gateways[gateway];
            if other.is_up && other.frozen_until <= self.now {
                self.connect(index, gateway);
            } else if other.refuses {
                let gateway = other.incarnation;
                self.agent_event(index, AgentEvent::GatewayEnded { gateway });
            }
        }
    }

    fn connect(&mut self, index: usize, gateway: usize) {
        self.disrupt_soon(index, gateway);
        let session = SessionId(self.fresh());
        let incarnation = self.agents[index].incarnation;
        let remote = Remote {
            name: format!("agent-{index}"),
            incarnation,
            uptime: Span(self.now - self.agents[index].started),
        };
        self.agents[index].sessions.insert(session, gateway);
        self.gateways[gateway].sessions.insert(session, index);
        if self.open_late(index, gateway, session, &remote) {
            return;
        }
        let to = self.gateways[gateway].incarnation;
        self.gateway_event(gateway, GatewayEvent::AgentOpened { session, remote });
        let opened = AgentEvent::Opened {
            session,
            gateway: to,
        };
        self.agent_event(index, opened);
    }
}
