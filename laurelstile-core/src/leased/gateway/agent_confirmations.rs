//! Which cancellations agents have confirmed, and which agents cannot be asked.

use std::collections::{BTreeMap, BTreeSet};

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::LeasedGateway;
use crate::leased::redial::{DIAL_TIMEOUT, MAX_REDIAL_DELAY};
use crate::leased::timing::MAX_JOB_TIME;

/// Time without a confirmation or a session after which an agent is not waited for. Agents answer at
/// once, and reconnect within some 25 ms if their gateway answers.
const SILENT_AFTER: Span = Span::from_millis(300);
/// How long an agent without a session is taken to be running beyond a network partition. Jobs that
/// were submitted before it was lost have ended by then.
const LOST_AGENT_RETENTION: Span = MAX_JOB_TIME;
/// Time during which agents may not have connected yet to a gateway that can be reached: twice the
/// longest pause between the dials of an address, with the time-out of a dial.
pub(super) const FIRST_SESSIONS_TIME: Span = Span(2 * (MAX_REDIAL_DELAY.0 + DIAL_TIMEOUT.0));

/// Whether a cancellation is known to an agent, or to several together, so that they start nothing of the
/// job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Coverage {
    /// It is confirmed.
    Complete,
    /// What is missing is likely to be confirmed soon.
    Pending,
    /// An agent cannot be reached, or does not answer.
    Incomplete,
}

/// The confirmations of an agent process, by position: cancellations are numbered in the order in which
/// the gateway tells them to its agents.
#[derive(Debug, Default)]
pub struct AgentConfirmations {
    /// Whether the agent confirms cancellations; `None` before its first message on this session. Agents
    /// of older versions do not, and count as if they confirmed what was sent to them.
    is_supported: Option<bool>,
    /// Position up to which cancellations were sent on this session, or confirmed before.
    sent: u64,
    /// Position up to which the agent has confirmed all cancellations.
    confirmed: u64,
    /// When the session was opened, a position was sent after a confirmed one, or one was confirmed,
    /// whichever was last.
    waiting_since: Timestamp,
}

impl AgentConfirmations {
    /// A session is opened. What was sent on earlier ones may be lost.
    pub fn open(&mut self, now: Timestamp) {
        self.is_supported = None;
        self.sent = self.confirmed;
        self.waiting_since = now;
    }

    /// All cancellations up to `position` were sent.
    pub fn record_sent(&mut self, now: Timestamp, position: u64) {
        if self.sent == self.confirmed {
            self.waiting_since = now;
        }
        self.sent = position;
    }

    /// The agent sent a message, with the position that it confirms, if any.
    pub fn on_message(&mut self, now: Timestamp, confirmed: Option<u64>) {
        let Some(confirmed) = confirmed else {
            self.is_supported.get_or_insert(false);
            return;
        };
        self.is_supported = Some(true);
        if confirmed > self.confirmed {
            self.confirmed = confirmed;
            self.waiting_since = now;
        }
    }

    /// Whether the agent knows all cancellations up to `position`.
    pub fn coverage(&self, now: Timestamp, position: u64) -> Coverage {
        let known = if self.is_supported == Some(false) {
            self.sent
        } else {
            self.confirmed
        };
        if known >= position {
            Coverage::Complete
        } else if now.since(self.waiting_since) <= SILENT_AFTER {
            Coverage::Pending
        } else {
            Coverage::Incomplete
        }
    }
}

/// Agents that had a session to this gateway and may be running without one, by name.
#[derive(Debug, Default)]
pub struct LostAgents {
    lost_at: BTreeMap<String, Timestamp>,
}

impl LostAgents {
    /// The last session of an agent that has not announced its end has closed.
    pub fn record_lost(&mut self, now: Timestamp, name: String) {
        let is_retained = |at: &Timestamp| now.since(*at) <= LOST_AGENT_RETENTION;
        self.lost_at.retain(|_, at| is_retained(at));
        self.lost_at.insert(name, now);
    }

    /// A process of the agent has opened a session.
    pub fn record_found(&mut self, name: &str) {
        self.lost_at.remove(name);
    }

    /// Number of agents that may be running without a session.
    pub fn count(&self, now: Timestamp) -> usize {
        self.coverages(now).count()
    }

    /// Whether a cancellation may reach each of them soon.
    fn coverages(&self, now: Timestamp) -> impl Iterator<Item = Coverage> {
        let silences = self.lost_at.values().map(move |at| now.since(*at));
        let retained = silences.filter(|silence| *silence <= LOST_AGENT_RETENTION);
        retained.map(|silence| match silence <= SILENT_AFTER {
            true => Coverage::Pending,
            false => Coverage::Incomplete,
        })
    }
}

impl LeasedGateway {
    /// Records that the session of an agent process has closed, unless another one of the same name has a
    /// session.
    pub(super) fn record_agent_lost(&mut self, now: Timestamp, agent: Incarnation) {
        let Some(worker) = self.workers.get(&agent) else {
            return;
        };
        let mut others = self.workers.values();
        let is_connected = others.any(|other| other.name == worker.name && other.session.is_some());
        if !worker.is_ending && !is_connected {
            self.lost_agents.record_lost(now, worker.name.clone());
        }
        self.cancel_rounds.request_review();
    }

    /// Records when this gateway first has sessions to all other gateways that it knows.
    pub(super) fn record_met_gateways(&mut self, now: Timestamp) {
        let others = self.membership.members().count() - 1;
        if self.met_gateways_at.is_some()
            || self.peers.len() < others
            || self.membership.digest_of_others().is_none()
        {
            return;
        }
        let names = self.peers.values().filter_map(|peer| peer.name.as_ref());
        let names: BTreeSet<&String> = names.collect();
        if names.len() >= others {
            self.met_gateways_at = Some(now);
        }
    }

    /// Whether all agents have had the time to connect to this gateway, and any has. A gateway that has
    /// never met the others may have started beyond a network partition, and know only the agents there.
    pub(super) fn knows_agents(&self, now: Timestamp) -> bool {
        let has_met_gateways = self
            .met_gateways_at
            .is_some_and(|at| now.since(at) >= FIRST_SESSIONS_TIME);
        has_met_gateways && !self.agent_sessions.is_empty()
    }

    /// Whether more than half of the agents that this gateway knows have confirmed the cancellations up to
    /// `position`. Not on the small side of a network partition: a job that is held there may have been
    /// submitted again on the other side.
    pub(super) fn majority_coverage(&self, now: Timestamp, position: u64) -> Coverage {
        let workers = self.workers.values();
        let connected = workers.filter(|worker| worker.session.is_some() && !worker.is_ending);
        let coverage = connected.map(|worker| worker.confirmations.coverage(now, position));
        let mut coverage: Vec<Coverage> = coverage.collect();
        coverage.extend(self.lost_agents.coverages(now));
        coverage.sort_unstable();
        let middle = coverage.get(coverage.len() / 2).copied();
        middle.unwrap_or(Coverage::Incomplete)
    }

    /// Whether all agents that this gateway knows have confirmed the cancellations up to `position`.
    pub(super) fn agent_coverage(&self, now: Timestamp, position: u64) -> Coverage {
        let workers = self.workers.values();
        let connected = workers.filter(|worker| worker.session.is_some() && !worker.is_ending);
        let coverage = connected.map(|worker| worker.confirmations.coverage(now, position));
        let coverage = coverage.chain(self.lost_agents.coverages(now));
        coverage.max().unwrap_or(Coverage::Complete)
    }
}
