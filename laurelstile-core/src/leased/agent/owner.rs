//! Per-gateway state of an agent: session, latest echo, unacknowledged ends of runs, waiting
//! tasks and offers.

use std::collections::{BTreeMap, VecDeque};

use laurelstile_types::time::{Span, Timestamp};

use super::super::cancel_log::Cancelled;
use super::super::checkpoint::Checkpoint;
#[cfg(doc)]
use super::super::messages::NotStartedReason;
use super::super::messages::{Announcement, EndKind, Offer, Report, TaskEnd};
use super::super::queue_key::QueueKey;
use super::super::resources::Resources;
use super::super::task::{JobId, RunId};
use super::super::timing::OWNER_TIMEOUT;
use super::crash_history::ReportedCrashes;
use super::description::SentDescription;
use super::preemption::preemption_due;
use super::queue_usage::SentUsage;
use crate::session::SessionId;

/// Ends kept for a gateway that does not acknowledge them; beyond this the oldest are dropped.
const MAX_ENDS: usize = 4_096;

/// Minimum interval between two reports sent only because free resources changed. They change some
/// 40 times a second at a busy worker, and each report goes to up to sixteen gateways; with 5 ms
/// nearly every change is a report of its own.
const MIN_REPORT_INTERVAL: Span = Span::from_millis(15);
/// Delay after which other gateways learn of resources freed by a gateway's task, so that this
/// gateway can reuse them first.
const GROWTH_REPORT_DELAY: Span = Span::from_millis(6);

/// A job and the index of one of its steps.
pub type StepKey = (JobId, u32);

/// Waiting tasks of one step.
#[derive(Clone, Copy, Debug)]
pub struct AnnouncedStep {
    /// Resources that each task needs.
    pub resources: Resources,
    /// Number of waiting tasks, less those that resources were offered for.
    pub count: u32,
    /// Rank; the lowest is served first.
    pub rank: u32,
    /// When the tasks stop waiting.
    pub until: Timestamp,
    /// When the step was first announced.
    pub since: Timestamp,
    /// Queue of the job, if its gateway has named it.
    pub queue: Option<QueueKey>,
    /// From when on runs may be stopped for a task; `None` if never, or if they have been.
    pub preempts_at: Option<Timestamp>,
    /// Queue whose runs may be stopped; `None` for any other than `queue`.
    pub preempted_queue: Option<QueueKey>,
}

impl AnnouncedStep {
    /// Whether runs may be stopped for the tasks.
    pub fn is_preemption_due(&self, now: Timestamp) -> bool {
        self.preempts_at.is_some_and(|due| now >= due)
    }
}

/// The number of queue keys of a step: one, or none.
fn count_key(step: Option<&AnnouncedStep>) -> usize {
    usize::from(step.is_some_and(|step| step.queue.is_some()))
}

/// Resources reserved for a gateway.
#[derive(Clone, Copy, Debug)]
struct PendingOffer {
    offer: Offer,
    /// Queue of the step that the offer was made for, if its gateway named it.
    queue: Option<QueueKey>,
    until: Timestamp,
    is_sent: bool,
}

/// Steps with waiting tasks that are remembered for each gateway; further ones are ignored.
const MAX_ANNOUNCED_STEPS: usize = 512;

