//! Which gateways there are, who keeps sessions to whom, and who is told what.
//!
//! | part | question |
//! | --- | --- |
//! | [`directory`], [`digest`] | which gateways does a gateway know, and where from? |
//! | [`neighbors`] | to which of them does it keep sessions? |
//! | [`page`] | how is the store's list read? |
//! | [`exchange`] | how do neighbors find out that they know different ones? |
//! | [`audience`] | which of them are agents told? |
//! | [`subset`] | to which of those does an agent keep sessions? |
//! | [`rank`] | the order that all of them choose by |
//!
//! Nothing here grows faster than the fleet: a gateway's sessions to others and what an
//! agent is told have bounds; a directory has an entry for each gateway, is fetched once,
//! and compared by hashes from then on. No promise rests on a directory being right or
//! complete: agents alone decide what starts, and whoever dials a gateway that is not there
//! takes the next in rank.

pub mod audience;
pub mod digest;
pub mod directory;
pub mod exchange;
pub mod neighbors;
pub mod page;
pub mod rank;
pub mod subset;

use std::collections::{BTreeMap, BTreeSet};

use laurelstile_types::time::{Span, Timestamp};

use super::messages::{CandidateSummary, Introduction, Member, ToPeer};
use crate::session::SessionId;
use audience::Audience;
use digest::{Digest, PartDigests};
use directory::Directory;
use exchange::Exchange;
use neighbors::Neighbors;
use page::Page;

/// Pause between two looks at which sessions are wanted, while the directory changes.
const LOOK_PAUSE: Span = Span::from_millis(50);
/// How often is looked again while some that are wanted do not answer.
const REVIEW: Span = Span::from_millis(2_000);
/// How long a session that this gateway has dialed and does not want stays open.
const RELEASE_PAUSE: Span = Span::from_millis(2_000);

/// A session to another gateway.
#[derive(Debug)]
struct Peer {
    /// Who it is, once it has said so.
    member: Option<Member>,
    is_dialed: bool,
    opened: Timestamp,
}

/// What a gateway knows of the others.
#[derive(Debug)]
pub struct Membership {
    own: Member,
    directory: Directory,
    neighbors: Neighbors,
    exchange: Exchange,
    audience: Audience,
    peers: BTreeMap<SessionId, Peer>,
    /// Whether the choice of neighbors has to be made again.
    is_stale: bool,
    looked_at: Option<Timestamp>,
    /// When a session that is not wanted has been open for long enough to be closed.
    release_at: Option<Timestamp>,
    /// What the log was last told.
    view: Option<View>,
}

/// How a gateway stands to the others, for the log. Gateways whose directories have the same
/// hash know the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct View {
    /// Gateways that it knows, itself among them.
    pub known: usize,
    /// Gateways to which it wants sessions.
    pub wanted: usize,
    /// Those of them with a session.
    pub answering: usize,
    /// Hash of its directory.
    pub directory: Digest,
}

/// What is to be done.
#[derive(Debug)]
pub enum MembershipEffect {
    /// An agent is to be told of gateways.
    SendToAgent(SessionId, Vec<Member>),
    /// A peer is to be sent a message.
    SendToPeer(SessionId, ToPeer),
    /// These are to be dialed until they answer.
    Dial {
        /// The gateways.
        members: Vec<Member>,
        /// Whether others need not be dialed any more: enough sessions are there.
        is_settled: bool,
    },
    /// A session is not wanted any more.
    Close(SessionId),
    /// How this gateway stands to the others has changed.
    Changed(View),
}

impl Membership {
    /// A gateway that knows no other.
    pub fn new(own: Member) -> Self {
        Self {
            directory: Directory::new(own.clone()),
            audience: Audience::new(own.clone()),
            own,
            neighbors: Neighbors::default(),
            exchange: Exchange::default(),
            peers: BTreeMap::new(),
            is_stale: false,
            looked_at: None,
            release_at: None,
            view: None,
        }
    }

