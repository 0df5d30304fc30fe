//! The gateways that a gateway knows, and where it knows them from.

use std::collections::{BTreeMap, BTreeSet};

use laurelstile_types::time::{Span, Timestamp};

use super::super::messages::Member;
use super::digest::{Digest, PartDigests};
use super::page::Page;
use super::rank;
use crate::session::SessionId;

/// A gateway of which peers alone tell counts as gone if the list, read so long
/// afterwards, does not name it: it would have renewed its record twice.
const TOLD_TRUST: Span = Span::from_secs(16);
/// Parts of the directory that are compared one by one, so that two gateways that differ in
/// one member exchange a part and not the whole.
const PARTS: usize = 64;

/// Members that are told in one answer. Whoever lacks more asks again, with what it knows
/// by then: long answers to several questions would tell the same several times.
pub const MOST_TOLD: usize = 128;

/// Where a gateway is known from.
#[derive(Debug, Default)]
struct Sources {
    sessions: BTreeSet<SessionId>,
    is_listed: bool,
    told_at: Option<Timestamp>,
}

/// The gateways that are known, this one among them.
#[derive(Debug)]
pub struct Directory {
    own: Member,
    known: BTreeMap<Member, Sources>,
    parts: [u64; PARTS],
    /// Members that have come since they were last taken.
    arrivals: Vec<Member>,
    /// Members that have gone since they were last taken.
    departures: Vec<Member>,
}

impl Directory {
    /// A directory of one.
    pub fn new(own: Member) -> Self {
        let mut directory = Self {
            own: own.clone(),
            known: BTreeMap::new(),
            parts: [0; PARTS],
            arrivals: Vec::new(),
            departures: Vec::new(),
        };
        directory.sources(own).is_listed = true;
        directory
    }

    /// How many members there are.
    pub fn count(&self) -> usize {
        self.known.len()
    }

    /// All members.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.known.keys()
    }

    /// What has come since the last call, and what has gone.
    pub fn take_changes(&mut self) -> (Vec<Member>, Vec<Member>) {
        let arrivals = std::mem::take(&mut self.arrivals);
        (arrivals, std::mem::take(&mut self.departures))
    }

    /// Whether something has come or gone since.
    pub fn has_changes(&self) -> bool {
        !self.arrivals.is_empty() || !self.departures.is_empty()
    }

    /// A member has a session with this gateway: it is where it says, and nowhere else.
    /// Those that want sessions to it are to hear of it again if it had none.
    pub fn meet(&mut self, session: SessionId, member: &Member) {
        let elsewhere = |known: &Member| known.name == member.name && known != member;
        let moved: Vec<Member> = self
            .members()
            .filter(|one| elsewhere(one))
            .cloned()
            .collect();
        for former in moved {
            if self.own != former {
                self.remove(&former);
            }
        }
        let sources = self.sources(member.clone());
        let had_session = !sources.sessions.is_empty();
        sources.sessions.insert(session);
        if !had_session && !self.arrivals.contains(member) {
            self.arrivals.push(member.clone());
        }
    }

    /// A session has ended. That its gateway is gone is not said.
    pub fn part(&mut self, now: Timestamp, session: SessionId) {
        for sources in self.known.values_mut() {
            if sources.sessions.remove(&session) {
                sources.told_at = Some(now);
            }
        }
    }

    /// A page of the list of gateways was read. A record of this gateway's own name is one of
    /// before its start, perhaps at another address.
    pub fn read_page(&mut self, now: Timestamp, mut page: Page) {
        let own = self.own.clone();
        page.members.retain(|member| member.name != own.name);
        let mut gone = Vec::new();
        for (member, sources) in &mut self.known {
            if *member == own || !page.covers(member) {
                continue;
            }
            sources.is_listed = page.members.contains(member);
            let is_fresh = |told: Timestamp| now.since(told) < TOLD_TRUST;
            let is_told = sources.told_at.is_some_and(is_fresh);
            if !sources.is_listed && sources.sessions.is_empty() && !is_told {
                gone.push(member.clone());
            }
        }
        for member in gone {
            self.remove(&member);
        }
        for member in page.members {
            self.sources(member).is_listed = true;
        }
    }

    /// A peer names members. One that has a session here under the same name is known
    /// better.
    pub fn hear(&mut self, now: Timestamp, members: Vec<Member>) {
        for member in members {
            if self.is_met_elsewhere(&member) || self.known.contains_key(&member) {
                continue;
            }
            self.sources(member).told_at = Some(now);
        }
    }

    fn is_met_elsewhere(&self, member: &Member) -> bool {
        if member.name == self.own.name {
            return true;
        }
        let mut known = self.known.iter();
        known.any(|(other, sources)| other.name == member.name && !sources.sessions.is_empty())
    }

    /// Hash of the whole.
    pub fn digest(&self) -> Digest {
        Digest(
            self.parts
                .iter()
                .fold(0, |sum, part| sum.wrapping_add(*part)),
        )
    }

    /// Hashes of the parts.
    pub fn part_digests(&self) -> PartDigests {
        PartDigests(self.parts.iter().map(|part| short(*part)).collect())
    }

    /// The members of the parts in which another directory differs, [`MOST_TOLD`] of them at
    /// the most. Each gateway begins at another part, so that what several are asked for in
    /// turn is not the same.
    pub fn differing_from(&self, other: &PartDigests) -> Vec<Member> {
        let differs = |part: usize| other.0.get(part) != Some(&short(self.parts[part]));
        let first = part_of(&self.own);
        let members = self.members();
        let differing = members.filter(|member| differs(part_of(member)));
        let mut differing: Vec<&Member> = differing.collect();
        differing.sort_by_key(|member| (part_of(member) + PARTS - first) % PARTS);
        differing.truncate(MOST_TOLD);
        differing.into_iter().cloned().collect()
    }

    fn sources(&mut self, member: Member) -> &mut Sources {
        if !self.known.contains_key(&member) {
            let part = &mut self.parts[part_of(&member)];
            *part = part.wrapping_add(rank::hash_of(&member));
            self.arrivals.push(member.clone());
        }
        self.known.entry(member).or_default()
    }

    fn remove(&mut self, member: &Member) {
        if self.known.remove(member).is_some() {
            let part = &mut self.parts[part_of(member)];
            *part = part.wrapping_sub(rank::hash_of(member));
            self.departures.push(member.clone());
        }
    }
}

fn part_of(member: &Member) -> usize {
    let hash = rank::hash_of_name(&member.name);
    usize::try_from(hash % PARTS as u64).unwrap_or(0)
}

/// The upper half of a hash.
fn short(hash: u64) -> u32 {
    u32::try_from(hash >> u32::BITS).unwrap_or(u32::MAX)
}
