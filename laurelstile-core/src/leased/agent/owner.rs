//! A gateway, as the agent sees it: its session, its echo, the ends that it has not
//! acknowledged, the tasks that wait there, and the room that is held for it.

use std::collections::{BTreeMap, VecDeque};

use laurelstile_types::time::{Span, Timestamp};

use super::super::messages::{Announcement, EndKind, Offer, Report, TaskEnd};
use super::super::resources::Resources;
use super::super::task::{JobId, RunId};
use super::super::timing::OWNER_TIMEOUT;
use crate::session::SessionId;

/// Ends that are kept for a gateway that does not acknowledge them; above
/// this the oldest are dropped.
const MOST_ENDS: usize = 4_096;

/// Pause between two reports that have no other reason than a change of room. Room
/// changes some 40 times a second at a busy worker (computed), and each report goes to up to sixteen
/// gateways; with 5 ms nearly every change was a report of its own, for the same worth.
const REPORT_PAUSE: Span = Span::from_millis(15);
/// How much later than the gateway whose task ended the others hear of the room
/// that it left.
const HEAD_START: Span = Span::from_millis(6);

/// A step of a job at a gateway.
pub type StepKey = (JobId, u32);

/// Tasks of a step that wait at a gateway.
#[derive(Clone, Copy, Debug)]
pub struct AnnouncedStep {
    /// What each needs.
    pub resources: Resources,
    /// How many wait, less those for which room was offered.
    pub count: u32,
    /// Rank; the lowest goes first.
    pub rank: u32,
    /// When they stop to wait.
    pub until: Timestamp,
}

/// Room that is held for a gateway.
#[derive(Clone, Copy, Debug)]
struct PendingOffer {
    offer: Offer,
    until: Timestamp,
    is_sent: bool,
}

/// Most steps of a gateway that are remembered as waiting.
const MOST_ANNOUNCED: usize = 512;

/// A gateway with a session, or with runs or ends here.
#[derive(Debug)]
pub struct Owner {
    /// Its session, if one is open.
    pub session: Option<SessionId>,
    /// When the latest session was opened.
    pub opened: Timestamp,
    /// The latest reading of this agent's clock that it has sent back.
    pub echo: Timestamp,
    /// Batches of the session that were taken in.
    pub processed: u64,
    /// When something was last sent to it.
    pub last_sent: Timestamp,
    /// The report that it was last sent.
    pub last_report: Option<Report>,
    /// When that was.
    pub reported: Timestamp,
    /// Since when the worker has had more room than that report said.
    pub has_more_room_since: Option<Timestamp>,
    /// When it last asked for a start.
    pub asked: Option<Timestamp>,
    /// Whether it gets no room: its session is about to be closed.
    pub is_released: bool,
    /// Whether it was told what the worker is.
    pub has_snapshot: bool,
    /// Number of the last crash of the worker that it was told of, on this session.
    pub told_crashes: u64,
    ends: VecDeque<TaskEnd>,
    unsent: usize,
    last_number: u64,
    announced: BTreeMap<StepKey, AnnouncedStep>,
    offers: Vec<PendingOffer>,
    last_offer: u64,
}

impl Owner {
    /// A gateway whose session was opened at `now`.
    pub fn new(now: Timestamp) -> Self {
        Self {
            session: None,
            opened: now,
            echo: now,
            processed: 0,
            last_sent: now,
            last_report: None,
            reported: Timestamp::default(),
            has_more_room_since: None,
            asked: None,
            is_released: false,
            has_snapshot: false,
            told_crashes: 0,
            ends: VecDeque::new(),
            unsent: 0,
            last_number: 0,
            announced: BTreeMap::new(),
            offers: Vec::new(),
            last_offer: 0,
        }
    }

    /// A new session is open: everything that is not acknowledged goes out
    /// again. Its echo stays as it was: that a connection was made is not the gateway's word,
    /// which may lag behind and hold this agent for silent.
    pub fn open(&mut self, now: Timestamp, session: SessionId) {
        self.session = Some(session);
        self.opened = now;
        self.processed = 0;
        self.last_report = None;
        self.has_more_room_since = None;
        self.is_released = false;
        self.has_snapshot = false;
        self.told_crashes = 0;
        self.unsent = self.ends.len();
        self.forget_waiting();
    }

    /// The session is closed.
    pub fn close(&mut self) {
        self.session = None;
        self.forget_waiting();
    }

    fn forget_waiting(&mut self) {
        self.announced.clear();
        self.offers.clear();
    }

    /// Takes in which tasks wait there.
    pub fn announce(&mut self, now: Timestamp, announcement: &Announcement) {
        let key = (announcement.job, announcement.step);
        if announcement.count == 0 {
            self.announced.remove(&key);
            return;
        }
        self.announced.retain(|_, step| step.until > now);
        if self.announced.len() >= MOST_ANNOUNCED {
            return;
        }
        let step = AnnouncedStep {
            resources: announcement.resources,
            count: announcement.count,
            rank: announcement.rank,
            until: now.after(Span::from_millis(u64::from(announcement.ttl_millis))),
        };
        self.announced.insert(key, step);
    }

