//! What a gateway knows of the agents: sessions, free slots, unresolved
//! dispatches and recent speed.

use std::collections::{BTreeMap, BTreeSet};

use laurelstile_types::id::{
    BackendName, DispatchId, Incarnation, PoolName, SubmissionId, ZoneName,
};
use laurelstile_types::time::{Span, Timestamp};

use crate::messages::agent::{Fence, SlotReport};
use crate::session::{Remote, SessionId};

/// An agent with unresolved dispatches gets no start after this silence.
pub const MAX_BUSY_REPORT_AGE: Span = Span::from_secs(2);
/// An idle agent is asked for a fresh report before it gets a start after this
/// silence.
pub const MAX_IDLE_REPORT_AGE: Span = Span::from_secs(3);
/// An idle agent is asked for a sign of life after this silence.
pub const IDLE_HEARTBEAT_INTERVAL: Span = Span::from_secs(8);
/// How many agents, at least, are given whole revisions, if there are so many.
const MIN_REVISION_HOLDERS: usize = 8;
/// Pause between two requests for a fresh report.
const MIN_PROBE_INTERVAL: Span = Span::from_secs(1);
/// A session from which nothing comes for this long is closed.
pub const SESSION_TIMEOUT: Span = Span::from_secs(25);

/// Weight of a new run in the running mean of an agent's slowness.
const SLOWNESS_SMOOTHING: f64 = 0.1;
/// Steps of slowness within which agents count as equally fast.
const SLOWNESS_STEPS_PER_UNIT: f64 = 4.0;

/// Index of an agent's link; stable for the life of the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkIndex(usize);

/// Preference among agents with free slots; lower goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Preference {
    slowness: u32,
    occupied_permille: u32,
    remote_zone: bool,
}

/// What a gateway knows of one agent.
#[derive(Debug)]
pub struct Link {
    /// Name of the back end.
    pub name: BackendName,
    /// Its pool.
    pub pool: PoolName,
    /// Its zone.
    pub zone: ZoneName,
    /// Whether the configuration in force names it.
    pub configured: bool,
    /// Slots that the configuration gives it.
    pub slots: u32,
    /// The open session.
    pub session: Option<SessionId>,
    /// The latest incarnation seen.
    pub incarnation: Option<Incarnation>,
    /// When that incarnation started, on this gateway's clock.
    pub incarnation_started: Timestamp,
    /// The latest report in this session.
    pub report: SlotReport,
    /// Whether the machine list says leaving.
    pub listed_leaving: bool,
    /// Since when the machine list says gone.
    pub listed_gone_since: Option<Timestamp>,
    /// When the latest message came.
    pub last_heard: Timestamp,
    /// When the latest message went.
    pub last_sent: Timestamp,
    /// When the agent was last asked for a fresh report.
    pub probed_at: Timestamp,
    /// Starts sent in this session.
    pub starts_sent: u64,
    /// Dispatches whose end is not known.
    pub unresolved: BTreeSet<DispatchId>,
    /// Submissions to release with the next message.
    pub pending_releases: Vec<SubmissionId>,
    /// Submissions to cancel with the next flush.
    pub pending_cancels: Vec<SubmissionId>,
    /// Submissions to recover with the next flush.
    pub pending_fences: Vec<Fence>,
    /// Revision last pushed in this session.
    pub pushed_revision: u64,
    /// Whether the agent was told in this session that it is leaving.
    pub leaving_notified: bool,
    slowness: f64,
    preference: Option<Preference>,
}

impl Link {
    /// Whether the agent may get starts, as far as the last report tells.
    fn is_in_service(&self) -> bool {
        self.session.is_some()
            && self.configured
            && !self.report.draining
            && !self.listed_leaving
            && self.listed_gone_since.is_none()
    }

    /// Whether the last report is young enough to send starts by it.
    fn is_fresh(&self, now: Timestamp) -> bool {
        let max_age = if self.unresolved.is_empty() {
            MAX_IDLE_REPORT_AGE
        } else {
            MAX_BUSY_REPORT_AGE
        };
        now.since(self.last_heard) <= max_age
    }

    /// Slots that a fresh report would probably give; 0 if the last report is
    /// fresh, or the agent was asked just now.
    fn expected_slots(&self, now: Timestamp) -> u32 {
        let should_probe = self.is_in_service()
            && !self.is_fresh(now)
            && self.unresolved.is_empty()
            && now.since(self.probed_at) >= MIN_PROBE_INTERVAL;
        if should_probe { self.report.free } else { 0 }
    }

