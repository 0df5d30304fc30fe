//! How gateways compare what they know of each other.
//!
//! Neighbors tell each other the hash of their directories whenever it has changed. Where
//! it differs, the parts that differ are asked for, of one neighbor at a time. A directory
//! is never sent whole to somebody who has most of it.

use std::collections::BTreeMap;

use laurelstile_types::time::{Span, Timestamp};

use super::directory::Digest;
use crate::session::SessionId;

/// Pause between two rounds of digests.
const PAUSE: Span = Span::from_millis(200);
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
    /// The neighbor that is asked now, and since when.
    asked: Option<(SessionId, Timestamp)>,
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
        self.asked.take_if(|(asked, _)| *asked == session);
    }

    /// A neighbor tells a digest.
    pub fn hear(&mut self, session: SessionId, digest: Digest) {
        if let Some(neighbor) = self.neighbors.get_mut(&session) {
            neighbor.theirs = Some(digest);
        }
    }

    /// A neighbor has sent what differs.
    pub fn note_answer(&mut self, session: SessionId) {
        self.asked.take_if(|(asked, _)| *asked == session);
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
        let due = self.asked.map(|(_, at)| at.after(ASK_AGAIN));
        differs.then(|| due.unwrap_or_default())
    }

    fn ask(&mut self, now: Timestamp, own: Digest) -> Option<SessionId> {
        let mut neighbors = self.neighbors.iter_mut();
        let (session, neighbor) = neighbors.find(|(_, neighbor)| neighbor.has_news(own))?;
        neighbor.asked_for = neighbor.theirs;
        self.asked = Some((*session, now));
        Some(*session)
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
