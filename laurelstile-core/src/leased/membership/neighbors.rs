//! Which other gateways a gateway keeps sessions to.
//!
//! News travel from neighbor to neighbor, so a gateway needs a few sessions and not one to
//! each. It dials the gateway that follows it on a ring of all names, which joins all that
//! know of each other, and some that it ranks first, of its own zone and of others, which
//! make the ways short and many: a gateway that is lost, or slow, cuts none off.

use std::collections::{BTreeMap, BTreeSet};

use laurelstile_types::time::Timestamp;

use super::super::messages::Member;
use super::directory::Directory;
use super::rank;

/// Gateways of its own zone that a gateway dials, by rank.
const IN_ZONE: usize = 3;
/// Gateways of other zones.
const BEYOND_ZONE: usize = 2;
/// Gateways that follow it on the ring.
const SUCCESSORS: usize = 1;
/// Up to so many others there is no choice to be made.
const ALL: usize = IN_ZONE + BEYOND_ZONE + SUCCESSORS;

/// The choice of a gateway, and since when it waits for each.
#[derive(Debug, Default)]
pub struct Neighbors {
    sought_since: BTreeMap<Member, Timestamp>,
}

impl Neighbors {
    /// The gateways to which sessions are wanted, where those `met` have one.
    pub fn wanted(
        &mut self,
        now: Timestamp,
        own: &Member,
        directory: &Directory,
        met: &BTreeSet<Member>,
    ) -> BTreeSet<Member> {
        let others = directory.members().filter(|one| one.name != own.name);
        let others: Vec<&Member> = others.collect();
        let wanted = if others.len() <= ALL {
            others.into_iter().cloned().collect()
        } else {
            self.choose(now, own, &others)
        };
        self.sought_since
            .retain(|member, _| wanted.contains(member) && !met.contains(member));
        for member in wanted.difference(met) {
            self.sought_since.entry(member.clone()).or_insert(now);
        }
        wanted
    }

    /// When the choice has to be looked at again, if some do not answer.
    pub fn due_at(&self) -> Option<Timestamp> {
        let first = self.sought_since.values().min();
        first.map(|since| since.after(rank::SUBSTITUTE_AFTER))
    }

    fn choose(&self, now: Timestamp, own: &Member, others: &[&Member]) -> BTreeSet<Member> {
        let own_place = rank::hash_of_name(&own.name);
        let on_ring = |member: &Member| rank::hash_of_name(&member.name).wrapping_sub(own_place);
        let is_near = |member: &&&Member| member.zone == own.zone;
        let by_rank = |member: &Member| !rank::affinity(&own.name, &member.name);
        let near = others.iter().filter(is_near).copied().collect();
        let far = others.iter().filter(|one| !is_near(one)).copied().collect();
        let mut wanted = BTreeSet::new();
        self.add_first(now, others.to_vec(), on_ring, SUCCESSORS, &mut wanted);
        self.add_first(now, near, by_rank, IN_ZONE, &mut wanted);
        self.add_first(now, far, by_rank, BEYOND_ZONE, &mut wanted);
        wanted
    }

    /// Adds the first `count` in an order, and those before them that do not answer.
    fn add_first(
        &self,
        now: Timestamp,
        mut members: Vec<&Member>,
        order: impl Fn(&Member) -> u64,
        count: usize,
        wanted: &mut BTreeSet<Member>,
    ) {
        members.sort_by_cached_key(|member| order(member));
        let is_silent = |member: &&Member| {
            let sought_since = self.sought_since.get(*member).copied();
            rank::is_silent(now, sought_since)
        };
        let (first, _) = rank::first_answering(members, count, is_silent);
        wanted.extend(first.into_iter().cloned());
    }
}