    /// Free slots: those reported less the starts that the report does not
    /// know of yet.
    pub fn available(&self, now: Timestamp) -> u32 {
        if !self.is_in_service() || !self.is_fresh(now) {
            return 0;
        }
        let in_flight = self.starts_sent.saturating_sub(self.report.processed);
        u64::from(self.report.free)
            .saturating_sub(in_flight)
            .try_into()
            .unwrap_or(u32::MAX)
    }

    /// Whether the agent takes a task that was delegated `age` ago: only if it
    /// was in its pool before.
    pub fn accepts_age(&self, age: Span) -> bool {
        self.report.clock >= self.report.member_since.after(age)
    }

    /// Whether the link has a session that was heard from lately.
    pub fn is_live(&self, now: Timestamp) -> bool {
        self.session.is_some() && now.since(self.last_heard) <= SESSION_TIMEOUT
    }

    /// Notes how long a task ran against its class's mean.
    pub fn update_slowness(&mut self, run: Span, mean: Span) {
        #[expect(clippy::cast_precision_loss, reason = "an estimate")]
        let ratio = run.0 as f64 / mean.0.max(1) as f64;
        self.slowness += SLOWNESS_SMOOTHING * (ratio - self.slowness);
    }
}

/// All agents that a gateway knows.
#[derive(Debug)]
pub struct Links {
    zone: ZoneName,
    links: Vec<Link>,
    by_name: BTreeMap<BackendName, LinkIndex>,
    by_session: BTreeMap<SessionId, LinkIndex>,
    available: BTreeMap<PoolName, BTreeSet<(Preference, LinkIndex)>>,
}