/// A gateway that has a session, runs or unacknowledged ends at this agent.
#[derive(Debug)]
pub struct Owner {
    /// The gateway's session, if one is open.
    pub session: Option<SessionId>,
    /// Number of the latest session. The order of the handshakes at the gateway may differ from
    /// the order in which this agent opened the sessions.
    pub session_number: u64,
    /// When the latest session was opened.
    pub opened: Timestamp,
    /// The latest reading of this agent's clock that the gateway has echoed.
    pub echo: Timestamp,
    /// Number of the last start batch processed on this session.
    pub processed: u64,
    /// When a message was last sent to the gateway.
    pub last_sent: Timestamp,
    /// The last report sent on this session.
    pub last_report: Option<Report>,
    /// When `last_report` was sent.
    pub reported: Timestamp,
    /// Since when the worker has had more free resources than the last report said.
    pub grown_since: Option<Timestamp>,
    /// When the gateway last requested a start; `None` if it has requested none.
    pub last_start_request: Option<Timestamp>,
    /// Whether the session is about to be closed, so that the gateway is reported no free
    /// resources.
    pub is_released: bool,
    /// Whether the current snapshot of the worker was sent on this session.
    pub has_snapshot: bool,
    /// The description of the worker in the latest snapshot on this session.
    pub sent_description: Option<SentDescription>,
    /// The crashes reported on this session.
    pub reported_crashes: ReportedCrashes,
    /// Whether the next message tells how queues were served.
    pub is_owed_served: bool,
    /// The usage reports sent on this session.
    pub sent_usage: SentUsage,
    /// Cancelled jobs that the gateway may not know, and has not been sent on this session.
    unsent_cancels: Vec<Cancelled>,
    /// Whether a cancellation that the gateway has told on this session is not recorded. Nothing is
    /// confirmed then until a new session, on which the gateway tells all of them again.
    pub lacks_cancels: bool,
    /// Whether the gateway has sent claims, and so understands [`NotStartedReason::Claimed`].
    pub understands_claims: bool,
    /// Position up to which all cancellations of the gateway are recorded.
    cancels_received: u64,
    /// Whether the gateway has not been sent `cancels_received`.
    is_owed_cancels_received: bool,
    ends: VecDeque<TaskEnd>,
    /// How many of the newest `ends` have not been sent on this session.
    unsent: usize,
    /// Number of the newest end.
    last_number: u64,
    announced: BTreeMap<StepKey, AnnouncedStep>,
    /// Number of `announced` steps with a queue key.
    keyed_steps: usize,
    offers: Vec<PendingOffer>,
    /// Number of the newest offer.
    last_offer: u64,
}

impl Owner {
    /// A gateway first seen at `now`, whose ends are numbered above `last_number`.
    pub fn new(now: Timestamp, last_number: u64) -> Self {
        Self {
            session: None,
            session_number: 0,
            opened: now,
            echo: now,
            processed: 0,
            last_sent: now,
            last_report: None,
            reported: Timestamp::default(),
            grown_since: None,
            last_start_request: None,
            is_released: false,
            has_snapshot: false,
            sent_description: None,
            reported_crashes: ReportedCrashes::default(),
            is_owed_served: false,
            sent_usage: SentUsage::default(),
            unsent_cancels: Vec::new(),
            lacks_cancels: false,
            understands_claims: false,
            cancels_received: 0,
            is_owed_cancels_received: false,
            ends: VecDeque::new(),
            unsent: 0,
            last_number,
            announced: BTreeMap::new(),
            keyed_steps: 0,
            offers: Vec::new(),
            last_offer: 0,
        }
    }

    /// Starts a new session, on which the `cancelled` jobs are sent. Everything unacknowledged is sent
    /// again. The echo is left unchanged: an open connection is no evidence that the gateway has heard
    /// this agent recently.
    pub fn open(
        &mut self,
        now: Timestamp,
        session: SessionId,
        number: u64,
        cancelled: Vec<Cancelled>,
    ) {
        self.unsent_cancels = cancelled;
        self.lacks_cancels = false;
        self.is_owed_cancels_received = true;
        self.session = Some(session);
        self.session_number = number;
        self.opened = now;
        self.processed = 0;
        self.last_report = None;
        self.grown_since = None;
        self.is_released = false;
        self.has_snapshot = false;
        self.sent_description = None;
        self.reported_crashes = ReportedCrashes::default();
        self.sent_usage = SentUsage::default();
        self.unsent = self.ends.len();
        self.clear_waiting();
    }

    pub fn close(&mut self) {
        self.session = None;
        self.clear_waiting();
    }

    /// Forgets the waiting tasks, and cancels the offers for them.
    pub fn clear_waiting(&mut self) {
        self.announced.clear();
        self.keyed_steps = 0;
        self.offers.clear();
    }