    /// The steps that wait there.
    pub fn announced(&self, now: Timestamp) -> impl Iterator<Item = (StepKey, AnnouncedStep)> {
        self.announced
            .iter()
            .map(|(key, step)| (*key, *step))
            .filter(move |(_, step)| step.count > 0 && step.until > now)
    }

    /// Holds `room` for `tasks` tasks of a step until `until`.
    pub fn offer(&mut self, key: StepKey, resources: Resources, tasks: u32, until: Timestamp) {
        if let Some(step) = self.announced.get_mut(&key) {
            step.count = step.count.saturating_sub(tasks);
        }
        self.last_offer += 1;
        let offer = Offer {
            number: self.last_offer,
            resources,
        };
        self.offers.push(PendingOffer {
            offer,
            until,
            is_sent: false,
        });
    }

    /// An offer was answered.
    pub fn end_offer(&mut self, number: u64) {
        self.offers.retain(|pending| pending.offer.number != number);
    }

    /// Ends the offers if one was not answered in time, and says so. What waits at a
    /// gateway that does not answer is forgotten.
    pub fn expire_offers(&mut self, now: Timestamp) -> bool {
        let is_expired = self.offers.iter().any(|pending| now >= pending.until);
        if is_expired {
            self.forget_waiting();
        }
        is_expired
    }

    /// When the next offer ends.
    pub fn next_offer_end(&self) -> Option<Timestamp> {
        self.offers.iter().map(|pending| pending.until).min()
    }

    /// Room that is held for it.
    pub fn offered_room(&self) -> Resources {
        self.offers
            .iter()
            .map(|pending| pending.offer.resources)
            .fold(Resources::default(), Resources::saturating_add)
    }

    /// The offers that were not sent yet.
    pub fn take_unsent_offers(&mut self) -> Vec<Offer> {
        let unsent = self.offers.iter_mut().filter(|pending| !pending.is_sent);
        unsent
            .map(|pending| {
                pending.is_sent = true;
                pending.offer
            })
            .collect()
    }

    /// Whether an offer waits to be sent.
    pub fn has_unsent_offer(&self) -> bool {
        self.offers.iter().any(|pending| !pending.is_sent)
    }

    /// Adds an end.
    pub fn push_end(&mut self, run: RunId, how: EndKind) {
        self.last_number += 1;
        self.ends.push_back(TaskEnd {
            number: self.last_number,
            task: run.task,
            run: run.run,
            how,
        });
        self.unsent += 1;
        if self.ends.len() > MOST_ENDS {
            self.ends.pop_front();
            self.unsent = self.unsent.min(self.ends.len());
        }
    }

    /// Forgets the ends up to `seen`.
    pub fn acknowledge(&mut self, seen: u64) {
        while self.ends.front().is_some_and(|end| end.number <= seen) {
            self.ends.pop_front();
        }
        self.unsent = self.unsent.min(self.ends.len());
    }

    /// The ends that were not sent on this session.
    pub fn take_unsent(&mut self) -> Vec<TaskEnd> {
        let sent = self.ends.len() - self.unsent;
        self.unsent = 0;
        self.ends.range(sent..).cloned().collect()
    }

    /// Whether ends wait to be sent.
    pub fn has_unsent(&self) -> bool {
        self.unsent > 0
    }

    /// Whether ends wait to be acknowledged.
    pub fn has_unacknowledged(&self) -> bool {
        !self.ends.is_empty()
    }

    /// Notes whether `report` has more room than the one that it was last sent.
    pub fn note_room(&mut self, now: Timestamp, report: &Report) {
        let has_more = self
            .last_report
            .is_some_and(|last| !report.free.fits_in(last.free));
        if has_more {
            self.has_more_room_since.get_or_insert(now);
        } else {
            self.has_more_room_since = None;
        }
    }

    /// When a report that has no other reason than a change may be sent. More room
    /// is told late to those whose tasks have not made it: the gateway whose task
    /// ended may fill it first, and the others need not all run for it.
    pub fn report_due(&self) -> Timestamp {
        let paused = self.reported.after(REPORT_PAUSE);
        match self.has_more_room_since {
            Some(since) => paused.max(since.after(HEAD_START)),
            None => paused,
        }
    }

    /// Notes that `report` is sent at `now`.
    pub fn note_reported(&mut self, now: Timestamp, report: Report) {
        self.reported = now;
        self.last_report = Some(report);
        self.has_more_room_since = None;
    }

    /// Age of its latest echo.
    pub fn echo_age(&self, now: Timestamp) -> Span {
        now.since(self.echo)
    }

    /// When it counts as silent.
    pub fn silent_at(&self) -> Timestamp {
        self.echo.after(OWNER_TIMEOUT)
    }
}
