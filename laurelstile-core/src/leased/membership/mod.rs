//! Membership of gateways: which gateways exist, to which others each keeps sessions, and
//! which of them agents are notified of.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`directory`], [`digest`] | the gateways that a gateway knows, and their hashes |
//! | [`neighbors`] | the gateways to which a gateway keeps sessions |
//! | [`page`] | the paged list of gateways in the store |
//! | [`anti_entropy`] | synchronization of directories between neighbors |
//! | [`subscribers`] | the gateways that agents are notified of |
//! | [`subset`] | the gateways to which an agent keeps sessions |
//! | [`rank`] | the order of preference that all of these use |
//!
//! Costs grow at most linearly with the fleet: a gateway's sessions to other gateways and the
//! members that an agent is sent are bounded; a directory has one entry per gateway, is fetched
//! once, and is then compared by hashes. No safety property depends on a directory being correct or
//! complete: only agents decide what starts, and a process that cannot reach a gateway takes the
//! next in rank.

pub mod anti_entropy;
pub mod digest;
pub mod directory;
pub mod neighbors;
pub mod page;
pub mod rank;
pub mod subscribers;
pub mod subset;

use std::collections::{BTreeMap, BTreeSet};

use laurelstile_types::time::{Span, Timestamp};

use super::messages::{CandidateSummary, Introduction, Member, ToPeer};
use crate::session::SessionId;
use anti_entropy::AntiEntropy;
use digest::{Digest, PartDigests};
use directory::Directory;
use neighbors::Neighbors;
use page::Page;
use subscribers::Subscribers;

/// Minimum interval between two selections of neighbors while the directory changes.
const SELECTION_INTERVAL: Span = Span::from_millis(50);
/// Interval between selections while wanted neighbors do not answer.
const REVIEW_INTERVAL: Span = Span::from_millis(2_000);
/// Minimum age at which a session that this gateway dialed and does not want is closed.
const MIN_SESSION_AGE: Span = Span::from_millis(2_000);

/// A session to another gateway.
#[derive(Debug)]
struct Peer {
    /// The peer, once it has introduced itself.
    member: Option<Member>,
    is_dialed: bool,
    opened_at: Timestamp,
}

/// The membership as seen by one gateway.
#[derive(Debug)]
pub struct Membership {
    own: Member,
    directory: Directory,
    neighbors: Neighbors,
    anti_entropy: AntiEntropy,
    subscribers: Subscribers,
    peers: BTreeMap<SessionId, Peer>,
    /// Whether neighbors have to be selected again.
    needs_selection: bool,
    selected_at: Option<Timestamp>,
    /// When the next unwanted session reaches the age at which it is closed.
    close_due_at: Option<Timestamp>,
    /// The view that was last reported.
    view: Option<View>,
    /// Whether a page of the list in the store, or the introduction of a peer, has been received.
    is_informed: bool,
}

/// Summary of a gateway's membership, for the log. Gateways with the same directory hash know the
/// same members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct View {
    /// Number of known gateways, including itself.
    pub known: usize,
    /// Number of gateways to which it wants sessions.
    pub wanted: usize,
    /// Number of the wanted gateways that have a session.
    pub answering: usize,
    /// Hash of the directory.
    pub directory: Digest,
}

/// An action for the caller to carry out.
#[derive(Debug)]
pub enum MembershipEffect {
    /// Send members to an agent.
    SendToAgent(SessionId, Vec<Member>),
    /// Send a message to a peer.
    SendToPeer(SessionId, ToPeer),
    /// Dial these gateways, repeatedly until they answer.
    Dial {
        /// The gateways to dial; replaces those of the previous [`Self::Dial`].
        members: Vec<Member>,
        /// Whether enough sessions are open that dials of other gateways may be given up.
        is_settled: bool,
    },
    /// Close a session that is no longer wanted.
    Close(SessionId),
    /// The view has changed.
    Changed(View),
}

impl Membership {
    /// The membership of a gateway that knows only itself.
    pub fn new(own: Member) -> Self {
        Self {
            directory: Directory::new(own.clone()),
            subscribers: Subscribers::new(own.clone()),
            own,
            neighbors: Neighbors::default(),
            anti_entropy: AntiEntropy::default(),
            peers: BTreeMap::new(),
            needs_selection: false,
            selected_at: None,
            close_due_at: None,
            view: None,
            is_informed: false,
        }
    }

