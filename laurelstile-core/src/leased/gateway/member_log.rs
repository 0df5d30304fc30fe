//! Who was told of which gateways.
//!
//! Gateways become known in a burst when many start at once. Each session is told only
//! what it has not been told, and what comes within a moment goes out together: whole
//! lists at each change would be, with 55 gateways and 240 agents, some 50 MB from each
//! (computed).

use std::collections::{BTreeMap, BTreeSet};

use laurelstile_types::time::{Span, Timestamp};

use crate::leased::messages::Member;
use crate::session::SessionId;

/// Pause between two rounds of news to sessions that have had some.
const PAUSE: Span = Span::from_millis(50);
/// The log is rewritten once it has so many entries for each gateway, and some more.
const ENTRIES_PER_MEMBER: usize = 4;
const SPARE_ENTRIES: usize = 64;

/// Gateways in the order in which they became known, and how far each session was told.
#[derive(Debug, Default)]
pub struct MemberLog {
    entries: Vec<Member>,
    present: BTreeSet<Member>,
    told: BTreeMap<SessionId, usize>,
    told_here: usize,
    told_at: Option<Timestamp>,
}

/// News of gateways, and for whom.
#[derive(Debug, Default)]
pub struct MemberNews {
    /// For this process itself.
    pub here: Vec<Member>,
    /// For its sessions.
    pub sessions: Vec<(SessionId, Vec<Member>)>,
}

impl MemberLog {
    /// The gateways that are known now. One that was away and is back is told anew.
    pub fn update(&mut self, present: BTreeSet<Member>) {
        let news = present.difference(&self.present).cloned();
        self.entries.extend(news);
        self.present = present;
    }

    /// The gateways that are known now.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.present.iter()
    }

    /// A session was opened, and has been told nothing.
    pub fn open(&mut self, session: SessionId) {
        self.told.insert(session, 0);
    }

    /// A session was closed.
    pub fn close(&mut self, session: SessionId) {
        self.told.remove(&session);
    }

    /// What is to be told now: everything to new sessions, and what is new to the others
    /// once the pause is over.
    pub fn take_news(&mut self, now: Timestamp) -> MemberNews {
        let is_due = self.due_at().is_some_and(|due| now >= due);
        let mut news = MemberNews::default();
        if is_due {
            news.here = self.entries[self.told_here..].to_vec();
            self.told_here = self.entries.len();
            self.told_at = Some(now);
        }
        for (session, told) in &mut self.told {
            let is_new = *told == 0;
            if *told < self.entries.len() && (is_new || is_due) {
                news.sessions
                    .push((*session, self.entries[*told..].to_vec()));
                *told = self.entries.len();
            }
        }
        self.shorten();
        news
    }

    /// When the next news are due, if there are any.
    pub fn due_at(&self) -> Option<Timestamp> {
        let has_news = self.told_here < self.entries.len()
            || self.told.values().any(|told| *told < self.entries.len());
        has_news.then(|| {
            self.told_at
                .map_or(Timestamp::default(), |at| at.after(PAUSE))
        })
    }

    /// Leaves out what stands twice, once everybody was told everything.
    fn shorten(&mut self) {
        let bound = self.present.len() * ENTRIES_PER_MEMBER + SPARE_ENTRIES;
        if self.entries.len() <= bound || self.due_at().is_some() {
            return;
        }
        self.entries = self.present.iter().cloned().collect();
        self.told_here = self.entries.len();
        for told in self.told.values_mut() {
            *told = self.entries.len();
        }
    }
}