    /// Replaces what is known of a step's waiting tasks.
    pub fn announce(&mut self, now: Timestamp, announcement: &Announcement) {
        let key = (announcement.job, announcement.step);
        if announcement.count == 0 {
            let removed = self.announced.remove(&key);
            self.keyed_steps -= count_key(removed.as_ref());
            return;
        }
        let keyed_steps = &mut self.keyed_steps;
        self.announced.retain(|_, step| {
            let is_kept = step.until > now;
            if !is_kept {
                *keyed_steps -= count_key(Some(step));
            }
            is_kept
        });
        if self.announced.len() >= MAX_ANNOUNCED_STEPS {
            return;
        }
        let ttl = Span::from_millis(u64::from(announcement.ttl_millis));
        let earlier = self.announced.get(&key);
        let since = earlier.map_or(now, |step| step.since);
        let may_preempt = announcement.may_preempt && announcement.preemption_budget_percent > 0;
        let step = AnnouncedStep {
            resources: announcement.resources,
            count: announcement.count,
            rank: announcement.rank,
            until: now.after(ttl),
            since,
            queue: announcement.queue,
            preempts_at: may_preempt.then(|| preemption_due(since, ttl)),
            preempted_queue: announcement.preempted_queue,
        };
        let replaced = self.announced.insert(key, step);
        self.keyed_steps += count_key(Some(&step));
        self.keyed_steps -= count_key(replaced.as_ref());
    }

    /// Whether an announced step or an offer has a queue key.
    pub fn has_queue_keys(&self) -> bool {
        self.keyed_steps > 0 || self.offers.iter().any(|pending| pending.queue.is_some())
    }

    /// The steps with waiting tasks.
    pub fn announced(&self, now: Timestamp) -> impl Iterator<Item = (StepKey, AnnouncedStep)> {
        self.announced
            .iter()
            .map(|(key, step)| (*key, *step))
            .filter(move |(_, step)| step.count > 0 && step.until > now)
    }

    /// A step with waiting tasks; `None` if none of its tasks waits.
    pub fn announced_step(&self, now: Timestamp, key: StepKey) -> Option<AnnouncedStep> {
        let step = self.announced.get(&key).copied();
        step.filter(|step| step.count > 0 && step.until > now)
    }

    /// Records that runs are stopped for a task of a step, which has none stopped again until it is
    /// announced again. Each waiting task is announced to one agent, so that an announcement stands
    /// for one task: agents that stopped runs for more would together stop more than the step needs.
    pub fn record_preemption(&mut self, key: StepKey) {
        if let Some(step) = self.announced.get_mut(&key) {
            step.preempts_at = None;
        }
    }

    /// Whether the gateway may be offered resources.
    pub fn may_be_offered(&self) -> bool {
        self.session.is_some() && self.has_snapshot && !self.is_released
    }

    /// Reserves `resources` for `tasks` tasks of a step until `until`.
    pub fn offer(&mut self, key: StepKey, resources: Resources, tasks: u32, until: Timestamp) {
        let step = self.announced.get_mut(&key);
        let queue = step.and_then(|step| {
            step.count = step.count.saturating_sub(tasks);
            step.queue
        });
        self.last_offer += 1;
        let offer = Offer {
            number: self.last_offer,
            resources,
        };
        self.offers.push(PendingOffer {
            offer,
            queue,
            until,
            is_sent: false,
        });
    }

    /// Removes an answered offer.
    pub fn end_offer(&mut self, number: u64) {
        self.offers.retain(|pending| pending.offer.number != number);
    }

    /// Cancels all offers and forgets the waiting tasks if an offer was not answered in time.
    /// Returns whether there was such an offer.
    pub fn expire_offers(&mut self, now: Timestamp) -> bool {
        let is_expired = self.offers.iter().any(|pending| now >= pending.until);
        if is_expired {
            self.clear_waiting();
        }
        is_expired
    }

    /// When the next offer expires.
    pub fn next_offer_end(&self) -> Option<Timestamp> {
        self.offers.iter().map(|pending| pending.until).min()
    }

    /// Resources reserved for this gateway.
    pub fn offered_resources(&self) -> Resources {
        self.offers
            .iter()
            .map(|pending| pending.offer.resources)
            .fold(Resources::default(), Resources::saturating_add)
    }

    /// Resources reserved for tasks of named queues.
    pub fn offered_by_queue(&self) -> impl Iterator<Item = (QueueKey, Resources)> {
        let offers = self.offers.iter();
        offers.filter_map(|pending| Some((pending.queue?, pending.offer.resources)))
    }

