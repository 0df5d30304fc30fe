//! A gateway's view of the agents: sessions, free slots, unresolved dispatches
//! and recent slowness.

use std::collections::{BTreeMap, BTreeSet};

use laurelstile_types::id::{
    BackendName, DispatchId, Incarnation, PoolName, SubmissionId, ZoneName,
};
use laurelstile_types::time::{Span, Timestamp};

use crate::messages::agent::{Fence, SlotReport};
use crate::session::{Remote, SessionId};

/// An agent with unresolved dispatches gets no starts if its last message is
/// older than this.
pub const MAX_BUSY_REPORT_AGE: Span = Span::from_secs(2);
/// An agent without unresolved dispatches gets no starts if its last message is
/// older than this; it is probed for a fresh report first.
pub const MAX_IDLE_REPORT_AGE: Span = Span::from_secs(3);
/// Heartbeat interval to an idle agent that has not been heard from.
pub const IDLE_HEARTBEAT_INTERVAL: Span = Span::from_secs(8);
/// Minimum number of agents that receive full revisions, if there are that
/// many.
const MIN_FULL_REVISION_AGENTS: usize = 8;
/// Minimum interval between two probes of an agent.
const MIN_PROBE_INTERVAL: Span = Span::from_secs(1);
/// A session that has received no message for this long is closed.
pub const SESSION_TIMEOUT: Span = Span::from_secs(25);

/// Smoothing factor of the moving average of an agent's slowness.
const SLOWNESS_SMOOTHING: f64 = 0.1;
/// Resolution at which agents are compared by slowness.
const SLOWNESS_STEPS_PER_UNIT: f64 = 4.0;

/// Index of an agent's link; stable for the lifetime of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkIndex(usize);

/// Preference among agents with free slots; the lowest is chosen first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Preference {
    slowness: u32,
    occupied_permille: u32,
    remote_zone: bool,
}

/// A gateway's view of one agent.
#[derive(Debug)]
pub struct Link {
    pub name: BackendName,
    pub pool: PoolName,
    pub zone: ZoneName,
    /// Whether the configuration in force contains the back end.
    pub configured: bool,
    /// Number of slots in the configuration.
    pub slots: u32,
    pub session: Option<SessionId>,
    pub incarnation: Option<Incarnation>,
    /// When `incarnation` started, on this gateway's clock.
    pub incarnation_started_at: Timestamp,
    /// The latest report in this session.
    pub report: SlotReport,
    /// Whether the machine list marks the machine as leaving.
    pub listed_leaving: bool,
    /// Since when the machine list marks the machine as gone.
    pub listed_gone_since: Option<Timestamp>,
    pub last_heard: Timestamp,
    pub last_sent: Timestamp,
    /// When the agent was last probed for a fresh report.
    pub probed_at: Timestamp,
    /// Starts sent in this session.
    pub starts_sent: u64,
    /// Dispatches whose outcome is unknown.
    pub unresolved: BTreeSet<DispatchId>,
    /// Submissions to release with the next message.
    pub pending_releases: Vec<SubmissionId>,
    /// Submissions to cancel at the next flush.
    pub pending_cancels: Vec<SubmissionId>,
    /// Submissions to recover at the next flush.
    pub pending_fences: Vec<Fence>,
    /// Revision last sent in this session.
    pub pushed_revision: u64,
    /// Whether the agent was notified in this session that it is leaving.
    pub leaving_notified: bool,
    /// Moving average of run times relative to the mean of their class; above 1
    /// is slower than the mean.
    slowness: f64,
    /// Position in the order of preference; `None` without an available slot.
    preference: Option<Preference>,
}

impl Link {
    /// Whether the agent accepts starts according to its last report.
    fn is_in_service(&self) -> bool {
        self.session.is_some()
            && self.configured
            && !self.report.draining
            && !self.listed_leaving
            && self.listed_gone_since.is_none()
    }

    /// Whether the last message is recent enough to send starts.
    fn is_fresh(&self, now: Timestamp) -> bool {
        let max_age = if self.unresolved.is_empty() {
            MAX_IDLE_REPORT_AGE
        } else {
            MAX_BUSY_REPORT_AGE
        };
        now.since(self.last_heard) <= max_age
    }

    /// Slots that a probe would probably make available; 0 if the agent is not
    /// to be probed now.
    fn expected_slots(&self, now: Timestamp) -> u32 {
        let should_probe = self.is_in_service()
            && !self.is_fresh(now)
            && self.unresolved.is_empty()
            && now.since(self.probed_at) >= MIN_PROBE_INTERVAL;
        if should_probe { self.report.free } else { 0 }
    }

    /// Free slots as reported, less the starts that the report does not
    /// include yet.
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

    /// Whether the agent accepts a task that was delegated `age` ago, that is,
    /// whether it was in its pool by then.
    pub fn accepts_age(&self, age: Span) -> bool {
        self.report.clock >= self.report.member_since.after(age)
    }

    /// Whether a session is open and has not timed out.
    pub fn is_live(&self, now: Timestamp) -> bool {
        self.session.is_some() && now.since(self.last_heard) <= SESSION_TIMEOUT
    }

