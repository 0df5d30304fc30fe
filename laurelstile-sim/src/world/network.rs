//! Connections between nodes: in order, with latency; links that hold bytes
//! back in one or both directions; connections that are severed.

use std::collections::{BTreeMap, VecDeque};

use laurelstile_core::agent::AgentEvent;
use laurelstile_core::gateway::GatewayEvent;
use laurelstile_core::messages::agent::{
    FromAgent, FromAgentBody, Recovered, SlotReport, ToAgent, ToAgentBody,
};
use laurelstile_core::messages::peer::ToPeer;
use laurelstile_core::session::{Remote, SessionId};
use laurelstile_types::id::{BackendName, Incarnation};

use super::names::{agent_name, gateway_name};
use super::{REDIAL, Sabotage, SimEvent, World, kind_from_agent, kind_to_agent, kind_to_peer};

/// Time between two dials of an agent that does not listen, in microseconds.
const REFUSED_REDIAL: u64 = 500_000;

/// A link between two nodes; the first dials.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LinkKey {
    /// Gateway to agent.
    Agent(usize, usize),
    /// Gateway to gateway.
    Peer(usize, usize),
}

/// State of a link.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkState {
    pub(super) hold_forward: u32,
    pub(super) hold_back: u32,
}

/// A message on its way.
#[derive(Debug)]
pub enum SimMessage {
    /// To an agent.
    ToAgent(ToAgent),
    /// From an agent.
    FromAgent(FromAgent),
    /// To the peer that was dialed.
    PeerForward(ToPeer),
    /// To the peer that dialed.
    PeerBack(ToPeer),
}

impl SimMessage {
    fn is_forward(&self) -> bool {
        matches!(self, Self::ToAgent(_) | Self::PeerForward(_))
    }
}

/// A connection.
#[derive(Debug)]
struct Connection {
    link: LinkKey,
    dialer: Incarnation,
    dialed: Incarnation,
    last_forward: u64,
    last_back: u64,
    held: VecDeque<SimMessage>,
}

/// All connections and links. A connection's number is its session on both
/// sides.
#[derive(Debug)]
pub struct Network {
    latency: u64,
    next: u64,
    connections: BTreeMap<u64, Connection>,
    links: BTreeMap<LinkKey, LinkState>,
}

impl Network {
    pub(super) fn new(latency: u64) -> Self {
        Self {
            latency,
            next: 1,
            connections: BTreeMap::new(),
            links: BTreeMap::new(),
        }
    }

    fn state(&self, link: LinkKey) -> LinkState {
        self.links.get(&link).copied().unwrap_or_default()
    }

    fn connection_of(&self, link: LinkKey) -> Option<u64> {
        self.connections
            .iter()
            .find(|(_, connection)| connection.link == link)
            .map(|(number, _)| *number)
    }
}

impl World {
    pub(super) fn dial(&mut self, link: LinkKey) {
        if self.network.connection_of(link).is_some() {
            return;
        }
        let (dialer, dialed) = match link {
            LinkKey::Agent(gateway, agent) => (
                self.live_gateway(gateway),
                self.agents[agent]
                    .machine
                    .is_some()
                    .then_some((self.agents[agent].incarnation, self.agents[agent].frozen)),
            ),
            LinkKey::Peer(gateway, other) => (self.live_gateway(gateway), self.live_gateway(other)),
        };
        let Some((dialer, dialer_frozen)) = dialer else {
            self.schedule(self.now + REDIAL, SimEvent::Dial(link));
            return;
        };
        let state = self.network.state(link);
        let is_held = state.hold_forward + state.hold_back > 0;
        let Some((dialed, dialed_frozen)) = dialed else {
            if let LinkKey::Agent(gateway, agent) = link
                && !is_held
            {
                let backend = BackendName(agent_name(agent));
                let event = GatewayEvent::AgentConnectionRefused { backend };
                self.tell_gateway(gateway, dialer, event);
            }
            self.schedule(self.now + REFUSED_REDIAL, SimEvent::Dial(link));
            return;
        };
        // A hello over a link that holds, or with a frozen node, times out.
        if is_held || dialer_frozen || dialed_frozen {
            self.schedule(self.now + REDIAL, SimEvent::Dial(link));
            return;
        }
        self.open(link, dialer, dialed);
    }