impl Links {
    /// No agents yet; `zone` is the gateway's own.
    pub fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            links: Vec::new(),
            by_name: BTreeMap::new(),
            by_session: BTreeMap::new(),
            available: BTreeMap::new(),
        }
    }

    /// The link of that name, made if it is not there.
    pub fn ensure(&mut self, name: &BackendName, pool: &PoolName, zone: &ZoneName) -> LinkIndex {
        if let Some(index) = self.by_name.get(name) {
            return *index;
        }
        let index = LinkIndex(self.links.len());
        self.links.push(Link {
            name: name.clone(),
            pool: pool.clone(),
            zone: zone.clone(),
            configured: true,
            slots: 0,
            session: None,
            incarnation: None,
            incarnation_started: Timestamp::default(),
            report: SlotReport::default(),
            listed_leaving: false,
            listed_gone_since: None,
            last_heard: Timestamp::default(),
            last_sent: Timestamp::default(),
            probed_at: Timestamp::default(),
            starts_sent: 0,
            unresolved: BTreeSet::new(),
            pending_releases: Vec::new(),
            pending_cancels: Vec::new(),
            pending_fences: Vec::new(),
            pushed_revision: 0,
            leaving_notified: false,
            slowness: 1.0,
            preference: None,
        });
        self.by_name.insert(name.clone(), index);
        index
    }

    /// The link of that name.
    pub fn find(&self, name: &BackendName) -> Option<LinkIndex> {
        self.by_name.get(name).copied()
    }

    /// The link of that session.
    pub fn of_session(&self, session: SessionId) -> Option<LinkIndex> {
        self.by_session.get(&session).copied()
    }

    /// The link at an index.
    pub fn get(&self, index: LinkIndex) -> &Link {
        &self.links[index.0]
    }

    /// The link at an index. Call [`Links::refresh`] after a change.
    pub fn get_mut(&mut self, index: LinkIndex) -> &mut Link {
        &mut self.links[index.0]
    }

    /// Whether an agent is given whole revisions, which it can teach to
    /// gateways that cannot read them in the table. Some [`MIN_REVISION_HOLDERS`] agents
    /// are, spread over the configuration.
    pub fn gets_whole_revisions(&self, index: LinkIndex) -> bool {
        let stride = (self.links.len() / MIN_REVISION_HOLDERS).max(1);
        index.0.is_multiple_of(stride)
    }

    /// Links with an open session and something to recover or cancel.
    pub fn with_pending_commands(&self) -> Vec<LinkIndex> {
        self.iter()
            .filter(|(_, link)| !link.pending_fences.is_empty() || !link.pending_cancels.is_empty())
            .filter(|(_, link)| link.session.is_some())
            .map(|(index, _)| index)
            .collect()
    }

    /// Every index.
    pub fn indices(&self) -> impl Iterator<Item = LinkIndex> + use<> {
        (0..self.links.len()).map(LinkIndex)
    }

    /// Every link.
    pub fn iter(&self) -> impl Iterator<Item = (LinkIndex, &Link)> {
        self.links
            .iter()
            .enumerate()
            .map(|(index, link)| (LinkIndex(index), link))
    }

    /// Slots of each pool whose agents are in service now.
    pub fn slots_in_service(&self) -> BTreeMap<PoolName, u32> {
        let mut slots: BTreeMap<PoolName, u32> = BTreeMap::new();
        for link in self.links.iter().filter(|link| link.is_in_service()) {
            // The name is copied once a pool, not once a link at every tick.
            match slots.get_mut(&link.pool) {
                Some(total) => *total += link.slots,
                None => {
                    slots.insert(link.pool.clone(), link.slots);
                }
            }
        }
        slots
    }

    /// Idle agents of `pool` to ask for a fresh report, enough for `tasks`.
    pub fn choose_probes(&mut self, now: Timestamp, pool: &PoolName, tasks: u32) -> Vec<LinkIndex> {
        let mut chosen = Vec::new();
        let mut slots = 0;
        for (index, link) in self.links.iter_mut().enumerate() {
            if slots >= tasks {
                break;
            }
            let expected = link.expected_slots(now);
            if link.pool == *pool && expected > 0 {
                link.probed_at = now;
                slots += expected;
                chosen.push(LinkIndex(index));
            }
        }
        chosen
    }

    /// Whether agents of `pool` have reported, and every one of them joined the
    /// pool after `delegated`, a time on this gateway's clock.
    pub fn all_joined_after(&self, pool: &PoolName, delegated: Timestamp) -> bool {
        let mut any = false;
        for link in self.links.iter().filter(|link| link.pool == *pool) {
            if link.session.is_none() || link.report.clock == Timestamp::default() {
                continue;
            }
            any = true;
            // Membership as the report gives it, moved to this clock.
            let member_for = link.report.clock.since(link.report.member_since);
            let joined = Timestamp(link.last_heard.since(Timestamp(member_for.0)).0);
            if joined <= delegated {
                return false;
            }
        }
        any
    }

    /// Notes a new session; the old one of the same link is given back.
    pub fn open(
        &mut self,
        now: Timestamp,
        index: LinkIndex,
        session: SessionId,
        remote: &Remote,
    ) -> Option<SessionId> {
        let link = &mut self.links[index.0];
        let old = link.session.replace(session);
        if link.incarnation != Some(remote.incarnation) {
            link.incarnation = Some(remote.incarnation);
            link.incarnation_started = Timestamp(now.since(Timestamp(remote.uptime.0)).0);
            // What was to be told to the incarnation before is void.
            link.pending_releases.clear();
            link.pending_cancels.clear();
        }
        link.report = SlotReport::default();
        link.last_heard = now;
        link.starts_sent = 0;
        link.pushed_revision = 0;
        link.leaving_notified = false;
        if let Some(old) = old {
            self.by_session.remove(&old);
        }
        self.by_session.insert(session, index);
        self.refresh(now, index);
        old
    }

    /// Notes that a session is closed; gives its link if it was the current.
    pub fn close(&mut self, now: Timestamp, session: SessionId) -> Option<LinkIndex> {
        let index = self.by_session.remove(&session)?;
        self.links[index.0].session = None;
        self.refresh(now, index);
        Some(index)
    }

    /// The preferred agent of `pool` with a free slot, besides `skipped`.
    pub fn preferred(&self, pool: &PoolName, skipped: &BTreeSet<LinkIndex>) -> Option<LinkIndex> {
        self.available
            .get(pool)?
            .iter()
            .map(|(_, index)| *index)
            .find(|index| !skipped.contains(index))
    }

    /// Brings the preference of a link up to date after a change.
    pub fn refresh(&mut self, now: Timestamp, index: LinkIndex) {
        let link = &mut self.links[index.0];
        let preference = preference_of(link, now, &self.zone);
        if preference == link.preference {
            return;
        }
        let old = std::mem::replace(&mut link.preference, preference);
        if !self.available.contains_key(&link.pool) {
            self.available.insert(link.pool.clone(), BTreeSet::new());
        }
        let Some(available) = self.available.get_mut(&link.pool) else {
            return;
        };
        if let Some(old) = old {
            available.remove(&(old, index));
        }
        if let Some(preference) = preference {
            available.insert((preference, index));
        }
    }
}

fn preference_of(link: &Link, now: Timestamp, zone: &ZoneName) -> Option<Preference> {
    let available = link.available(now);
    if available == 0 {
        return None;
    }
    let slots = link.slots.max(1);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "slowness is a small positive ratio"
    )]
    let slowness = (link.slowness * SLOWNESS_STEPS_PER_UNIT) as u32;
    Some(Preference {
        slowness,
        occupied_permille: slots.saturating_sub(available) * 1_000 / slots,
        remote_zone: link.zone != *zone,
    })
}