    /// Updates the slowness with a run time relative to the mean of its class.
    pub fn update_slowness(&mut self, run_time: Span, mean: Span) {
        #[expect(clippy::cast_precision_loss, reason = "an estimate")]
        let ratio = run_time.0 as f64 / mean.0.max(1) as f64;
        self.slowness += SLOWNESS_SMOOTHING * (ratio - self.slowness);
    }
}

/// All agents known to a gateway.
#[derive(Debug)]
pub struct Links {
    zone: ZoneName,
    links: Vec<Link>,
    by_name: BTreeMap<BackendName, LinkIndex>,
    by_session: BTreeMap<SessionId, LinkIndex>,
    /// Agents with an available slot by pool, in order of preference.
    available: BTreeMap<PoolName, BTreeSet<(Preference, LinkIndex)>>,
}

impl Links {
    /// Creates an empty set; `zone` is the gateway's own.
    pub fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            links: Vec::new(),
            by_name: BTreeMap::new(),
            by_session: BTreeMap::new(),
            available: BTreeMap::new(),
        }
    }

    /// Returns the link of a back end and creates it if needed.
    pub fn find_or_insert(
        &mut self,
        name: &BackendName,
        pool: &PoolName,
        zone: &ZoneName,
    ) -> LinkIndex {
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
            incarnation_started_at: Timestamp::default(),
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

    pub fn find(&self, name: &BackendName) -> Option<LinkIndex> {
        self.by_name.get(name).copied()
    }

    pub fn find_by_session(&self, session: SessionId) -> Option<LinkIndex> {
        self.by_session.get(&session).copied()
    }

    pub fn get(&self, index: LinkIndex) -> &Link {
        &self.links[index.0]
    }

    /// The link at an index. Call [`Links::refresh`] after a change.
    pub fn get_mut(&mut self, index: LinkIndex) -> &mut Link {
        &mut self.links[index.0]
    }

    /// Whether an agent receives full revisions, which it can pass on to
    /// gateways that cannot read the table. At least
    /// [`MIN_FULL_REVISION_AGENTS`] agents do, spread evenly over all links.
    pub fn receives_full_revisions(&self, index: LinkIndex) -> bool {
        let stride = (self.links.len() / MIN_FULL_REVISION_AGENTS).max(1);
        index.0.is_multiple_of(stride)
    }

    /// Links with an open session and pending fences or cancellations.
    pub fn with_pending_commands(&self) -> Vec<LinkIndex> {
        self.iter()
            .filter(|(_, link)| !link.pending_fences.is_empty() || !link.pending_cancels.is_empty())
            .filter(|(_, link)| link.session.is_some())
            .map(|(index, _)| index)
            .collect()
    }

    pub fn indices(&self) -> impl Iterator<Item = LinkIndex> + use<> {
        (0..self.links.len()).map(LinkIndex)
    }

    pub fn iter(&self) -> impl Iterator<Item = (LinkIndex, &Link)> {
        self.links
            .iter()
            .enumerate()
            .map(|(index, link)| (LinkIndex(index), link))
    }

    /// Slots of the agents in service, by pool.
    pub fn slots_in_service(&self) -> BTreeMap<PoolName, u32> {
        let mut slots: BTreeMap<PoolName, u32> = BTreeMap::new();
        for link in self.links.iter().filter(|link| link.is_in_service()) {
            // Clones the pool name once per pool instead of once per link.
            match slots.get_mut(&link.pool) {
                Some(total) => *total += link.slots,
                None => {
                    slots.insert(link.pool.clone(), link.slots);
                }
            }
        }
        slots
    }

    /// Selects idle agents of `pool` to probe, until they cover `tasks` slots.
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

    /// Whether at least one agent of `pool` has reported and every agent that
    /// has reported joined the pool after `delegated_at`, a time on this
    /// gateway's clock.
    pub fn all_joined_after(&self, pool: &PoolName, delegated_at: Timestamp) -> bool {
        let mut has_report = false;
        for link in self.links.iter().filter(|link| link.pool == *pool) {
            if link.session.is_none() || link.report.clock == Timestamp::default() {
                continue;
            }
            has_report = true;
            // Converts the agent's joining time to this gateway's clock.
            let membership_age = link.report.clock.since(link.report.member_since);
            let joined = Timestamp(link.last_heard.since(Timestamp(membership_age.0)).0);
            if joined <= delegated_at {
                return false;
            }
        }
        has_report
    }

    /// Records a new session and returns the one that it replaces.
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
            link.incarnation_started_at = Timestamp(now.since(Timestamp(remote.uptime.0)).0);
            // Requests for the previous incarnation no longer apply.
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

    /// Records that a session was closed; returns its link if it was the
    /// current session.
    pub fn close(&mut self, now: Timestamp, session: SessionId) -> Option<LinkIndex> {
        let index = self.by_session.remove(&session)?;
        self.links[index.0].session = None;
        self.refresh(now, index);
        Some(index)
    }

    /// The preferred agent of `pool` with a free slot that is not in
    /// `skipped`.
    pub fn preferred(&self, pool: &PoolName, skipped: &BTreeSet<LinkIndex>) -> Option<LinkIndex> {
        self.available
            .get(pool)?
            .iter()
            .map(|(_, index)| *index)
            .find(|index| !skipped.contains(index))
    }

    /// Updates a link's position in the order of preference after a change.
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
