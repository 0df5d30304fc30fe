//! Selection of the gateways to which a gateway keeps sessions.
//!
//! Updates are forwarded from neighbor to neighbor, so a gateway needs only a few sessions. It
//! dials its successor on a ring of hashed names, which connects all gateways that know each other,
//! and some that it ranks first in its own and in other zones. The latter keep paths short and
//! redundant, so that the loss of one gateway does not partition the others.

use std::collections::{BTreeMap, BTreeSet};

use laurelstile_types::time::Timestamp;

use super::super::messages::Member;
use super::directory::Directory;
use super::rank;

/// Number of gateways of the own zone that are dialed, by rank.
const OWN_ZONE_NEIGHBORS: usize = 3;
/// Number of gateways of other zones that are dialed, by rank.
const OTHER_ZONE_NEIGHBORS: usize = 2;
/// Number of successors on the ring that are dialed.
const RING_SUCCESSORS: usize = 1;
/// Up to this many other gateways, all of them are dialed.
const ALL_NEIGHBORS: usize = OWN_ZONE_NEIGHBORS + OTHER_ZONE_NEIGHBORS + RING_SUCCESSORS;

/// The selection of neighbors, and since when each wanted gateway without a session has lacked one
/// while it was wanted.
#[derive(Debug, Default)]
pub struct Neighbors {
    unconnected_since: BTreeMap<Member, Timestamp>,
}

impl Neighbors {
    /// The gateways to which sessions are wanted; those in `connected` have one.
    pub fn wanted(
        &mut self,
        now: Timestamp,
        own: &Member,
        directory: &Directory,
        connected: &BTreeSet<Member>,
    ) -> BTreeSet<Member> {
        let others = directory.members().filter(|member| member.name != own.name);
        let others: Vec<&Member> = others.collect();
        let wanted = if others.len() <= ALL_NEIGHBORS {
            others.into_iter().cloned().collect()
        } else {
            self.choose(now, own, &others)
        };
        self.unconnected_since
            .retain(|member, _| wanted.contains(member) && !connected.contains(member));
        for member in wanted.difference(connected) {
            self.unconnected_since.entry(member.clone()).or_insert(now);
        }
        wanted
    }

    /// When the selection has to be repeated because wanted gateways may need substitutes.
    pub fn due_at(&self) -> Option<Timestamp> {
        let first = self.unconnected_since.values().min();
        first.map(|since| since.after(rank::SUBSTITUTE_AFTER))
    }

    fn choose(&self, now: Timestamp, own: &Member, others: &[&Member]) -> BTreeSet<Member> {
        let own_position = rank::hash_of_name(&own.name);
        let ring_distance =
            |member: &Member| rank::hash_of_name(&member.name).wrapping_sub(own_position);
        let is_own_zone = |member: &&&Member| member.zone == own.zone;
        let by_rank = |member: &Member| !rank::affinity(&own.name, &member.name);
        let own_zone = others.iter().filter(is_own_zone).copied().collect();
        let other_zones = others
            .iter()
            .filter(|member| !is_own_zone(member))
            .copied()
            .collect();
        let mut wanted = BTreeSet::new();
        self.add_first(
            now,
            others.to_vec(),
            ring_distance,
            RING_SUCCESSORS,
            &mut wanted,
        );
        self.add_first(now, own_zone, by_rank, OWN_ZONE_NEIGHBORS, &mut wanted);
        self.add_first(now, other_zones, by_rank, OTHER_ZONE_NEIGHBORS, &mut wanted);
        wanted
    }

    /// Adds the first `count` members of an order that answer, and those before them that do not.
    fn add_first(
        &self,
        now: Timestamp,
        mut members: Vec<&Member>,
        order: impl Fn(&Member) -> u64,
        count: usize,
        wanted: &mut BTreeSet<Member>,
    ) {
        members.sort_by_cached_key(|member| order(member));
        let needs_substitute = |member: &&Member| {
            let unconnected_since = self.unconnected_since.get(*member).copied();
            rank::needs_substitute(now, unconnected_since)
        };
        let (first, _) = rank::first_answering(members, count, needs_substitute);
        wanted.extend(first.into_iter().cloned());
    }
}
