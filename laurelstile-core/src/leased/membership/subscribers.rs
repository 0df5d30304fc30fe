//! Subscribers: the agents that a gateway notifies of changes in the membership.
//!
//! An agent is sent only the few gateways that it ranks first, so that its cost does not grow with
//! the fleet. Updates are sent in batches, since many gateways become known at once when many
//! start.

use std::collections::{BTreeMap, BTreeSet};

use laurelstile_types::time::{Span, Timestamp};

use super::super::messages::{CandidateSummary, Member};
use super::directory::Directory;
use super::rank::Candidates;
use crate::session::SessionId;

/// Minimum interval between two batches of updates.
const UPDATE_INTERVAL: Span = Span::from_millis(50);
/// An agent is notified by this many of the gateways that it ranks first, not by every gateway that
/// it has a session with.
const NOTIFIERS: usize = 4;

/// An agent with a session.
#[derive(Debug)]
struct Subscriber {
    candidates: Candidates,
    /// Members that it has yet to be sent.
    pending: BTreeSet<Member>,
}

impl Subscriber {
    fn is_notified_by(&self, gateway: &Member) -> bool {
        let mut first = self.candidates.iter().take(NOTIFIERS);
        first.any(|member| member == gateway)
    }

    /// Queues the agent's candidates that `is_new` selects, if `gateway` notifies this agent.
    fn queue_new(&mut self, gateway: &Member, is_new: impl Fn(&Member) -> bool) {
        if self.is_notified_by(gateway) {
            let updates = self.candidates.iter().filter(|member| is_new(member));
            self.pending.extend(updates.cloned());
        }
    }
}

/// The agents with a session, by session.
#[derive(Debug)]
pub struct Subscribers {
    own: Member,
    by_session: BTreeMap<SessionId, Subscriber>,
    notified_at: Option<Timestamp>,
    /// Sessions subscribed since the last [`Self::take_updates`].
    new_sessions: BTreeSet<SessionId>,
}

impl Subscribers {
    /// No subscribers, at the gateway `own`.
    pub fn new(own: Member) -> Self {
        Self {
            own,
            by_session: BTreeMap::new(),
            notified_at: None,
            new_sessions: BTreeSet::new(),
        }
    }

    /// Subscribes an agent by the summary in its first message. It is sent all its candidates if it
    /// knows too few, or if it knows different ones and ranks this gateway among the first.
    pub fn subscribe(
        &mut self,
        session: SessionId,
        agent: &str,
        summary: &CandidateSummary,
        directory: &Directory,
    ) {
        let candidates = Candidates::among(agent, &summary.zone, directory.members());
        let knows_same = candidates.digest() == summary.digest;
        let knows_enough = summary.count >= candidates.iter().count();
        let mut subscriber = Subscriber {
            candidates,
            pending: BTreeSet::new(),
        };
        if !knows_same && (!knows_enough || subscriber.is_notified_by(&self.own)) {
            subscriber.pending = subscriber.candidates.iter().cloned().collect();
        }
        self.by_session.insert(session, subscriber);
        self.new_sessions.insert(session);
    }

    /// Whether the agent of a session is subscribed.
    pub fn contains(&self, session: SessionId) -> bool {
        self.by_session.contains_key(&session)
    }

    /// Removes the subscriber of a closed session.
    pub fn unsubscribe(&mut self, session: SessionId) {
        self.by_session.remove(&session);
        self.new_sessions.remove(&session);
    }

    /// Gateways became known, or have a session again.
    pub fn on_added(&mut self, added: &[Member]) {
        for subscriber in self.by_session.values_mut() {
            for member in added {
                subscriber.candidates.insert(member);
            }
            subscriber.queue_new(&self.own, |member| added.contains(member));
        }
    }

    /// Gateways are gone: the next in rank replace them as candidates.
    pub fn on_removed(&mut self, removed: &[Member], directory: &Directory) {
        for subscriber in self.by_session.values_mut() {
            let was_candidate = |member: &Member| subscriber.candidates.contains(member);
            if !removed.iter().any(was_candidate) {
                continue;
            }
            let candidates = subscriber.candidates.reselected(directory.members());
            let before = std::mem::replace(&mut subscriber.candidates, candidates);
            subscriber.queue_new(&self.own, |member| !before.contains(member));
            let candidates = &subscriber.candidates;
            subscriber
                .pending
                .retain(|member| candidates.contains(member));
        }
    }

    /// Takes the updates to be sent now: at once for new sessions, for others when a batch is due.
    pub fn take_updates(&mut self, now: Timestamp) -> Vec<(SessionId, Vec<Member>)> {
        let is_due = self.due_at().is_some_and(|due| now >= due);
        let new_sessions = std::mem::take(&mut self.new_sessions);
        let mut updates = Vec::new();
        for (session, subscriber) in &mut self.by_session {
            if !subscriber.pending.is_empty() && (is_due || new_sessions.contains(session)) {
                let members = std::mem::take(&mut subscriber.pending);
                updates.push((*session, members.into_iter().collect()));
            }
        }
        if is_due {
            self.notified_at = Some(now);
        }
        updates
    }

    /// When the next batch of updates is due; `None` if there is none.
    pub fn due_at(&self) -> Option<Timestamp> {
        let mut by_session = self.by_session.values();
        let has_updates = by_session.any(|subscriber| !subscriber.pending.is_empty());
        let due = self.notified_at.map(|at| at.after(UPDATE_INTERVAL));
        has_updates.then(|| due.unwrap_or_default())
    }
}
