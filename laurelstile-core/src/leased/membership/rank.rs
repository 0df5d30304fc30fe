//! The order in which a process prefers gateways: the same for whoever computes it.
//!
//! Rendezvous hashing: processes choose differently and alone, each gateway is chosen as
//! often as any other, and one that comes or goes concerns only those that rank it first.

use std::hash::{Hash, Hasher};

use laurelstile_types::time::{Span, Timestamp};
use twox_hash::XxHash64;

use super::super::messages::Member;

/// Seed of all hashes. Processes of different builds must agree, so it stays.
const SEED: u64 = 0;

/// Gateways of an agent's own zone that it keeps sessions to.
pub const IN_ZONE: usize = 10;
/// Gateways of other zones.
pub const BEYOND_ZONE: usize = 6;
/// Gateways that an agent is told besides, for those that do not answer.
const SPARE: usize = 4;

/// A gateway that has been dialed for so long without success is replaced by the next in
/// order, until it answers.
pub const SUBSTITUTE_AFTER: Span = Span::from_millis(800);

/// Whether a gateway that is sought since then, if it is sought, needs a substitute.
pub fn is_silent(now: Timestamp, sought_since: Option<Timestamp>) -> bool {
    sought_since.is_some_and(|since| now.since(since) > SUBSTITUTE_AFTER)
}

/// The first `count` in an order that answer, as far as is known, and those before them that
/// do not; and how many of them answer.
pub fn first_answering<T>(
    ordered: impl IntoIterator<Item = T>,
    count: usize,
    is_silent: impl Fn(&T) -> bool,
) -> (Vec<T>, usize) {
    let mut chosen = Vec::new();
    let mut answering = 0;
    for gateway in ordered {
        if answering == count {
            break;
        }
        answering += usize::from(!is_silent(&gateway));
        chosen.push(gateway);
    }
    (chosen, answering)
}

/// How much a process prefers a gateway: the same for the same pair, without order
/// otherwise.
pub fn affinity(process: &str, gateway: &str) -> u64 {
    let mut hasher = XxHash64::with_seed(SEED);
    (process, gateway).hash(&mut hasher);
    hasher.finish()
}

/// Hash of a member: the same at each gateway that knows it.
pub fn hash_of(member: &Member) -> u64 {
    let mut hasher = XxHash64::with_seed(SEED);
    member.hash(&mut hasher);
    hasher.finish()
}

/// Hash of a name alone: its place on the ring.
pub fn hash_of_name(name: &str) -> u64 {
    XxHash64::oneshot(SEED, name.as_bytes())
}

/// The gateways that an agent may want sessions to: the first in its rank, of its own zone
/// and of others, and some for those that do not answer. Their number has a bound, whatever
/// the size of the fleet.
#[derive(Clone, Debug)]
pub struct Candidates {
    agent: String,
    zone: String,
    near: Vec<(u64, Member)>,
    far: Vec<(u64, Member)>,
}

impl Candidates {
    /// None yet, for an agent in a zone.
    pub fn new(agent: &str, zone: &str) -> Self {
        Self {
            agent: agent.to_owned(),
            zone: zone.to_owned(),
            near: Vec::new(),
            far: Vec::new(),
        }
    }

    /// Those among some gateways, for an agent in a zone.
    pub fn among<'a>(
        agent: &str,
        zone: &str,
        members: impl IntoIterator<Item = &'a Member>,
    ) -> Self {
        let mut candidates = Self::new(agent, zone);
        for member in members {
            candidates.offer(member);
        }
        candidates
    }

    /// Those among other gateways, for the same agent.
    pub fn chosen_again<'a>(&self, members: impl IntoIterator<Item = &'a Member>) -> Self {
        Self::among(&self.agent, &self.zone, members)
    }

    /// Takes in a gateway.
    pub fn offer(&mut self, member: &Member) {
        let affinity = affinity(&self.agent, &member.name);
        let (ranked, most) = if member.zone == self.zone {
            (&mut self.near, IN_ZONE + SPARE)
        } else {
            // A zone without gateways that answer leaves all to the others.
            (&mut self.far, IN_ZONE + BEYOND_ZONE)
        };
        let entry = (affinity, member.clone());
        let place = ranked.partition_point(|known| *known > entry);
        if place >= most || ranked.get(place) == Some(&entry) {
            return;
        }
        ranked.insert(place, entry);
        ranked.truncate(most);
    }

    /// Whether a gateway is among them.
    pub fn contains(&self, member: &Member) -> bool {
        self.iter().any(|known| known == member)
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        let ranked = self.near.iter().chain(&self.far);
        ranked.map(|(_, member)| member)
    }

    /// Hash of all of them together.
    pub fn digest(&self) -> u64 {
        let hashes = self.iter().map(hash_of);
        hashes.fold(0, u64::wrapping_add)
    }
}
