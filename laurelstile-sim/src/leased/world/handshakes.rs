//! Sessions whose handshakes take time step by step, each connection with delays of its own, and
//! whose ends reach the other side behind what was sent before.

use std::collections::BTreeMap;

use laurelstile_core::leased::agent::AgentEvent;
use laurelstile_core::session::{Remote, SessionId};
use laurelstile_types::id::Incarnation;
use laurelstile_types::time::Span;
use rand::Rng;

use super::super::faults::Sabotage;
use super::{Happening, World};

/// Pause between two dials of an address.
pub(super) const REDIAL: u64 = 25_000;
/// Time limit of a dial, with the hello.
const DIAL_LIMIT: u64 = 600_000;
/// Time limit of a handshake at the gateway.
const HANDSHAKE_LIMIT: u64 = 5_000_000;
/// Longest delay of each step before the last.
const LONGEST_STEP: u64 = 200_000;
/// How long the seed address of a gateway is dialed after the start of an agent, and after a time
/// without any session.
const SEED_SPAN: u64 = 1_500_000;
/// Latest end of a session at the gateway once its agent's process was killed.
const NOTICE: u64 = 1_000;

/// How sessions are opened.
#[derive(Clone, Copy, Debug)]
pub struct HandshakeDelays {
    /// Whether each gateway is dialed by two addresses.
    pub has_two_addresses: bool,
    /// Whether the second address is dialed at all times. Otherwise an agent releases it once it is
    /// connected.
    pub keeps_second_address: bool,
    /// One in so many steps of a handshake is delayed.
    pub one_in: u32,
    /// Longest delay of the last step.
    pub longest: u64,
    /// When the last delays and the last dials of a second address begin.
    pub until: u64,
}

/// An address of a gateway, as an agent dials it.
type Address = (usize, usize, usize);

/// A dial of an address, or the session that it has opened.
#[derive(Debug)]
struct Dial {
    session: SessionId,
    agent: Incarnation,
    remote: Remote,
    /// When the gateway gives up.
    gateway_limit: u64,
}

/// The dials of all agents.
#[derive(Debug)]
pub struct Handshakes {
    delays: HandshakeDelays,
    dials: BTreeMap<Address, Dial>,
    /// Until when each direction of a session is held after a cut.
    held: BTreeMap<(SessionId, bool), u64>,
    /// When each agent was last without a session.
    unconnected_at: BTreeMap<usize, u64>,
}

impl Handshakes {
    pub fn new(delays: HandshakeDelays) -> Self {
        Self {
            delays,
            dials: BTreeMap::new(),
            held: BTreeMap::new(),
            unconnected_at: BTreeMap::new(),
        }
    }

    fn address_of(&self, session: SessionId) -> Option<Address> {
        let mut dials = self.dials.iter();
        dials
            .find(|(_, dial)| dial.session == session)
            .map(|(address, _)| *address)
    }

    /// The address of a session or dial that has ended is free to be dialed again.
    pub(super) fn forget(&mut self, session: SessionId) {
        if let Some(address) = self.address_of(session) {
            self.dials.remove(&address);
        }
    }
}

impl World {
    /// An agent dials all addresses to which it has no session.
    pub(super) fn dial_in_steps(&mut self, agent: usize) {
        let started = self.agents[agent].started;
        let is_unconnected = self.agents[agent].sessions.is_empty();
        let (now, of) = (self.now, self.agents[agent].incarnation);
        let Some(handshakes) = &mut self.handshakes else {
            return;
        };
        // Those of earlier processes.
        let is_current = |address: &Address, dial: &Dial| address.0 != agent || dial.agent == of;
        handshakes
            .dials
            .retain(|address, dial| is_current(address, dial));
        if is_unconnected {
            handshakes.unconnected_at.insert(agent, now);
        }
        let unconnected_at = handshakes.unconnected_at.get(&agent).copied();
        let since = unconnected_at.unwrap_or(started).max(started);
        let delays = handshakes.delays;
        let is_second_dialed = delays.has_two_addresses
            && now < delays.until
            && (delays.keeps_second_address || now - since < SEED_SPAN);
        let addresses = 1 + usize::from(is_second_dialed);
        for gateway in 0..self.gateways.len() {
            for address in 0..addresses {
                self.dial_address((agent, gateway, address));
            }
        }
    }

    fn dial_address(&mut self, address: Address) {
        let (agent, gateway, _) = address;
        let is_dialed = self
            .handshakes
            .as_ref()
            .is_none_or(|handshakes| handshakes.dials.contains_key(&address));
        if is_dialed || self.is_link_cut(agent, gateway) || self.is_dial_refused(agent, gateway) {
            return;
        }
        let other = &self.gateways[gateway];
        if !other.is_up || other.frozen_until > self.now {
            if !other.is_up && other.refuses {
                let gateway = other.incarnation;
                self.agent_event(agent, AgentEvent::GatewayEnded { gateway });
            }
            return;
        }
        let to = other.incarnation;
        let session = SessionId(self.fresh());
        let connecting = self.step_delay(LONGEST_STEP);
        let hello = self.step_delay(LONGEST_STEP);
        let answer = self.step_delay(LONGEST_STEP);
        let hello_sent_at = self.now + connecting;
        let process = &self.agents[agent];
        let dial = Dial {
            session,
            agent: process.incarnation,
            remote: Remote {
                name: format!("agent-{agent}"),
                incarnation: process.incarnation,
                uptime: Span(hello_sent_at - process.started),
            },
            gateway_limit: hello_sent_at + hello + HANDSHAKE_LIMIT,
        };
        let opens = Happening::AgentSessionOpens(agent, dial.agent, session, to);
        self.schedule(
            self.now + (connecting + hello + answer).min(DIAL_LIMIT),
            opens,
        );
        if let Some(handshakes) = &mut self.handshakes {
            handshakes.dials.insert(address, dial);
        }
    }

