//! Several gateways with sessions to each other.

use laurelstile_core::leased::gateway::GatewayEvent;
use laurelstile_core::leased::gateway::job::JobRequest;
use laurelstile_core::leased::messages::{FromAgentBody, StartBatch};
use laurelstile_core::session::SessionId;
use laurelstile_types::time::Span;

use super::{GatewayRig, at, cpu, job};

/// Sessions between gateways are numbered from this, by the number of the gateway at the other end.
const FIRST_PEER_SESSION: u64 = 900;
/// Session of the agent of the first gateway; those of the others follow.
pub const FIRST_AGENT: u64 = 7;
/// When the caller submits the job again: its connection broke after 100 ms.
pub const RESUBMITTED_MILLIS: u64 = 1_400;

/// Gateways with sessions to each other, and an agent each.
pub struct Gateways {
    /// The gateways, by number.
    pub rigs: Vec<GatewayRig>,
    links: Vec<(usize, usize)>,
}

impl Gateways {
    /// `count` gateways, each with sessions to all others.
    pub fn new(count: usize) -> Self {
        let pairs = (0..count).flat_map(|one| (0..one).map(move |other| (one, other)));
        Self::linked(count, pairs.collect())
    }

    /// `count` gateways with sessions between these pairs.
    pub fn linked(count: usize, links: Vec<(usize, usize)>) -> Self {
        let named = |number: usize| GatewayRig::named(&format!("gateway-{number}"));
        let mut gateways = Self {
            rigs: (0..count).map(named).collect(),
            links,
        };
        for (one, other) in gateways.links.clone() {
            gateways.rigs[one].open_peer(at(1), session_to(other));
            gateways.rigs[other].open_peer(at(1), session_to(one));
        }
        gateways.deliver(1);
        for (number, rig) in gateways.rigs.iter_mut().enumerate() {
            rig.join(
                at(2),
                agent_of(number),
                &format!("agent-{number}"),
                cpu(1_000),
            );
        }
        gateways
    }

    /// Delivers messages between gateways until there are none.
    pub fn deliver(&mut self, millis: u64) {
        while self.deliver_once(millis) > 0 {}
    }

    /// Delivers the messages that wait at each gateway in turn; returns their number.
    pub fn deliver_once(&mut self, millis: u64) -> usize {
        let mut delivered = 0;
        for from in 0..self.rigs.len() {
            for (session, message) in std::mem::take(&mut self.rigs[from].to_peers) {
                let to = usize::try_from(session.0 - FIRST_PEER_SESSION).expect("a gateway");
                self.rigs[to].peer_message(at(millis), session_to(from), message);
                delivered += 1;
            }
        }
        delivered
    }

    /// Lets time pass; agents and gateways exchange their messages.
    pub fn pass_time(&mut self, from_millis: u64, to_millis: u64) {
        for millis in (from_millis..to_millis).step_by(50) {
            self.hear_agents(millis);
            self.deliver(millis);
        }
    }

    /// Lets time pass at one gateway, which gets no messages of others.
    pub fn pass_time_at(&mut self, number: usize, from_millis: u64, to_millis: u64) {
        for millis in (from_millis..to_millis).step_by(50) {
            let heartbeat = FromAgentBody::Heartbeat;
            self.rigs[number].report(at(millis), agent_of(number), 0, cpu(1_000), heartbeat);
        }
    }

    /// All agents report that they are alive.
    pub fn hear_agents(&mut self, millis: u64) {
        for (number, rig) in self.rigs.iter_mut().enumerate() {
            let heartbeat = FromAgentBody::Heartbeat;
            rig.report(at(millis), agent_of(number), 0, cpu(1_000), heartbeat);
        }
    }

    /// Submits a job to the first gateway, which starts its task.
    pub fn submit_to_first(&mut self) -> (SessionId, StartBatch) {
        self.rigs[0].submit(at(10), 1, job(1, 1, 3_000));
        self.rigs[0].next_start()
    }

    /// The job runs at the first gateway, which does not notice that its caller has gone, and is
    /// submitted to the gateway `to`.
    pub fn resubmit(&mut self, to: usize) -> (SessionId, StartBatch) {
        let first_run = self.submit_to_first();
        self.pass_time(20, RESUBMITTED_MILLIS);
        self.rigs[to].submit(at(RESUBMITTED_MILLIS), 1, job(1, 1, 1_000));
        first_run
    }

    /// All sessions between the first two gateways close.
    pub fn separate(&mut self, millis: u64) {
        for number in [0, 1] {
            let session = session_to(1 - number);
            self.rigs[number].event(at(millis), GatewayEvent::PeerClosed { session });
            self.rigs[number].to_peers.clear();
        }
    }

    /// The first two gateways open sessions to each other.
    pub fn reconnect(&mut self, millis: u64) {
        for number in [0, 1] {
            self.rigs[number].to_peers.clear();
            self.rigs[number].open_peer(at(millis), session_to(1 - number));
        }
        self.deliver(millis);
    }

    /// Number of batches that a gateway has sent to its agent.
    pub fn starts_at(&self, number: usize) -> usize {
        self.rigs[number].starts.len()
    }
}

/// The session of a gateway to the gateway of this number.
pub fn session_to(number: usize) -> SessionId {
    SessionId(FIRST_PEER_SESSION + u64::try_from(number).expect("a small number"))
}

/// The session of the agent of a gateway.
pub fn agent_of(number: usize) -> u64 {
    FIRST_AGENT + u64::try_from(number).expect("a small number")
}

/// A job whose caller waits for `seconds`.
pub fn patient_job(estimate_millis: u64, seconds: u64) -> JobRequest {
    let mut request = job(1, 1, estimate_millis);
    request.time_left = Span::from_secs(seconds);
    request
}
