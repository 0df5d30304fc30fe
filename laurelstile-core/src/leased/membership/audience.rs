//! Which agents are told of which gateways.
//!
//! An agent wants sessions to the few gateways that it ranks first. Only those are told, so
//! that what an agent costs does not grow with the fleet; what comes within a moment goes
//! out together, since gateways become known in a burst when many start at once.

use std::collections::{BTreeMap, BTreeSet};

use laurelstile_types::time::{Span, Timestamp};

use super::super::messages::{CandidateSummary, Member};
use super::directory::Directory;
use super::rank::Candidates;
use crate::session::SessionId;

/// Pause between two rounds of news.
const PAUSE: Span = Span::from_millis(50);
/// News go to the agents that rank this gateway among so many first ones: an agent hears of
/// them from a few of its gateways, and not from each.
const TELLERS: usize = 4;

/// An agent that listens.
#[derive(Debug)]
struct Listener {
    candidates: Candidates,
    /// What it is still to be told.
    untold: BTreeSet<Member>,
}

impl Listener {
    fn hears_news_from(&self, gateway: &Member) -> bool {
        let mut first = self.candidates.iter().take(TELLERS);
        first.any(|member| member == gateway)
    }

    /// Owes the agent those candidates that are news, if it hears news from `gateway`.
    fn owe(&mut self, gateway: &Member, is_news: impl Fn(&Member) -> bool) {
        if self.hears_news_from(gateway) {
            let news = self.candidates.iter().filter(|member| is_news(member));
            self.untold.extend(news.cloned());
        }
    }
}

/// The agents that listen, by session.
#[derive(Debug)]
pub struct Audience {
    own: Member,
    listeners: BTreeMap<SessionId, Listener>,
    told_at: Option<Timestamp>,
    /// Sessions that have been told nothing yet.
    new: BTreeSet<SessionId>,
}

impl Audience {
    /// No agent listens to a gateway yet.
    pub fn new(own: Member) -> Self {
        Self {
            own,
            listeners: BTreeMap::new(),
            told_at: None,
            new: BTreeSet::new(),
        }
    }

    /// An agent says what it seeks. It is told of nothing if it knows the same already; if
    /// it knows others, but as many, only the gateways that it ranks first tell it better.
    pub fn join(
        &mut self,
        session: SessionId,
        agent: &str,
        sought: &CandidateSummary,
        directory: &Directory,
    ) {
        let candidates = Candidates::among(agent, &sought.zone, directory.members());
        let knows_them = candidates.digest() == sought.known;
        let knows_enough = sought.count >= candidates.iter().count();
        let mut listener = Listener {
            candidates,
            untold: BTreeSet::new(),
        };
        if !knows_them && (!knows_enough || listener.hears_news_from(&self.own)) {
            listener.untold = listener.candidates.iter().cloned().collect();
        }
        self.listeners.insert(session, listener);
        self.new.insert(session);
    }

    /// Whether the agent of a session has said what it seeks.
    pub fn has(&self, session: SessionId) -> bool {
        self.listeners.contains_key(&session)
    }

    /// A session was closed.
    pub fn leave(&mut self, session: SessionId) {
        self.listeners.remove(&session);
        self.new.remove(&session);
    }

    /// Gateways have come, or are back.
    pub fn note_arrivals(&mut self, arrivals: &[Member]) {
        for listener in self.listeners.values_mut() {
            for member in arrivals {
                listener.candidates.offer(member);
            }
            listener.owe(&self.own, |member| arrivals.contains(member));
        }
    }

    /// Gateways have gone: the next in rank are candidates in their place.
    pub fn note_departures(&mut self, departures: &[Member], directory: &Directory) {
        for listener in self.listeners.values_mut() {
            let had = |member: &Member| listener.candidates.contains(member);
            if !departures.iter().any(had) {
                continue;
            }
            let candidates = listener.candidates.chosen_again(directory.members());
            let before = std::mem::replace(&mut listener.candidates, candidates);
            listener.owe(&self.own, |member| !before.contains(member));
            let candidates = &listener.candidates;
            listener.untold.retain(|member| candidates.contains(member));
        }
    }

    /// What is to be told now: to new sessions at once, to the others once the pause is over.
    pub fn take_news(&mut self, now: Timestamp) -> Vec<(SessionId, Vec<Member>)> {
        let is_due = self.due_at().is_some_and(|due| now >= due);
        let new = std::mem::take(&mut self.new);
        let mut news = Vec::new();
        for (session, listener) in &mut self.listeners {
            if !listener.untold.is_empty() && (is_due || new.contains(session)) {
                let members = std::mem::take(&mut listener.untold);
                news.push((*session, members.into_iter().collect()));
            }
        }
        if is_due {
            self.told_at = Some(now);
        }
        news
    }

    /// When the next news are due, if there are any.
    pub fn due_at(&self) -> Option<Timestamp> {
        let mut listeners = self.listeners.values();
        let has_news = listeners.any(|listener| !listener.untold.is_empty());
        let due = self.told_at.map(|at| at.after(PAUSE));
        has_news.then(|| due.unwrap_or_default())
    }
}
