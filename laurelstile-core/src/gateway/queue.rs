//! The order of waiting jobs in one pool: least remaining work first, aged so
//! that nothing starves, within tenants' weights and quotas.

use std::collections::{BTreeMap, BTreeSet};

use laurelstile_types::id::{SubmissionId, TenantName};
use laurelstile_types::time::{Span, Timestamp};

/// Strength of ageing: each microsecond of waiting counts as so many thousandths of
/// one of work. The measurement in docs/decisions/0002 chose it.
const AGEING_PERMILLE: u64 = 20;

/// Rank of a job in the order; lower goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank(u64);

/// What the rank of a job follows from.
#[derive(Clone, Copy, Debug)]
pub struct RankInput {
    /// Expected run time of all its unstarted tasks together.
    pub remaining: Span,
    /// Weight of its tenant.
    pub weight: u32,
    /// When it came.
    pub arrival: Timestamp,
}

/// The waiting jobs of one tenant.
#[derive(Debug, Default)]
struct TenantQueue {
    jobs: BTreeSet<(Rank, SubmissionId)>,
    queued_tasks: u32,
    running: u32,
    quota: u32,
}

/// The waiting jobs of one pool.
#[derive(Debug)]
pub struct Queue {
    slots: u32,
    tenant_queues: BTreeMap<TenantName, TenantQueue>,
    queued_tasks: u32,
    queued_work: u64,
}

impl Queue {
    /// An empty queue for a pool of `slots` slots.
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots.max(1),
            tenant_queues: BTreeMap::new(),
            queued_tasks: 0,
            queued_work: 0,
        }
    }

    /// Sets the number of slots; places of waiting jobs stay as they are.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Sets a tenant's quota of slots.
    pub fn set_quota(&mut self, tenant: &TenantName, quota: u32) {
        self.tenant_queues.entry(tenant.clone()).or_default().quota = quota;
    }

    /// The number of slots that estimates go by.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Tasks that wait.
    pub fn queued_tasks(&self) -> u32 {
        self.queued_tasks
    }

    /// Tasks of `tenant` that wait.
    pub fn queued_tasks_of(&self, tenant: &TenantName) -> u32 {
        self.tenant_queues
            .get(tenant)
            .map_or(0, |queue| queue.queued_tasks)
    }

    /// How long the whole pool would work on all that waits.
    pub fn backlog(&self) -> Span {
        Span(self.queued_work / u64::from(self.slots))
    }

    /// How long the pool would work on what goes before `rank`.
    pub fn backlog_before(&self, rank: Rank, work_of: impl Fn(SubmissionId) -> Span) -> Span {
        let before: u64 = self
            .tenant_queues
            .values()
            .flat_map(|queue| queue.jobs.range(..(rank, FIRST_SUBMISSION)))
            .map(|(_, submission)| work_of(*submission).0)
            .sum();
        Span(before / u64::from(self.slots))
    }

    /// The rank that `input` gives: least remaining work per slot and weight goes
    /// first.
    pub fn rank(&self, input: RankInput) -> Rank {
        let share = u64::from(self.slots) * u64::from(input.weight.max(1));
        let arrival_offset = input.arrival.0 / 1_000 * AGEING_PERMILLE;
        Rank(input.remaining.0 / share + arrival_offset)
    }

    /// Puts a job with waiting tasks in.
    pub fn insert(&mut self, tenant: &TenantName, rank: Rank, submission: SubmissionId) {
        let queue = self.tenant_queues.entry(tenant.clone()).or_default();
        queue.jobs.insert((rank, submission));
    }

    /// Takes a job out.
    pub fn remove(&mut self, tenant: &TenantName, rank: Rank, submission: SubmissionId) {
        if let Some(queue) = self.tenant_queues.get_mut(tenant) {
            queue.jobs.remove(&(rank, submission));
        }
    }

    /// Notes that tasks came into the queue.
    pub fn add_tasks(&mut self, tenant: &TenantName, tasks: u32, work: Span) {
        self.tenant_queues
            .entry(tenant.clone())
            .or_default()
            .queued_tasks += tasks;
        self.queued_tasks += tasks;
        self.queued_work += work.0;
    }

    /// Notes that tasks left the queue.
    pub fn remove_tasks(&mut self, tenant: &TenantName, tasks: u32, work: Span) {
        if let Some(queue) = self.tenant_queues.get_mut(tenant) {
            queue.queued_tasks = queue.queued_tasks.saturating_sub(tasks);
        }
        self.queued_tasks = self.queued_tasks.saturating_sub(tasks);
        self.queued_work = self.queued_work.saturating_sub(work.0);
    }

    /// Notes that a task of `tenant` took a slot.
    pub fn occupy_slot(&mut self, tenant: &TenantName) {
        self.tenant_queues
            .entry(tenant.clone())
            .or_default()
            .running += 1;
    }

    /// Notes that a task of `tenant` left its slot.
    pub fn vacate_slot(&mut self, tenant: &TenantName) {
        if let Some(queue) = self.tenant_queues.get_mut(tenant) {
            queue.running = queue.running.saturating_sub(1);
        }
    }

    /// The job whose task goes next, among those that fit and whose tenants
    /// are below their quota.
    pub fn next(&self, fits: impl Fn(SubmissionId) -> bool) -> Option<SubmissionId> {
        self.tenant_queues
            .values()
            .filter(|queue| queue.running < queue.quota)
            .filter_map(|queue| queue.jobs.iter().find(|(_, submission)| fits(*submission)))
            .min()
            .map(|(_, submission)| *submission)
    }
}

/// Sorts before every other submission.
const FIRST_SUBMISSION: SubmissionId = SubmissionId {
    entry: laurelstile_types::id::Incarnation(0),
    number: 0,
};