    /// All gateways that are known, this one among them.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.directory.members()
    }

    /// A session to a peer was opened, dialed by this side or by the other. Gives what it
    /// has to be told first.
    pub fn on_peer_opened(
        &mut self,
        now: Timestamp,
        session: SessionId,
        is_dialed: bool,
    ) -> Introduction {
        let peer = Peer {
            member: None,
            is_dialed,
            opened: now,
        };
        self.peers.insert(session, peer);
        Introduction::new(&self.own, self.directory.digest())
    }

    /// A peer says who it is. One that does not compare directories, since it is of an
    /// earlier build, is told the whole list once.
    pub fn on_introduction(
        &mut self,
        session: SessionId,
        introduction: Introduction,
    ) -> Option<MembershipEffect> {
        let peer = self.peers.get_mut(&session)?;
        let directory = introduction.directory;
        let member = introduction.into_member();
        let own = self.directory.digest();
        self.exchange.open(session, directory, own);
        if member.name != self.own.name {
            self.directory.meet(session, &member);
            peer.member = Some(member);
        }
        self.is_stale = true;
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
        self.exchange.close(session);
        self.directory.part(now, session);
        self.is_stale = true;
    }

    /// A peer tells the hash of its directory.
    pub fn on_digest(&mut self, session: SessionId, digest: Digest) {
        self.exchange.hear(session, digest);
    }

    /// A peer asks for the parts in which its directory differs.
    pub fn on_members_wanted(&self, session: SessionId, parts: &PartDigests) -> MembershipEffect {
        let members = self.directory.differing_from(parts);
        MembershipEffect::SendToPeer(session, ToPeer::Members(members))
    }

    /// A peer names members.
    pub fn on_members(&mut self, now: Timestamp, session: SessionId, members: Vec<Member>) {
        let is_whole = members.len() < directory::MOST_TOLD;
        self.exchange.note_answer(session, is_whole);
        self.directory.hear(now, members);
    }

    /// A page of the store's list was read.
    pub fn on_list_page(&mut self, now: Timestamp, page: Page) {
        self.directory.read_page(now, page);
    }

    /// An agent says which gateways it seeks.
    pub fn on_candidates(&mut self, session: SessionId, agent: &str, sought: &CandidateSummary) {
        self.audience.join(session, agent, sought, &self.directory);
    }

    /// An agent tells its zone with what its worker is. One of an earlier build has not said
    /// what it seeks.
    pub fn on_zone_reported(&mut self, session: SessionId, agent: &str, zone: &str) {
        if !self.audience.has(session) {
            let sought = CandidateSummary {
                zone: zone.to_owned(),
                known: 0,
                count: 0,
            };
            self.on_candidates(session, agent, &sought);
        }
    }

    /// A session to an agent was closed.
    pub fn on_agent_closed(&mut self, session: SessionId) {
        self.audience.leave(session);
    }

    /// Does what is due.
    pub fn flush(&mut self, now: Timestamp) -> Vec<MembershipEffect> {
        let mut effects = Vec::new();
        if self.directory.has_changes() {
            let (arrivals, departures) = self.directory.take_changes();
            self.audience.note_arrivals(&arrivals);
            self.audience.note_departures(&departures, &self.directory);
            self.is_stale = true;
        }
        if self.looks_at().is_some_and(|at| now >= at) {
            self.look(now, &mut effects);
        }
        let due = self.exchange.take_due(now, self.directory.digest());
        for session in due.tell {
            let message = ToPeer::Digest(self.directory.digest());
            effects.push(MembershipEffect::SendToPeer(session, message));
        }
        if let Some(session) = due.ask {
            let message = ToPeer::MembersWanted(self.directory.part_digests());
            effects.push(MembershipEffect::SendToPeer(session, message));
        }
        for (session, members) in self.audience.take_news(now) {
            effects.push(MembershipEffect::SendToAgent(session, members));
        }
        effects
    }

    /// When time alone makes something due.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let exchange = self.exchange.due_at(self.directory.digest());
        let due = [self.looks_at(), exchange, self.audience.due_at()];
        due.into_iter().flatten().min()
    }

    /// When to look again which sessions are wanted.
    fn looks_at(&self) -> Option<Timestamp> {
        let Some(looked_at) = self.looked_at else {
            return self.is_stale.then(Timestamp::default);
        };
        if self.is_stale {
            return Some(looked_at.after(LOOK_PAUSE));
        }
        let review = self.neighbors.due_at().map(|silent| {
            let substitute = (silent > looked_at).then_some(silent);
            substitute.unwrap_or_else(|| looked_at.after(REVIEW))
        });
        [review, self.release_at].into_iter().flatten().min()
    }

    fn look(&mut self, now: Timestamp, effects: &mut Vec<MembershipEffect>) {
        self.is_stale = false;
        self.looked_at = Some(now);
        self.release_at = None;
        let met = self.peers.values().filter_map(|peer| peer.member.clone());
        let met: BTreeSet<Member> = met.collect();
        let wanted = self.neighbors.wanted(now, &self.own, &self.directory, &met);
        let answering = wanted.intersection(&met).count();
        let is_settled = !wanted.is_empty() && answering * 2 >= wanted.len();
        let to_dial = wanted.iter().filter(|member| !self.has_dialed_us(member));
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

    /// Whether a member has a session that it has dialed itself.
    fn has_dialed_us(&self, member: &Member) -> bool {
        let mut peers = self.peers.values();
        peers.any(|peer| !peer.is_dialed && peer.member.as_ref() == Some(member))
    }

    /// Closes the sessions that this gateway has dialed and does not want, such as those to
    /// its seeds. What others have dialed is theirs.
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
            let release_at = peer.opened.after(RELEASE_PAUSE);
            if now >= release_at {
                effects.push(MembershipEffect::Close(*session));
            } else {
                let first = self.release_at.map_or(release_at, |at| at.min(release_at));
                self.release_at = Some(first);
            }
        }
    }
}
