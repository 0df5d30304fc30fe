//! Anti-entropy: how gateways compare and synchronize their directories.
//!
//! Neighbors send each other the hash of their directory whenever it changes. Where the hashes
//! differ, a gateway requests the differing parts from one neighbor at a time. A gateway that
//! already has most of a directory is never sent the whole.

use std::collections::BTreeMap;

use laurelstile_types::time::{Span, Timestamp};

use super::digest::Digest;
use crate::session::SessionId;

/// Minimum interval between two rounds of digests.
const DIGEST_INTERVAL: Span = Span::from_millis(100);
/// Minimum interval between two requests. While many gateways start, directories change quickly,
/// and requests to several neighbors would return nearly the same members.
const REQUEST_INTERVAL: Span = Span::from_millis(20);
/// A request that has not been answered after this time is abandoned for the next neighbor.
const REQUEST_TIMEOUT: Span = Span::from_millis(500);

/// Digests exchanged with a neighbor, by which its directory is compared with this gateway's.
#[derive(Debug, Default)]
struct Neighbor {
    /// The digest that was last sent to the neighbor.
    sent: Option<Digest>,
    /// The digest that the neighbor last sent; `None` from an older version, which sends none.
    received: Option<Digest>,
    /// The neighbor's digest when its members were last requested.
    requested: Option<Digest>,
}

/// State of the comparison with all neighbors.
#[derive(Debug, Default)]
pub struct AntiEntropy {
    neighbors: BTreeMap<SessionId, Neighbor>,
    digests_sent_at: Option<Timestamp>,
    /// The neighbor of the last request, and when it was sent.
    last_request: Option<(SessionId, Timestamp)>,
    /// Whether the last request is unanswered.
    awaits_answer: bool,
}

/// Messages to be sent.
#[derive(Debug, Default)]
pub struct DueMessages {
    /// Neighbors to which the digest is sent.
    pub digest_to: Vec<SessionId>,
    /// The neighbor whose differing members are requested.
    pub request_from: Option<SessionId>,
}

impl AntiEntropy {
    /// A neighbor introduced itself, with its digest unless it is of an older version. This
    /// gateway's introduction has sent it `own`.
    pub fn on_opened(&mut self, session: SessionId, received: Option<Digest>, own: Digest) {
        let neighbor = Neighbor {
            sent: Some(own),
            received,
            requested: None,
        };
        self.neighbors.insert(session, neighbor);
    }

    /// A neighbor's session was closed.
    pub fn on_closed(&mut self, session: SessionId) {
        self.neighbors.remove(&session);
        self.on_answer(session, true);
    }

    /// A neighbor sent its digest.
    pub fn on_digest(&mut self, session: SessionId, digest: Digest) {
        if let Some(neighbor) = self.neighbors.get_mut(&session) {
            neighbor.received = Some(digest);
        }
    }

    /// A neighbor answered with differing members; the answer is not `is_complete` if it was
    /// truncated.
    pub fn on_answer(&mut self, session: SessionId, is_complete: bool) {
        if self.last_request.is_some_and(|(asked, _)| asked == session) {
            self.awaits_answer = false;
        }
        if let Some(neighbor) = self.neighbors.get_mut(&session)
            && !is_complete
        {
            neighbor.requested = None;
        }
    }

    /// Takes the messages to be sent now.
    pub fn take_due(&mut self, now: Timestamp, own: Digest) -> DueMessages {
        let mut due = DueMessages::default();
        if self.digests_due_at(own).is_some_and(|at| now >= at) {
            self.digests_sent_at = Some(now);
            for (session, neighbor) in &mut self.neighbors {
                if neighbor.needs_digest(own) {
                    neighbor.sent = Some(own);
                    due.digest_to.push(*session);
                }
            }
        }
        if self.request_due_at(own).is_some_and(|at| now >= at) {
            due.request_from = self.request(now, own);
        }
        due
    }

    /// When the next message is due, if nothing else happens before.
    pub fn due_at(&self, own: Digest) -> Option<Timestamp> {
        let due = [self.digests_due_at(own), self.request_due_at(own)];
        due.into_iter().flatten().min()
    }

    fn digests_due_at(&self, own: Digest) -> Option<Timestamp> {
        let mut neighbors = self.neighbors.values();
        let is_due = neighbors.any(|neighbor| neighbor.needs_digest(own));
        let due = self.digests_sent_at.map(|at| at.after(DIGEST_INTERVAL));
        is_due.then(|| due.unwrap_or_default())
    }

    fn request_due_at(&self, own: Digest) -> Option<Timestamp> {
        let mut neighbors = self.neighbors.values();
        let differs = neighbors.any(|neighbor| neighbor.may_have_updates(own));
        let pause = if self.awaits_answer {
            REQUEST_TIMEOUT
        } else {
            REQUEST_INTERVAL
        };
        let due = self.last_request.map(|(_, at)| at.after(pause));
        differs.then(|| due.unwrap_or_default())
    }

    fn request(&mut self, now: Timestamp, own: Digest) -> Option<SessionId> {
        // Round-robin: the next neighbor after the last that was asked.
        let last = self.last_request.map(|(asked, _)| asked);
        let with_updates = self
            .neighbors
            .iter()
            .filter(|(_, neighbor)| neighbor.may_have_updates(own));
        let with_updates: Vec<SessionId> = with_updates.map(|(session, _)| *session).collect();
        let next = with_updates.iter().find(|session| Some(**session) > last);
        let session = *next.or(with_updates.first())?;
        if let Some(neighbor) = self.neighbors.get_mut(&session) {
            neighbor.requested = neighbor.received;
        }
        self.last_request = Some((session, now));
        self.awaits_answer = true;
        Some(session)
    }
}

impl Neighbor {
    fn needs_digest(&self, own: Digest) -> bool {
        self.received.is_some() && self.sent != Some(own)
    }

    /// Whether the neighbor may know members that are unknown here. Each state of its directory is
    /// requested once: two directories that keep differing, because one gateway cannot read the
    /// list in the store, would otherwise be requested without end.
    fn may_have_updates(&self, own: Digest) -> bool {
        self.received.is_some_and(|received| received != own) && self.requested != self.received
    }
}