    fn live_gateway(&self, index: usize) -> Option<(Incarnation, bool)> {
        let node = &self.gateways[index];
        node.machine
            .is_some()
            .then_some((node.incarnation, node.frozen))
    }

    fn open(&mut self, link: LinkKey, dialer: Incarnation, dialed: Incarnation) {
        let number = self.network.next;
        self.network.next += 1;
        self.network.connections.insert(
            number,
            Connection {
                link,
                dialer,
                dialed,
                last_forward: self.now,
                last_back: self.now,
                held: VecDeque::new(),
            },
        );
        let session = SessionId(number);
        match link {
            LinkKey::Agent(gateway, agent) => {
                let remote = Remote {
                    name: agent_name(agent),
                    incarnation: dialed,
                    uptime: self.agent_uptime(agent),
                };
                let opened = AgentEvent::Opened {
                    session,
                    gateway: dialer,
                };
                self.tell_agent(agent, dialed, opened);
                let opened = GatewayEvent::AgentOpened { session, remote };
                self.tell_gateway(gateway, dialer, opened);
            }
            LinkKey::Peer(one, other) => {
                for (index, remote_index, incarnation, remote) in
                    [(one, other, dialer, dialed), (other, one, dialed, dialer)]
                {
                    let remote = Remote {
                        name: gateway_name(remote_index),
                        incarnation: remote,
                        uptime: self.gateway_uptime(remote_index),
                    };
                    let opened = GatewayEvent::PeerOpened { session, remote };
                    self.tell_gateway(index, incarnation, opened);
                }
            }
        }
    }

    pub(super) fn send(&mut self, session: SessionId, message: SimMessage) {
        let kind = match &message {
            SimMessage::ToAgent(message) => kind_to_agent(message),
            SimMessage::FromAgent(message) => kind_from_agent(message),
            SimMessage::PeerForward(message) | SimMessage::PeerBack(message) => {
                kind_to_peer(message)
            }
        };
        self.count(kind);
        let latency = self.network.latency;
        let Some(connection) = self.network.connections.get_mut(&session.0) else {
            return;
        };
        let last = if message.is_forward() {
            &mut connection.last_forward
        } else {
            &mut connection.last_back
        };
        *last = (self.now + latency).max(*last);
        let at = *last;
        self.schedule(at, SimEvent::Deliver(session.0, message));
    }

    /// Sends to the other gateway of a session.
    pub(super) fn send_to_peer(&mut self, from: usize, session: SessionId, message: ToPeer) {
        let Some(connection) = self.network.connections.get(&session.0) else {
            return;
        };
        let forward = connection.link.dialer() == from;
        let message = if forward {
            SimMessage::PeerForward(message)
        } else {
            SimMessage::PeerBack(message)
        };
        self.send(session, message);
    }

    pub(super) fn deliver(&mut self, number: u64, message: SimMessage) {
        let Some(connection) = self.network.connections.get_mut(&number) else {
            return;
        };
        let state = self
            .network
            .links
            .get(&connection.link)
            .copied()
            .unwrap_or_default();
        let is_held = if message.is_forward() {
            state.hold_forward > 0
        } else {
            state.hold_back > 0
        };
        // What waits already goes first.
        let has_waiting = connection
            .held
            .iter()
            .any(|waiting| waiting.is_forward() == message.is_forward());
        if is_held || has_waiting {
            connection.held.push_back(message);
            return;
        }
        self.hand_over(number, message);
    }

    fn hand_over(&mut self, number: u64, message: SimMessage) {
        let Some(connection) = self.network.connections.get(&number) else {
            return;
        };
        let (link, dialer, dialed) = (connection.link, connection.dialer, connection.dialed);
        let session = SessionId(number);
        match (link, message) {
            (LinkKey::Agent(gateway, agent), SimMessage::ToAgent(message)) => {
                if self.answers_for_agent(gateway, dialer, session, &message)
                    || self.withholds(agent, &message)
                {
                    return;
                }
                self.tell_agent(agent, dialed, AgentEvent::Message { session, message });
            }
            (LinkKey::Agent(gateway, _), SimMessage::FromAgent(message)) => {
                let event = GatewayEvent::AgentMessage { session, message };
                self.tell_gateway(gateway, dialer, event);
            }
            (LinkKey::Peer(_, other), SimMessage::PeerForward(message)) => {
                let event = GatewayEvent::PeerMessage { session, message };
                self.tell_gateway(other, dialed, event);
            }
            (LinkKey::Peer(gateway, _), SimMessage::PeerBack(message)) => {
                let event = GatewayEvent::PeerMessage { session, message };
                self.tell_gateway(gateway, dialer, event);
            }
            _ => {}
        }
    }