    /// Takes the offers that have not been sent yet.
    pub fn take_unsent_offers(&mut self) -> Vec<Offer> {
        let unsent = self.offers.iter_mut().filter(|pending| !pending.is_sent);
        unsent
            .map(|pending| {
                pending.is_sent = true;
                pending.offer
            })
            .collect()
    }

    pub fn has_unsent_offer(&self) -> bool {
        self.offers.iter().any(|pending| !pending.is_sent)
    }

    /// Queues the end of a run, with the saved progress that it carries.
    pub fn push_end(&mut self, run: RunId, how: EndKind, checkpoint: Option<Checkpoint>) {
        self.last_number += 1;
        self.ends.push_back(TaskEnd {
            number: self.last_number,
            task: run.task,
            run: run.run,
            how,
            checkpoint,
        });
        self.unsent += 1;
        if self.ends.len() > MAX_ENDS {
            self.ends.pop_front();
            self.unsent = self.unsent.min(self.ends.len());
        }
    }

    /// Number of the newest end.
    pub fn last_number(&self) -> u64 {
        self.last_number
    }

    /// Drops the ends up to `number`.
    pub fn acknowledge(&mut self, number: u64) {
        while self.ends.front().is_some_and(|end| end.number <= number) {
            self.ends.pop_front();
        }
        self.unsent = self.unsent.min(self.ends.len());
    }

    /// Takes the ends that have not been sent on this session.
    pub fn take_unsent(&mut self) -> Vec<TaskEnd> {
        let sent = self.ends.len() - self.unsent;
        self.unsent = 0;
        self.ends.range(sent..).cloned().collect()
    }

    pub fn add_unsent_cancel(&mut self, cancelled: Cancelled) {
        let mut unsent = self.unsent_cancels.iter();
        if !unsent.any(|one| one.job == cancelled.job) {
            self.unsent_cancels.push(cancelled);
        }
    }

    /// Records that all cancellations of the gateway up to `position` are recorded.
    pub fn record_cancels_received(&mut self, position: u64) {
        self.cancels_received = self.cancels_received.max(position);
        self.is_owed_cancels_received = true;
    }

    pub fn is_owed_cancels_received(&self) -> bool {
        self.is_owed_cancels_received
    }

    /// The position for the next message to the gateway, if it has to be sent.
    pub fn take_cancels_received(&mut self) -> Option<u64> {
        let is_owed = std::mem::take(&mut self.is_owed_cancels_received);
        is_owed.then_some(self.cancels_received)
    }

    pub fn has_unsent_cancels(&self) -> bool {
        !self.unsent_cancels.is_empty()
    }

    pub fn take_unsent_cancels(&mut self) -> Vec<Cancelled> {
        std::mem::take(&mut self.unsent_cancels)
    }

    pub fn has_unsent(&self) -> bool {
        self.unsent > 0
    }

    pub fn has_unacknowledged(&self) -> bool {
        !self.ends.is_empty()
    }

    /// Records whether `report` has more free resources than the last one sent.
    pub fn track_capacity_growth(&mut self, now: Timestamp, report: &Report) {
        let has_more = self
            .last_report
            .is_some_and(|last| !report.free.fits_in(last.free));
        if has_more {
            self.grown_since.get_or_insert(now);
        } else {
            self.grown_since = None;
        }
    }

    /// When a report that only reflects a change of free resources may be sent. Growth is
    /// reported with a delay, so that the gateway whose task ended can use the resources first
    /// and the others don't all compete for them.
    pub fn report_due(&self) -> Timestamp {
        let earliest = self.reported.after(MIN_REPORT_INTERVAL);
        match self.grown_since {
            Some(since) => earliest.max(since.after(GROWTH_REPORT_DELAY)),
            None => earliest,
        }
    }

    /// Records that `report` is sent at `now`.
    pub fn record_report(&mut self, now: Timestamp, report: Report) {
        self.reported = now;
        self.last_report = Some(report);
        self.grown_since = None;
    }

    pub fn echo_age(&self, now: Timestamp) -> Span {
        now.since(self.echo)
    }

    /// When the gateway counts as silent.
    pub fn silent_at(&self) -> Timestamp {
        self.echo.after(OWNER_TIMEOUT)
    }
}