    /// Hash of the other known gateways; `None` before the list in the store or a peer has named any.
    pub fn digest_of_others(&self) -> Option<Digest> {
        let digest = self.directory.digest();
        self.is_informed.then(|| digest.without(self.own_digest()))
    }

    /// Hash of the known gateway of this name; zero if there is none.
    pub fn digest_of(&self, name: &str) -> Digest {
        let mut members = self.members();
        let member = members.find(|member| member.name == name);
        Digest(member.map_or(0, rank::hash_of))
    }

    /// Hash of this gateway.
    pub fn own_digest(&self) -> Digest {
        Digest(rank::hash_of(&self.own))
    }

    /// All known gateways, including this one.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.directory.members()
    }

    /// A session to a peer was opened, dialed by this side if `is_dialed`. Returns the introduction
    /// to be sent first.
    pub fn on_peer_opened(
        &mut self,
        now: Timestamp,
        session: SessionId,
        is_dialed: bool,
    ) -> Introduction {
        let peer = Peer {
            member: None,
            is_dialed,
            opened_at: now,
        };
        self.peers.insert(session, peer);
        Introduction::new(&self.own, self.directory.digest())
    }

    /// A peer introduced itself. An older version, which does not compare directories, is sent all
    /// members once.
    pub fn on_introduction(
        &mut self,
        session: SessionId,
        introduction: Introduction,
    ) -> Option<MembershipEffect> {
        let peer = self.peers.get_mut(&session)?;
        self.is_informed = true;
        let directory = introduction.directory;
        let member = introduction.into_member();
        let own = self.directory.digest();
        self.anti_entropy.on_opened(session, directory, own);
        if member.name != self.own.name {
            self.directory.on_session_opened(session, &member);
            peer.member = Some(member);
        }
        self.needs_selection = true;
        if directory.is_some() {
            return None;
        }
        let members = self.directory.members().cloned().collect();
        Some(MembershipEffect::SendToPeer(
            session,
            ToPeer::Members(members),
        ))
    }

    /// A session to a peer was closed.
    pub fn on_peer_closed(&mut self, now: Timestamp, session: SessionId) {
        self.peers.remove(&session);
        self.anti_entropy.on_closed(session);
        self.directory.on_session_closed(now, session);
        self.needs_selection = true;
    }

    /// A peer sent the hash of its directory.
    pub fn on_digest(&mut self, session: SessionId, digest: Digest) {
        self.anti_entropy.on_digest(session, digest);
    }

    /// A peer requests the parts in which its directory differs. Returns the answer.
    pub fn on_members_wanted(&self, session: SessionId, parts: &PartDigests) -> MembershipEffect {
        let members = self.directory.differing_from(parts);
        MembershipEffect::SendToPeer(session, ToPeer::Members(members))
    }

    /// A peer sent members.
    pub fn on_members(&mut self, now: Timestamp, session: SessionId, members: Vec<Member>) {
        let is_complete = members.len() < directory::MAX_MEMBERS_PER_ANSWER;
        self.anti_entropy.on_answer(session, is_complete);
        self.directory.add_claimed(now, members);
    }

    /// A page of the list in the store was read.
    pub fn on_list_page(&mut self, now: Timestamp, page: Page) {
        self.is_informed = true;
        self.directory.read_page(now, page);
    }

    /// An agent sent the summary of its candidates.
    pub fn on_candidates(&mut self, session: SessionId, agent: &str, summary: &CandidateSummary) {
        self.subscribers
            .subscribe(session, agent, summary, &self.directory);
    }

    /// An agent's snapshot named its zone. Subscribes an agent of an older version, which sends no
    /// summary.
    pub fn on_zone_reported(&mut self, session: SessionId, agent: &str, zone: &str) {
        if !self.subscribers.contains(session) {
            let summary = CandidateSummary {
                zone: zone.to_owned(),
                digest: 0,
                count: 0,
            };
            self.on_candidates(session, agent, &summary);
        }
    }

    /// A session to an agent was closed.
    pub fn on_agent_closed(&mut self, session: SessionId) {
        self.subscribers.unsubscribe(session);
    }

    /// Performs the actions that are due.
    pub fn flush(&mut self, now: Timestamp) -> Vec<MembershipEffect> {
        let mut effects = Vec::new();
        if self.directory.has_changes() {
            let (added, removed) = self.directory.take_changes();
            self.subscribers.on_added(&added);
            self.subscribers.on_removed(&removed, &self.directory);
            self.needs_selection = true;
        }
        if self.selection_due_at().is_some_and(|at| now >= at) {
            self.select_neighbors(now, &mut effects);
        }
        let due = self.anti_entropy.take_due(now, self.directory.digest());
        for session in due.digest_to {
            let message = ToPeer::Digest(self.directory.digest());
            effects.push(MembershipEffect::SendToPeer(session, message));
        }
        if let Some(session) = due.request_from {
            let message = ToPeer::MembersWanted(self.directory.part_digests());
            effects.push(MembershipEffect::SendToPeer(session, message));
        }
        for (session, members) in self.subscribers.take_updates(now) {
            effects.push(MembershipEffect::SendToAgent(session, members));
        }
        effects
    }

    /// When [`Self::flush`] is next due without further events.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let anti_entropy = self.anti_entropy.due_at(self.directory.digest());
        let due = [
            self.selection_due_at(),
            anti_entropy,
            self.subscribers.due_at(),
        ];
        due.into_iter().flatten().min()
    }

    /// When neighbors have to be selected next.
    fn selection_due_at(&self) -> Option<Timestamp> {
        let Some(selected_at) = self.selected_at else {
            return self.needs_selection.then(Timestamp::default);
        };
        if self.needs_selection {
            return Some(selected_at.after(SELECTION_INTERVAL));
        }
        let review = self.neighbors.due_at().map(|due| {
            let upcoming = (due > selected_at).then_some(due);
            upcoming.unwrap_or_else(|| selected_at.after(REVIEW_INTERVAL))
        });
        [review, self.close_due_at].into_iter().flatten().min()
    }

    fn select_neighbors(&mut self, now: Timestamp, effects: &mut Vec<MembershipEffect>) {
        self.needs_selection = false;
        self.selected_at = Some(now);
        self.close_due_at = None;
        let connected = self.peers.values().filter_map(|peer| peer.member.clone());
        let connected: BTreeSet<Member> = connected.collect();
        let wanted = self
            .neighbors
            .wanted(now, &self.own, &self.directory, &connected);
        let answering = wanted.intersection(&connected).count();
        let is_settled = !wanted.is_empty() && answering * 2 >= wanted.len();
        let to_dial = wanted.iter().filter(|member| !self.has_dialed_here(member));
        effects.push(MembershipEffect::Dial {
            members: to_dial.cloned().collect(),
            is_settled,
        });
        if is_settled {
            self.close_unwanted(now, &wanted, effects);
        }
        let view = View {
            known: self.directory.count(),
            wanted: wanted.len(),
            answering,
            directory: self.directory.digest(),
        };
        if self.view.replace(view) != Some(view) {
            effects.push(MembershipEffect::Changed(view));
        }
    }

    /// Whether a member has opened a session to this gateway.
    fn has_dialed_here(&self, member: &Member) -> bool {
        let mut peers = self.peers.values();
        peers.any(|peer| !peer.is_dialed && peer.member.as_ref() == Some(member))
    }

    /// Closes sessions that this gateway dialed and does not want, such as those to its seeds.
    /// Sessions that peers dialed are closed by those peers.
    fn close_unwanted(
        &mut self,
        now: Timestamp,
        wanted: &BTreeSet<Member>,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let is_unwanted = |peer: &&Peer| {
            let member = peer.member.as_ref();
            peer.is_dialed && member.is_some_and(|member| !wanted.contains(member))
        };
        for (session, peer) in self.peers.iter().filter(|(_, peer)| is_unwanted(peer)) {
            let close_due_at = peer.opened_at.after(MIN_SESSION_AGE);
            if now >= close_due_at {
                effects.push(MembershipEffect::Close(*session));
            } else {
                let first = self
                    .close_due_at
                    .map_or(close_due_at, |at| at.min(close_due_at));
                self.close_due_at = Some(first);
            }
        }
    }
}