    /// Without pushes an agent keeps the first revision that it was given.
    fn withholds(&self, agent: usize, message: &ToAgent) -> bool {
        let is_push = matches!(
            message.body,
            ToAgentBody::Revision(_) | ToAgentBody::Membership(_)
        );
        let machine = self.agents[agent].machine.as_ref();
        let has_one = machine.is_some_and(|machine| machine.revision_number() > 0);
        is_push && has_one && self.plan.sabotage == Some(Sabotage::NoPush)
    }

    /// Without recovery an agent's memory is never asked: everything counts
    /// as not started.
    fn answers_for_agent(
        &mut self,
        gateway: usize,
        incarnation: Incarnation,
        session: SessionId,
        message: &ToAgent,
    ) -> bool {
        let ToAgentBody::Recover(fences) = &message.body else {
            return false;
        };
        if self.plan.sabotage != Some(Sabotage::NoRecovery) {
            return false;
        }
        let answers = fences
            .iter()
            .map(|fence| Recovered {
                fence: *fence,
                tasks: Vec::new(),
            })
            .collect();
        let message = FromAgent {
            report: SlotReport::default(),
            body: FromAgentBody::Recovered(answers),
        };
        let event = GatewayEvent::AgentMessage { session, message };
        self.tell_gateway(gateway, incarnation, event);
        true
    }

    /// Closes a connection; both sides are told, and the dialer dials again.
    pub(super) fn close(&mut self, number: u64) {
        let Some(connection) = self.network.connections.remove(&number) else {
            return;
        };
        let session = SessionId(number);
        match connection.link {
            LinkKey::Agent(gateway, agent) => {
                let closed = GatewayEvent::AgentClosed { session };
                self.tell_gateway(gateway, connection.dialer, closed);
                self.tell_agent(agent, connection.dialed, AgentEvent::Closed { session });
            }
            LinkKey::Peer(one, other) => {
                let closed = GatewayEvent::PeerClosed { session };
                self.tell_gateway(one, connection.dialer, closed);
                let closed = GatewayEvent::PeerClosed { session };
                self.tell_gateway(other, connection.dialed, closed);
            }
        }
        self.schedule(self.now + REDIAL, SimEvent::Dial(connection.link));
    }

    pub(super) fn sever(&mut self, link: LinkKey) {
        if let Some(number) = self.network.connection_of(link) {
            self.close(number);
        }
    }

    pub(super) fn hold(&mut self, link: LinkKey, forward: bool, back: bool) {
        let state = self.network.links.entry(link).or_default();
        state.hold_forward += u32::from(forward);
        state.hold_back += u32::from(back);
    }

    /// Ends a hold; what waited is delivered in order.
    pub(super) fn let_go(&mut self, link: LinkKey, forward: bool, back: bool) {
        let state = self.network.links.entry(link).or_default();
        state.hold_forward -= u32::from(forward);
        state.hold_back -= u32::from(back);
        let Some(number) = self.network.connection_of(link) else {
            return;
        };
        let Some(connection) = self.network.connections.get_mut(&number) else {
            return;
        };
        for message in std::mem::take(&mut connection.held) {
            self.deliver(number, message);
        }
    }

    pub(super) fn close_connections_of_gateway(&mut self, index: usize) {
        self.close_where(|link| match link {
            LinkKey::Agent(gateway, _) => gateway == index,
            LinkKey::Peer(one, other) => one == index || other == index,
        });
    }

    pub(super) fn close_connections_of_agent(&mut self, index: usize) {
        self.close_where(|link| matches!(link, LinkKey::Agent(_, agent) if agent == index));
    }

    fn close_where(&mut self, chosen: impl Fn(LinkKey) -> bool) {
        let numbers: Vec<u64> = self
            .network
            .connections
            .iter()
            .filter(|(_, connection)| chosen(connection.link))
            .map(|(number, _)| *number)
            .collect();
        for number in numbers {
            self.close(number);
        }
    }
}

impl LinkKey {
    fn dialer(self) -> usize {
        match self {
            Self::Agent(gateway, _) | Self::Peer(gateway, _) => gateway,
        }
    }
}
