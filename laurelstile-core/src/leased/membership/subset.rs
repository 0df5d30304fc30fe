//! Which gateways an agent keeps sessions to.
//!
//! Each change of a worker's room is told to every gateway with a session, so with sessions
//! from all to all the messages grow with the product of both. An agent therefore keeps
//! sessions to a subset: gateways of its own zone first, and some of other zones, so that room
//! is shared where a zone has too little or loses its gateways. The subset is chosen by
//! [`rank`](super::rank): agents choose differently and alone, each gateway gets as many agents
//! as any other, and a gateway that comes or goes moves only the sessions that concern it.

use std::collections::{BTreeMap, BTreeSet};

use laurelstile_types::time::Timestamp;

use super::super::messages::{CandidateSummary, FromAgent, FromAgentBody, Member};
use super::rank::{self, BEYOND_ZONE, Candidates, IN_ZONE, affinity};

/// Up to so many gateways in all there is no choice to be made.
const ALL: usize = IN_ZONE + BEYOND_ZONE;

/// What an agent knows of a gateway.
#[derive(Clone, Debug)]
struct Known {
    member: Member,
    /// Since when it has been wanted and not connected.
    sought_since: Option<Timestamp>,
}

/// Gateways of a zone, or of others, that are wanted.
#[derive(Debug)]
struct Chosen {
    names: Vec<String>,
    /// How many of them answer, as far as is known.
    answering: usize,
}

/// The gateways that an agent knows, and the subset that it wants sessions to.
#[derive(Debug)]
pub struct Subset {
    /// Name and zone of the agent.
    name: String,
    zone: String,
    known: BTreeMap<String, Known>,
    /// Names of the gateways with a session, also of those that nobody has named yet.
    connected: BTreeSet<String>,
}

impl Subset {
    /// An agent that knows no gateway.
    pub fn new(name: String, zone: String) -> Self {
        Self {
            name,
            zone,
            known: BTreeMap::new(),
            connected: BTreeSet::new(),
        }
    }

    /// Gateways were named. A name that was known at another address has moved.
    pub fn add_members(&mut self, members: Vec<Member>) {
        for member in members {
            let has_moved = self
                .known
                .get(&member.name)
                .is_none_or(|known| known.member.address != member.address);
            if has_moved {
                let known = Known {
                    member,
                    sought_since: None,
                };
                self.known.insert(known.member.name.clone(), known);
            }
        }
    }

    /// The first message of a session to a gateway, which tells the agent then of those
    /// that it ranks first and does not know.
    pub fn first_message(&self, now: Timestamp) -> FromAgent {
        let known = self.known.values().map(|known| &known.member);
        let candidates = Candidates::among(&self.name, &self.zone, known);
        FromAgent {
            clock: now,
            report: None,
            offers: Vec::new(),
            candidates: Some(CandidateSummary {
                zone: self.zone.clone(),
                known: candidates.digest(),
                count: candidates.iter().count(),
            }),
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
            known.sought_since = None;
        }
    }

    /// A gateway did not answer for so long that it counts as gone, until somebody names
    /// it anew.
    pub fn forget(&mut self, address: std::net::SocketAddr) {
        let connected = &self.connected;
        self.known
            .retain(|name, known| connected.contains(name) || known.member.address != address);
    }

    /// Whether a session to the gateway of that name is among the `wanted`; one that
    /// nobody has named yet is kept.
    pub fn should_keep(&self, wanted: &[Member], name: &str) -> bool {
        !self.known.contains_key(name) || wanted.iter().any(|member| member.name == name)
    }

    /// Whether sessions that are not wanted may go: at least half of the `wanted` ones are
    /// there, and some are wanted at all.
    pub fn is_settled(&self, wanted: &[Member]) -> bool {
        let is_connected = |member: &&Member| self.connected.contains(&member.name);
        let connected = wanted.iter().filter(is_connected).count();
        !wanted.is_empty() && connected * 2 >= wanted.len()
    }

    /// The gateways to which sessions are wanted.
    pub fn wanted(&mut self, now: Timestamp) -> Vec<Member> {
        let names = if self.known.len() <= ALL {
            self.known.keys().cloned().collect()
        } else {
            let mut near = self.first_in_rank(now, true, IN_ZONE);
            // A zone with few gateways that answer leaves more to the others.
            let far = self.first_in_rank(now, false, ALL - near.answering);
            near.names.extend(far.names);
            near.names
        };
        let mut wanted = Vec::with_capacity(names.len());
        for name in names {
            if let Some(known) = self.known.get_mut(&name) {
                if !self.connected.contains(&name) {
                    known.sought_since.get_or_insert(now);
                }
                wanted.push(known.member.clone());
            }
        }
        wanted
    }

    /// The first `count` gateways of the own zone, or of others, and those before them
    /// that do not answer.
    fn first_in_rank(&self, now: Timestamp, is_own_zone: bool, count: usize) -> Chosen {
        let mut ranked: Vec<(u64, &Known)> = self
            .known
            .values()
            .filter(|known| (known.member.zone == self.zone) == is_own_zone)
            .map(|known| (affinity(&self.name, &known.member.name), known))
            .collect();
        ranked.sort_unstable_by_key(|(affinity, _)| std::cmp::Reverse(*affinity));
        let ranked = ranked.into_iter().map(|(_, known)| known);
        let is_silent = |known: &&Known| rank::is_silent(now, known.sought_since);
        let (first, answering) = rank::first_answering(ranked, count, is_silent);
        let names = first.into_iter().map(|known| known.member.name.clone());
        Chosen {
            names: names.collect(),
            answering,
        }
    }
}