    /// How long a step of a handshake takes.
    fn step_delay(&mut self, longest: u64) -> u64 {
        let delays = self.handshakes.as_ref().map(|handshakes| handshakes.delays);
        let delays = delays.filter(|delays| self.now < delays.until);
        let is_delayed = delays.is_some_and(|delays| self.random.random_ratio(1, delays.one_in));
        if !is_delayed {
            return self.random.random_range(200..1_500);
        }
        // Short delays as often as long ones.
        let longest = match self.random.random_range(0..3) {
            0 => longest.min(50_000),
            1 => longest.min(500_000),
            _ => longest,
        };
        self.random.random_range(1_500..longest)
    }

    /// The answer to an agent's hello arrives: it sends the last message of the handshake, and takes
    /// the session for open.
    pub(super) fn hello_answered(
        &mut self,
        agent: usize,
        of: Incarnation,
        session: SessionId,
        to: Incarnation,
    ) {
        let handshakes = self.handshakes.as_mut();
        let Some((gateway, remote, limit)) = handshakes.and_then(|handshakes| {
            let address = handshakes.address_of(session)?;
            let dial = handshakes.dials.get(&address)?;
            Some((address.1, dial.remote.clone(), dial.gateway_limit))
        }) else {
            return;
        };
        let is_answered = self.gateways[gateway].incarnation == to && self.gateways[gateway].is_up;
        let is_waited_for = self.agents[agent].incarnation == of && self.agents[agent].is_up;
        if !is_answered || !is_waited_for {
            if let Some(handshakes) = &mut self.handshakes {
                handshakes.forget(session);
            }
            return;
        }
        let longest = self
            .handshakes
            .as_ref()
            .map_or(0, |handshakes| handshakes.delays.longest);
        let way = self.step_delay(longest);
        let at = (self.free_from(agent, gateway, session, true) + way).min(limit);
        self.last_delivery.insert((session, true), at);
        self.opening.insert(session, at);
        let opens = Happening::GatewaySessionOpens(gateway, to, session, remote);
        self.schedule(at, opens);
        self.agents[agent].sessions.insert(session, gateway);
        let gateway = to;
        self.agent_event(agent, AgentEvent::Opened { session, gateway });
    }

    /// The last message of a handshake arrives at a gateway.
    pub(super) fn last_step_arrives(
        &mut self,
        gateway: usize,
        incarnation: Incarnation,
        session: SessionId,
        remote: &mut Remote,
    ) {
        let index = remote.name.trim_start_matches("agent-").parse();
        let Ok(agent): Result<usize, _> = index else {
            return;
        };
        let process = &self.gateways[gateway];
        if process.incarnation != incarnation || !process.is_up {
            self.agent_hears_of_end(agent, session);
            return;
        }
        if self.sabotage == Some(Sabotage::NoSessionOrder) {
            remote.uptime = Span(self.now);
        }
        self.gateways[gateway].sessions.insert(session, agent);
    }

    /// A gateway has closed a session: its agent learns of it behind what was sent before.
    pub(super) fn agent_hears_of_end(&mut self, agent: usize, session: SessionId) {
        if self.handshakes.is_none() {
            return;
        }
        let of = self.agents[agent].incarnation;
        let at = self.behind_what_was_sent(session, false);
        self.schedule(at, Happening::AgentSessionEnds(agent, of, session));
    }

    /// An agent has closed a session, or was killed: the gateway learns of it behind what was sent
    /// before.
    pub(super) fn gateway_hears_of_end(&mut self, gateway: usize, session: SessionId) {
        if let Some(handshakes) = &mut self.handshakes {
            handshakes.forget(session);
            let to = self.gateways[gateway].incarnation;
            let at = self.behind_what_was_sent(session, true);
            self.schedule(at, Happening::GatewaySessionEnds(gateway, to, session));
        }
    }

    /// When a gateway hears of the end of a session whose agent's process was killed.
    pub(super) fn end_heard_at(&mut self, session: SessionId) -> u64 {
        let is_reset = self.handshakes.is_none() || self.random.random_ratio(1, 4);
        if is_reset {
            return self.now + NOTICE;
        }
        self.behind_what_was_sent(session, true)
    }

    fn behind_what_was_sent(&mut self, session: SessionId, is_to_gateway: bool) -> u64 {
        let latency = self.random.random_range(200..1_500);
        let last = self.last_delivery.get(&(session, is_to_gateway));
        (self.now + latency).max(last.map_or(0, |at| at + 1))
    }

    /// When a message that is sent now passes a cut. Each direction of a connection goes on at a
    /// time of its own after a cut, as its sender repeats what was lost at growing intervals.
    pub(super) fn free_from(
        &mut self,
        agent: usize,
        gateway: usize,
        session: SessionId,
        is_to_gateway: bool,
    ) -> u64 {
        let now = self.now;
        let cut_until = self.cuts.get(&(agent, gateway)).copied().unwrap_or(0);
        let cut_until = cut_until.max(self.way_cut_until(agent, gateway, is_to_gateway));
        let Some(handshakes) = &mut self.handshakes else {
            return now.max(cut_until);
        };
        let held = handshakes.held.entry((session, is_to_gateway)).or_default();
        if cut_until > now && *held < cut_until {
            *held = cut_until + self.random.random_range(0..=cut_until - now);
        }
        now.max(*held)
    }
}
