//! The gateways that a gateway knows, and the sources of that knowledge.

use std::collections::{BTreeMap, BTreeSet};

use laurelstile_types::time::{Span, Timestamp};

use super::super::messages::Member;
use super::digest::{Digest, PartDigests};
use super::page::Page;
use super::rank;
use crate::session::SessionId;

/// How long a gateway stays in the directory that only peers claim to exist and the list in the
/// store does not contain. A running gateway renews its record twice within this time.
const CLAIM_TTL: Span = Span::from_secs(16);
/// Number of parts that are compared separately, so that gateways whose directories differ in one
/// member exchange one part and not the whole.
const PARTS: usize = 64;

/// Maximum number of members in one answer. A gateway that lacks more asks again with its updated
/// hashes, so that the answers of several neighbors overlap little.
pub const MAX_MEMBERS_PER_ANSWER: usize = 128;

/// Where a gateway is known from.
#[derive(Debug, Default)]
struct Sources {
    sessions: BTreeSet<SessionId>,
    is_listed: bool,
    /// When a peer first named the gateway, or its last session ended if that was later.
    claimed_at: Option<Timestamp>,
}

/// The known gateways, including this one.
#[derive(Debug)]
pub struct Directory {
    own: Member,
    known: BTreeMap<Member, Sources>,
    parts: [u64; PARTS],
    /// Members added, or reconnected, since the last [`Self::take_changes`].
    added: Vec<Member>,
    /// Members removed since the last [`Self::take_changes`].
    removed: Vec<Member>,
}

impl Directory {
    /// A directory that contains only the gateway itself.
    pub fn new(own: Member) -> Self {
        let mut directory = Self {
            own: own.clone(),
            known: BTreeMap::new(),
            parts: [0; PARTS],
            added: Vec::new(),
            removed: Vec::new(),
        };
        directory.entry(own).is_listed = true;
        directory
    }

    /// Number of members, including this gateway.
    pub fn count(&self) -> usize {
        self.known.len()
    }

    /// All members, including this gateway, in order.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.known.keys()
    }

    /// Takes the members that were added and those that were removed since the last call.
    pub fn take_changes(&mut self) -> (Vec<Member>, Vec<Member>) {
        let added = std::mem::take(&mut self.added);
        (added, std::mem::take(&mut self.removed))
    }

    /// Whether members were added or removed since the last [`Self::take_changes`].
    pub fn has_changes(&self) -> bool {
        !self.added.is_empty() || !self.removed.is_empty()
    }

    /// A member opened a session: entries of the same name with another address are dropped. If it
    /// had no session before, it counts as added again, so that subscribers are notified of it.
    pub fn on_session_opened(&mut self, session: SessionId, member: &Member) {
        let has_other_address = |known: &Member| known.name == member.name && known != member;
        let moved: Vec<Member> = self
            .members()
            .filter(|known| has_other_address(known))
            .cloned()
            .collect();
        for old in moved {
            if self.own != old {
                self.remove(&old);
            }
        }
        let sources = self.entry(member.clone());
        let had_session = !sources.sessions.is_empty();
        sources.sessions.insert(session);
        if !had_session && !self.added.contains(member) {
            self.added.push(member.clone());
        }
    }

    /// A session has ended. Its gateway stays known for `CLAIM_TTL`, as if a peer had claimed it.
    pub fn on_session_closed(&mut self, now: Timestamp, session: SessionId) {
        for sources in self.known.values_mut() {
            if sources.sessions.remove(&session) {
                sources.claimed_at = Some(now);
            }
        }
    }

    /// Applies a page of the list in the store. A record with this gateway's own name is ignored:
    /// it may stem from before its start and have an old address.
    pub fn read_page(&mut self, now: Timestamp, mut page: Page) {
        let own = self.own.clone();
        page.members.retain(|member| member.name != own.name);
        let mut gone = Vec::new();
        for (member, sources) in &mut self.known {
            if *member == own || !page.covers(member) {
                continue;
            }
            sources.is_listed = page.members.contains(member);
            let is_recent = |claimed: Timestamp| now.since(claimed) < CLAIM_TTL;
            let is_claimed = sources.claimed_at.is_some_and(is_recent);
            if !sources.is_listed && sources.sessions.is_empty() && !is_claimed {
                gone.push(member.clone());
            }
        }
        for member in gone {
            self.remove(&member);
        }
        for member in page.members {
            self.entry(member).is_listed = true;
        }
    }

    /// A peer claims that these members exist. Ignored for names that have a session here, whose
    /// address is known for certain.
    pub fn add_claimed(&mut self, now: Timestamp, members: Vec<Member>) {
        for member in members {
            if self.is_name_in_use(&member) || self.known.contains_key(&member) {
                continue;
            }
            self.entry(member).claimed_at = Some(now);
        }
    }

    /// Whether the member's name is this gateway's own, or that of a gateway with a session here.
    fn is_name_in_use(&self, member: &Member) -> bool {
        if member.name == self.own.name {
            return true;
        }
        let mut known = self.known.iter();
        known.any(|(other, sources)| other.name == member.name && !sources.sessions.is_empty())
    }

    /// Hash of the whole directory.
    pub fn digest(&self) -> Digest {
        Digest(
            self.parts
                .iter()
                .fold(0, |sum, part| sum.wrapping_add(*part)),
        )
    }

    /// Hashes of the directory's parts.
    pub fn part_digests(&self) -> PartDigests {
        PartDigests(self.parts.iter().map(|part| upper_half(*part)).collect())
    }

    /// The members of the parts in which another directory differs, at most
    /// [`MAX_MEMBERS_PER_ANSWER`]. Each gateway begins at another part, so that the truncated
    /// answers of several gateways differ.
    pub fn differing_from(&self, other: &PartDigests) -> Vec<Member> {
        let differs = |part: usize| other.0.get(part) != Some(&upper_half(self.parts[part]));
        let first = part_of(&self.own);
        let members = self.members();
        let differing = members.filter(|member| differs(part_of(member)));
        let mut differing: Vec<&Member> = differing.collect();
        differing.sort_by_key(|member| (part_of(member) + PARTS - first) % PARTS);
        differing.truncate(MAX_MEMBERS_PER_ANSWER);
        differing.into_iter().cloned().collect()
    }

    fn entry(&mut self, member: Member) -> &mut Sources {
        if !self.known.contains_key(&member) {
            let part = &mut self.parts[part_of(&member)];
            *part = part.wrapping_add(rank::hash_of(&member));
            self.added.push(member.clone());
        }
        self.known.entry(member).or_default()
    }

    fn remove(&mut self, member: &Member) {
        if self.known.remove(member).is_some() {
            let part = &mut self.parts[part_of(member)];
            *part = part.wrapping_sub(rank::hash_of(member));
            self.removed.push(member.clone());
        }
    }
}

fn part_of(member: &Member) -> usize {
    let hash = rank::hash_of_name(&member.name);
    usize::try_from(hash % PARTS as u64).unwrap_or(0)
}

/// The upper 32 bits of a hash.
fn upper_half(hash: u64) -> u32 {
    u32::try_from(hash >> u32::BITS).unwrap_or(u32::MAX)
}
