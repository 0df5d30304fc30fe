//! Selection of the gateways to which an agent keeps sessions.
//!
//! Each change of a worker's resources is sent to every gateway with a session, so with sessions
//! between all gateways and agents the messages would grow with the product of both. An agent
//! therefore keeps sessions to a subset: gateways of its own zone first, and some of other zones,
//! so that its worker can run tasks of zones that have too few resources, or of any zone if its own
//! loses its gateways. The subset is chosen by [`rank`](super::rank), which spreads agents evenly
//! over gateways and moves few sessions when a gateway joins or leaves.

use std::collections::{BTreeMap, BTreeSet};

use laurelstile_types::time::Timestamp;

use super::super::messages::{CandidateSummary, FromAgent, FromAgentBody, Member};
use super::rank::{self, Candidates, OTHER_ZONE_SESSIONS, OWN_ZONE_SESSIONS, affinity};

/// Up to this many known gateways, all of them are wanted.
const ALL_SESSIONS: usize = OWN_ZONE_SESSIONS + OTHER_ZONE_SESSIONS;

/// A gateway that an agent knows.
#[derive(Clone, Debug)]
struct KnownGateway {
    member: Member,
    /// Since when it has been wanted and not connected.
    unconnected_since: Option<Timestamp>,
}

/// Gateways selected in the agent's zone, or in other zones.
#[derive(Debug)]
struct Selection {
    names: Vec<String>,
    /// How many of them need no substitute.
    answering: usize,
}

/// The gateways that an agent knows, and its selection among them.
#[derive(Debug)]
pub struct Subset {
    /// Name of the agent.
    name: String,
    zone: String,
    known: BTreeMap<String, KnownGateway>,
    /// Names of the gateways with a session, including seeds that no list has named yet.
    connected: BTreeSet<String>,
}

impl Subset {
    /// The subset of an agent that knows no gateway.
    pub fn new(name: String, zone: String) -> Self {
        Self {
            name,
            zone,
            known: BTreeMap::new(),
            connected: BTreeSet::new(),
        }
    }

    /// Adds gateways. A known name with a new address replaces the old entry.
    pub fn add_members(&mut self, members: Vec<Member>) {
        for member in members {
            let is_new_or_moved = self
                .known
                .get(&member.name)
                .is_none_or(|known| known.member.address != member.address);
            if is_new_or_moved {
                let known = KnownGateway {
                    member,
                    unconnected_since: None,
                };
                self.known.insert(known.member.name.clone(), known);
            }
        }
    }

    /// The first message of a session to a gateway, with the summary by which the gateway decides
    /// which candidates to send.
    pub fn first_message(&self, now: Timestamp) -> FromAgent {
        let known = self.known.values().map(|known| &known.member);
        let candidates = Candidates::among(&self.name, &self.zone, known);
        FromAgent {
            clock: now,
            report: None,
            offers: Vec::new(),
            candidates: Some(Box::new(CandidateSummary {
                zone: self.zone.clone(),
                digest: candidates.digest(),
                count: candidates.iter().count(),
            })),
            notices: Vec::new(),
            cancels_received: Some(0),
            cancel_ages: Vec::new(),
            is_ending: false,
            usage: None,
            served: None,
            body: FromAgentBody::Heartbeat,
        }
    }

    /// A session to the gateway of that name was opened or has ended.
    pub fn set_connected(&mut self, name: &str, is_connected: bool) {
        if is_connected {
            self.connected.insert(name.to_owned());
        } else {
            self.connected.remove(name);
        }
        if let Some(known) = self.known.get_mut(name) {
            known.unconnected_since = None;
        }
    }

    /// Removes the gateways at an address that has not answered for too long, unless they have a
    /// session. [`Self::add_members`] may add them again.
    pub fn forget(&mut self, address: std::net::SocketAddr) {
        let connected = &self.connected;
        self.known
            .retain(|name, known| connected.contains(name) || known.member.address != address);
    }

    /// Whether to keep the session to the gateway of that name: if it is `wanted`, or is not known
    /// by name yet.
    pub fn should_keep(&self, wanted: &[Member], name: &str) -> bool {
        !self.known.contains_key(name) || wanted.iter().any(|member| member.name == name)
    }

    /// Whether sessions that are not wanted may be closed: some are wanted, and at least half of
    /// those are connected.
    pub fn is_settled(&self, wanted: &[Member]) -> bool {
        let is_connected = |member: &&Member| self.connected.contains(&member.name);
        let connected = wanted.iter().filter(is_connected).count();
        !wanted.is_empty() && connected * 2 >= wanted.len()
    }

    /// The gateways to which sessions are wanted.
    pub fn wanted(&mut self, now: Timestamp) -> Vec<Member> {
        let names = if self.known.len() <= ALL_SESSIONS {
            self.known.keys().cloned().collect()
        } else {
            let mut own_zone = self.first_in_rank(now, true, OWN_ZONE_SESSIONS);
            // If few gateways of the own zone answer, other zones provide more.
            let other_zones = self.first_in_rank(now, false, ALL_SESSIONS - own_zone.answering);
            own_zone.names.extend(other_zones.names);
            own_zone.names
        };
        let mut wanted = Vec::with_capacity(names.len());
        for name in names {
            if let Some(known) = self.known.get_mut(&name) {
                if !self.connected.contains(&name) {
                    known.unconnected_since.get_or_insert(now);
                }
                wanted.push(known.member.clone());
            }
        }
        wanted
    }

    /// The first `count` gateways of the own zone, or of other zones, that answer, and those before
    /// them that do not.
    fn first_in_rank(&self, now: Timestamp, is_own_zone: bool, count: usize) -> Selection {
        let mut ranked: Vec<(u64, &KnownGateway)> = self
            .known
            .values()
            .filter(|known| (known.member.zone == self.zone) == is_own_zone)
            .map(|known| (affinity(&self.name, &known.member.name), known))
            .collect();
        ranked.sort_unstable_by_key(|(affinity, _)| std::cmp::Reverse(*affinity));
        let ranked = ranked.into_iter().map(|(_, known)| known);
        let needs_substitute =
            |known: &&KnownGateway| rank::needs_substitute(now, known.unconnected_since);
        let (first, answering) = rank::first_answering(ranked, count, needs_substitute);
        let names = first.into_iter().map(|known| known.member.name.clone());
        Selection {
            names: names.collect(),
            answering,
        }
    }
}
