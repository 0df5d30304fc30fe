//! How gateways compare what they know of each other.
//!
//! Neighbors tell each other the hash of their directories whenever it has changed. Where
//! it differs, the parts that differ are asked for, of one neighbor at a time. A directory
//! is never sent whole to somebody who has most of it.

use std::collections::BTreeMap;

use laurelstile_types::time::{Span, Timestamp};

use super::digest::Digest;
use crate::session::SessionId;

/// Pause between two rounds of digests.
const PAUSE: Span = Span::from_millis(100);
/// Pause between two questions. While many gateways start, directories change by the moment,
/// and each question to the next neighbor would fetch nearly the same again.
const ASK_PAUSE: Span = Span::from_millis(20);
/// A neighbor that was asked and has not answered after so long is passed over.
const ASK_AGAIN: Span = Span::from_millis(500);

/// What is known of a neighbor's directory.
#[derive(Debug, Default)]
struct Neighbor {
    /// What it was told last.
    told: Option<Digest>,
    /// What it has told last; none if it does not compare.
    theirs: Option<Digest>,
    /// Which of its directories it was last asked for, by a digest of its own.
    asked_for: Option<Digest>,
}

/// The comparison with all neighbors.
#[derive(Debug, Default)]
pub struct Exchange {
    neighbors: BTreeMap<SessionId, Neighbor>,
    told_at: Option<Timestamp>,
    /// The neighbor that was asked last, and when.
    asked: Option<(SessionId, Timestamp)>,
    /// Whether its answer is awaited.
    is_asking: bool,
}

/// What is to be sent.
#[derive(Debug, Default)]
pub struct Exchanged {
    /// Neighbors that are told the digest.
    pub tell: Vec<SessionId>,
    /// The neighbor that is asked for what differs.
    pub ask: Option<SessionId>,
}

impl Exchange {
    /// A neighbor introduces itself, with its digest if it compares. It has been told
    /// `own` with the introduction of this gateway.
    pub fn open(&mut self, session: SessionId, theirs: Option<Digest>, own: Digest) {
        let neighbor = Neighbor {
            told: Some(own),
            theirs,
            asked_for: None,
        };
        self.neighbors.insert(session, neighbor);
    }

    /// A neighbor's session was closed.
    pub fn close(&mut self, session: SessionId) {
        self.neighbors.remove(&session);
        self.note_answer(session, true);
    }

    /// A neighbor tells a digest.
    pub fn hear(&mut self, session: SessionId, digest: Digest) {
        if let Some(neighbor) = self.neighbors.get_mut(&session) {
            neighbor.theirs = Some(digest);
        }
    }

    /// A neighbor has sent what differs, or as much of it as an answer holds.
    pub fn note_answer(&mut self, session: SessionId, is_whole: bool) {
        if self.asked.is_some_and(|(asked, _)| asked == session) {
            self.is_asking = false;
        }
        if let Some(neighbor) = self.neighbors.get_mut(&session)
            && !is_whole
        {
            neighbor.asked_for = None;
        }
    }

    /// What is to be sent now.
    pub fn take_due(&mut self, now: Timestamp, own: Digest) -> Exchanged {
        let mut due = Exchanged::default();
        if self.tells_at(own).is_some_and(|at| now >= at) {
            self.told_at = Some(now);
            for (session, neighbor) in &mut self.neighbors {
                if neighbor.is_behind(own) {
                    neighbor.told = Some(own);
                    due.tell.push(*session);
                }
            }
        }
        if self.asks_at(own).is_some_and(|at| now >= at) {
            due.ask = self.ask(now, own);
        }
        due
    }

    /// When something is to be sent, if nothing happens before.
    pub fn due_at(&self, own: Digest) -> Option<Timestamp> {
        let due = [self.tells_at(own), self.asks_at(own)];
        due.into_iter().flatten().min()
    }

    fn tells_at(&self, own: Digest) -> Option<Timestamp> {
        let mut neighbors = self.neighbors.values();
        let is_due = neighbors.any(|neighbor| neighbor.is_behind(own));
        let due = self.told_at.map(|at| at.after(PAUSE));
        is_due.then(|| due.unwrap_or_default())
    }

    fn asks_at(&self, own: Digest) -> Option<Timestamp> {
        let mut neighbors = self.neighbors.values();
        let differs = neighbors.any(|neighbor| neighbor.has_news(own));
        let pause = if self.is_asking { ASK_AGAIN } else { ASK_PAUSE };
        let due = self.asked.map(|(_, at)| at.after(pause));
        differs.then(|| due.unwrap_or_default())
    }

    fn ask(&mut self, now: Timestamp, own: Digest) -> Option<SessionId> {
        // The one after the last that was asked, round and round.
        let last = self.asked.map(|(asked, _)| asked);
        let with_news = self.neighbors.iter().filter(|(_, one)| one.has_news(own));
        let with_news: Vec<SessionId> = with_news.map(|(session, _)| *session).collect();
        let next = with_news.iter().find(|session| Some(**session) > last);
        let session = *next.or(with_news.first())?;
        if let Some(neighbor) = self.neighbors.get_mut(&session) {
            neighbor.asked_for = neighbor.theirs;
        }
        self.asked = Some((session, now));
        self.is_asking = true;
        Some(session)
    }
}

impl Neighbor {
    fn is_behind(&self, own: Digest) -> bool {
        self.theirs.is_some() && self.told != Some(own)
    }

    /// Whether it may know what is not known here. One directory of a neighbor is asked for
    /// once: two that keep differing, since one of them cannot read the list, would ask for
    /// ever.
    fn has_news(&self, own: Digest) -> bool {
        self.theirs.is_some_and(|theirs| theirs != own) && self.asked_for != self.theirs
    }
}
