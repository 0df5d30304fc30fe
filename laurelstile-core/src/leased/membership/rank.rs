//! The order in which a process prefers gateways, by rendezvous hashing.
//!
//! Processes choose independently, each gateway is chosen about equally often, and a gateway that
//! joins or leaves affects only the processes that rank it among their first.

use std::hash::{Hash, Hasher};

use laurelstile_types::time::{Span, Timestamp};
use twox_hash::XxHash64;

use super::super::messages::Member;

/// Seed of all hashes. Processes of different versions must agree on it.
const SEED: u64 = 0;

/// Number of gateways of its own zone to which an agent keeps sessions.
pub const OWN_ZONE_SESSIONS: usize = 10;
/// Number of gateways of other zones to which an agent keeps sessions.
pub const OTHER_ZONE_SESSIONS: usize = 6;
/// Number of further candidates of the own zone, as substitutes for gateways that do not answer.
const SUBSTITUTES: usize = 4;

/// How long a gateway is dialed without success before the next in rank is dialed as well, as its
/// substitute until it answers.
pub const SUBSTITUTE_AFTER: Span = Span::from_millis(800);

/// Whether a gateway needs a substitute that has been wanted without a session since
/// `unconnected_since`; `None` if it has a session, or was not wanted yet.
pub fn needs_substitute(now: Timestamp, unconnected_since: Option<Timestamp>) -> bool {
    unconnected_since.is_some_and(|since| now.since(since) > SUBSTITUTE_AFTER)
}

/// The first `count` gateways of an order that answer, together with those before them that do not;
/// and how many answer.
pub fn first_answering<T>(
    ordered: impl IntoIterator<Item = T>,
    count: usize,
    needs_substitute: impl Fn(&T) -> bool,
) -> (Vec<T>, usize) {
    let mut chosen = Vec::new();
    let mut answering = 0;
    for gateway in ordered {
        if answering == count {
            break;
        }
        answering += usize::from(!needs_substitute(&gateway));
        chosen.push(gateway);
    }
    (chosen, answering)
}

/// Preference of a process for a gateway; the highest ranks first. A uniform hash of the two names.
pub fn affinity(process: &str, gateway: &str) -> u64 {
    let mut hasher = XxHash64::with_seed(SEED);
    (process, gateway).hash(&mut hasher);
    hasher.finish()
}

/// Hash of a member, equal at all gateways.
pub fn hash_of(member: &Member) -> u64 {
    let mut hasher = XxHash64::with_seed(SEED);
    member.hash(&mut hasher);
    hasher.finish()
}

/// Hash of a name, which orders gateways on the ring of neighbors and in the list in the store.
pub fn hash_of_name(name: &str) -> u64 {
    XxHash64::oneshot(SEED, name.as_bytes())
}

/// The gateways to which an agent may want sessions: those that it ranks first in its own zone and
/// in other zones, and substitutes for those that do not answer. Their number does not grow with
/// the fleet.
#[derive(Clone, Debug)]
pub struct Candidates {
    agent: String,
    zone: String,
    own_zone: Vec<(u64, Member)>,
    other_zones: Vec<(u64, Member)>,
}

impl Candidates {
    /// No candidates, for an agent in a zone.
    pub fn new(agent: &str, zone: &str) -> Self {
        Self {
            agent: agent.to_owned(),
            zone: zone.to_owned(),
            own_zone: Vec::new(),
            other_zones: Vec::new(),
        }
    }

    /// The candidates among `members`, for an agent in a zone.
    pub fn among<'a>(
        agent: &str,
        zone: &str,
        members: impl IntoIterator<Item = &'a Member>,
    ) -> Self {
        let mut candidates = Self::new(agent, zone);
        for member in members {
            candidates.insert(member);
        }
        candidates
    }

    /// The candidates among `members`, for the same agent.
    pub fn reselected<'a>(&self, members: impl IntoIterator<Item = &'a Member>) -> Self {
        Self::among(&self.agent, &self.zone, members)
    }

    /// Adds a gateway, if it ranks high enough.
    pub fn insert(&mut self, member: &Member) {
        let affinity = affinity(&self.agent, &member.name);
        let (ranked, limit) = if member.zone == self.zone {
            (&mut self.own_zone, OWN_ZONE_SESSIONS + SUBSTITUTES)
        } else {
            // If no gateway of the own zone answers, other zones provide all sessions.
            (
                &mut self.other_zones,
                OWN_ZONE_SESSIONS + OTHER_ZONE_SESSIONS,
            )
        };
        let entry = (affinity, member.clone());
        let position = ranked.partition_point(|known| *known > entry);
        if position >= limit || ranked.get(position) == Some(&entry) {
            return;
        }
        ranked.insert(position, entry);
        ranked.truncate(limit);
    }

    /// Whether a gateway is a candidate.
    pub fn contains(&self, member: &Member) -> bool {
        self.iter().any(|known| known == member)
    }

    /// All candidates: the own zone first, each by descending preference.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        let ranked = self.own_zone.iter().chain(&self.other_zones);
        ranked.map(|(_, member)| member)
    }

    /// Hash of the set of candidates.
    pub fn digest(&self) -> u64 {
        let hashes = self.iter().map(hash_of);
        hashes.fold(0, u64::wrapping_add)
    }
}
