//! Order of the waiting jobs of one pool: least remaining work first, weighted
//! by tenant, with ageing to prevent starvation and a quota of slots per
//! tenant.

use std::collections::{BTreeMap, BTreeSet};

use laurelstile_types::id::{SubmissionId, TenantName};
use laurelstile_types::time::{Span, Timestamp};

/// Ageing rate: each microsecond of waiting offsets this many thousandths of a
/// microsecond of remaining work per slot and weight. See docs/decisions/0002.
const AGEING_PERMILLE: u64 = 20;

/// Sort key of a job in the queue; the lowest is dispatched first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank(u64);

/// Properties of a job that determine its rank.
#[derive(Clone, Copy, Debug)]
pub struct RankInput {
    /// Expected run time of all waiting tasks together.
    pub remaining_work: Span,
    /// Weight of the tenant.
    pub weight: u32,
    pub arrival: Timestamp,
}

/// Waiting jobs and slot usage of one tenant.
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
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots.max(1),
            tenant_queues: BTreeMap::new(),
            queued_tasks: 0,
            queued_work: 0,
        }
    }

    /// Sets the number of slots; ranks of waiting jobs are not recomputed.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    pub fn set_quota(&mut self, tenant: &TenantName, quota: u32) {
        self.tenant_queues.entry(tenant.clone()).or_default().quota = quota;
    }

    /// Number of slots on which estimates are based; at least 1.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    pub fn queued_tasks(&self) -> u32 {
        self.queued_tasks
    }

    pub fn queued_tasks_of(&self, tenant: &TenantName) -> u32 {
        self.tenant_queues
            .get(tenant)
            .map_or(0, |queue| queue.queued_tasks)
    }

    /// Expected time for the pool to run all waiting tasks.
    pub fn backlog(&self) -> Span {
        Span(self.queued_work / u64::from(self.slots))
    }

    /// Expected time for the pool to run the jobs ranked before `rank`.
    pub fn backlog_before(&self, rank: Rank, work_of: impl Fn(SubmissionId) -> Span) -> Span {
        let before: u64 = self
            .tenant_queues
            .values()
            .flat_map(|queue| queue.jobs.range(..(rank, FIRST_SUBMISSION)))
            .map(|(_, submission)| work_of(*submission).0)
            .sum();
        Span(before / u64::from(self.slots))
    }

    /// Computes the rank: remaining work per slot and weight, offset by the
    /// arrival time.
    pub fn rank(&self, input: RankInput) -> Rank {
        let share = u64::from(self.slots) * u64::from(input.weight.max(1));
        let arrival_offset = input.arrival.0 / 1_000 * AGEING_PERMILLE;
        Rank(input.remaining_work.0 / share + arrival_offset)
    }

    /// Inserts a job that has waiting tasks.
    pub fn insert(&mut self, tenant: &TenantName, rank: Rank, submission: SubmissionId) {
        let queue = self.tenant_queues.entry(tenant.clone()).or_default();
        queue.jobs.insert((rank, submission));
    }

    pub fn remove(&mut self, tenant: &TenantName, rank: Rank, submission: SubmissionId) {
        if let Some(queue) = self.tenant_queues.get_mut(tenant) {
            queue.jobs.remove(&(rank, submission));
        }
    }

    /// Accounts for tasks added to the queue.
    pub fn add_tasks(&mut self, tenant: &TenantName, tasks: u32, work: Span) {
        self.tenant_queues
            .entry(tenant.clone())
            .or_default()
            .queued_tasks += tasks;
        self.queued_tasks += tasks;
        self.queued_work += work.0;
    }

    /// Accounts for tasks removed from the queue.
    pub fn remove_tasks(&mut self, tenant: &TenantName, tasks: u32, work: Span) {
        if let Some(queue) = self.tenant_queues.get_mut(tenant) {
            queue.queued_tasks = queue.queued_tasks.saturating_sub(tasks);
        }
        self.queued_tasks = self.queued_tasks.saturating_sub(tasks);
        self.queued_work = self.queued_work.saturating_sub(work.0);
    }

    /// Accounts for a slot taken by a task of `tenant`.
    pub fn occupy_slot(&mut self, tenant: &TenantName) {
        self.tenant_queues
            .entry(tenant.clone())
            .or_default()
            .running += 1;
    }

    /// Accounts for a slot freed by a task of `tenant`.
    pub fn vacate_slot(&mut self, tenant: &TenantName) {
        if let Some(queue) = self.tenant_queues.get_mut(tenant) {
            queue.running = queue.running.saturating_sub(1);
        }
    }

    /// The first job in order that satisfies `fits` and whose tenant is below
    /// its quota.
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
