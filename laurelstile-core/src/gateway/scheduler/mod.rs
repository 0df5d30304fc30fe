//! The scheduler for the jobs delegated to this gateway: queues them by pool,
//! dispatches their tasks to free slots, and collects the outputs.

mod delegations;
mod tasks;

use std::collections::{BTreeMap, BTreeSet};

use laurelstile_types::configuration::Configuration;
use laurelstile_types::id::{
    ClassName, DispatchId, Incarnation, PoolName, ServiceName, SubmissionId, TenantName,
};
use laurelstile_types::outcome::{Failure, Reason, RunState};
use laurelstile_types::time::{Span, Timestamp};

use super::job::{Job, MeanRunTime};
use super::links::{LinkIndex, Links};
use super::queue::Queue;
use crate::messages::peer::{Delegation, DelegationEnd, DelegationKey, DelegationOutcome};

/// Minimum waiting time of a job before it is sent back because every agent
/// joined after its delegation.
const SEND_BACK_DELAY: Span = Span::from_millis(200);

/// Origin of a delegation.
#[derive(Clone, Copy, Debug)]
pub struct Origin {
    /// Incarnation of the entry gateway.
    pub entry: Incarnation,
    /// Lower bound of the time of the delegation, on this gateway's clock;
    /// `None` for a local job.
    pub delegated_at: Option<Timestamp>,
}

/// A job whose end the entry gateway has not acknowledged.
#[derive(Debug)]
struct EndedJob {
    entry: Incarnation,
    end: DelegationEnd,
    contacted: BTreeSet<LinkIndex>,
}

/// An end to report to an entry gateway.
#[derive(Debug)]
pub struct PendingEnd {
    pub entry: Incarnation,
    pub end: DelegationEnd,
}

/// The jobs that this gateway schedules.
#[derive(Debug, Default)]
pub struct Scheduler {
    queues: BTreeMap<PoolName, Queue>,
    jobs: BTreeMap<SubmissionId, Job>,
    deadlines: BTreeSet<(Timestamp, SubmissionId)>,
    ended: BTreeMap<SubmissionId, EndedJob>,
    mean_run_times: BTreeMap<(ServiceName, ClassName), MeanRunTime>,
    pending_ends: Vec<PendingEnd>,
    late_results: u64,
}

impl Scheduler {
    /// Updates the queues for a new configuration.
    pub fn configure(&mut self, configuration: &Configuration) {
        for pool in &configuration.pools {
            let slots = pool.slots();
            let queue = self.queue(&pool.name, slots);
            queue.set_slots(slots);
            for tenant in &configuration.tenants {
                queue.set_quota(&tenant.name, tenant.quota_slots);
            }
        }
    }

    /// Updates the numbers of slots from which waiting times are estimated. A
    /// pool that is not in `slots` keeps its number.
    pub fn set_slots_in_service(&mut self, slots: &BTreeMap<PoolName, u32>) {
        for (pool, slots) in slots {
            if let Some(queue) = self.queues.get_mut(pool) {
                queue.set_slots(*slots);
            }
        }
    }

    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Number of waiting tasks in all queues.
    pub fn queued_tasks(&self) -> u64 {
        self.queues
            .values()
            .map(|queue| u64::from(queue.queued_tasks()))
            .sum()
    }

    /// Number of waiting tasks by pool, without empty pools.
    pub fn waiting(&self) -> Vec<(PoolName, u32)> {
        self.queues
            .iter()
            .filter(|(_, queue)| queue.queued_tasks() > 0)
            .map(|(pool, queue)| (pool.clone(), queue.queued_tasks()))
            .collect()
    }

    /// Number of results that agents reported during reconciliation for
    /// dispatches that are no longer running here.
    pub fn late_results(&self) -> u64 {
        self.late_results
    }

    /// Whether this delegation is known here, ended or not.
    pub fn contains(&self, key: DelegationKey) -> bool {
        let active = self.jobs.get(&key.submission).map(|job| job.key);
        let ended = self.ended.get(&key.submission).map(|ended| ended.end.key);
        active == Some(key) || ended == Some(key)
    }

    /// Whether the outcome of `dispatch` is still expected here.
    pub fn is_running(&self, dispatch: DispatchId) -> bool {
        self.jobs
            .get(&dispatch.submission)
            .is_some_and(|job| job.is_running(dispatch))
    }

    /// Accepts a whole job or nothing of it.
    ///
    /// # Errors
    ///
    /// The reason for the refusal; no task of the delegation was or will be
    /// started.
    pub fn accept(
        &mut self,
        now: Timestamp,
        origin: Origin,
        delegation: Delegation,
        configuration: &Configuration,
        links: &mut Links,
    ) -> Result<(), Failure> {
        // An earlier delegation of the submission has been recovered and is
        // obsolete.
        self.discard(delegation.key.submission, links);
        let mean_run_time =
            self.mean_run_time(configuration, &delegation.service, &delegation.class);
        let weight = configuration
            .tenant(&delegation.tenant)
            .map_or(1, |tenant| tenant.weight);
        let job = Job {
            key: delegation.key,
            entry: origin.entry,
            pool: delegation.pool,
            service: delegation.service,
            class: delegation.class,
            tenant: delegation.tenant,
            weight,
            arrival: now,
            delegated_at: origin.delegated_at,
            deadline: now.after(delegation.time_left),
            mean_run_time,
            task_count: delegation.tasks.len(),
            waiting: delegation.tasks.into(),
            running: BTreeMap::new(),
            outputs: Vec::new(),
            contacted: BTreeSet::new(),
            rank: None,
        };
        // A recovered submission was already admitted.
        let is_first = job.key.delegation == FIRST_DELEGATION;
        if is_first {
            self.admit(&job, delegation.time_left, configuration)?;
        }
        let submission = job.key.submission;
        self.deadlines.insert((job.deadline, submission));
        self.enqueue_tasks(&job.pool, &job.tenant, job.waiting.len(), job.mean_run_time);
        self.jobs.insert(submission, job);
        self.update_rank(submission);
        Ok(())
    }

    fn admit(
        &self,
        job: &Job,
        time_left: Span,
        configuration: &Configuration,
    ) -> Result<(), Failure> {
        let (Some(queue), Some(pool)) = (self.queues.get(&job.pool), configuration.pool(&job.pool))
        else {
            return Err(Failure::not_run(Reason::NoConfiguration));
        };
        let tasks = u32::try_from(job.waiting.len()).unwrap_or(u32::MAX);
        let refuse = |reason| {
            let mut failure = Failure::not_run(reason);
            failure.retry_after_millis = Some(queue.backlog().as_millis().max(1));
            Err(failure)
        };
        if queue.queued_tasks().saturating_add(tasks) > pool.max_queued_tasks {
            return refuse(Reason::Overloaded);
        }
        let limit = configuration
            .tenant(&job.tenant)
            .map_or(0, |tenant| tenant.max_queued_tasks);
        if queue.queued_tasks_of(&job.tenant).saturating_add(tasks) > limit {
            return refuse(Reason::TenantOverQuota);
        }
        let rank = queue.rank(job.rank_input());
        let wait = queue.backlog_before(rank, |submission| {
            self.jobs
                .get(&submission)
                .map_or(Span::default(), Job::remaining_work)
        });
        let own_run_time =
            Span(job.remaining_work().0 / u64::from(queue.slots())).max(job.mean_run_time);
        if wait.0 + own_run_time.0 > time_left.0 {
            return refuse(Reason::DeadlineUnreachable);
        }
        Ok(())
    }

    /// Takes the ends that have not been reported yet.
    pub fn take_pending_ends(&mut self) -> Vec<PendingEnd> {
        std::mem::take(&mut self.pending_ends)
    }

    fn queue(&mut self, pool: &PoolName, slots: u32) -> &mut Queue {
        self.queues
            .entry(pool.clone())
            .or_insert_with(|| Queue::new(slots))
    }

    fn enqueue_tasks(&mut self, pool: &PoolName, tenant: &TenantName, tasks: usize, mean: Span) {
        let work = Span(mean.0 * tasks as u64);
        let tasks = u32::try_from(tasks).unwrap_or(u32::MAX);
        if let Some(queue) = self.queues.get_mut(pool) {
            queue.add_tasks(tenant, tasks, work);
        }
    }

    /// Moves a job to the position given by its remaining work.
    fn update_rank(&mut self, submission: SubmissionId) {
        let Some(job) = self.jobs.get_mut(&submission) else {
            return;
        };
        let Some(queue) = self.queues.get_mut(&job.pool) else {
            return;
        };
        if let Some(rank) = job.rank.take() {
            queue.remove(&job.tenant, rank, submission);
        }
        if !job.waiting.is_empty() {
            let rank = queue.rank(job.rank_input());
            queue.insert(&job.tenant, rank, submission);
            job.rank = Some(rank);
        }
    }

    fn complete(&mut self, submission: SubmissionId) {
        let Some(job) = self.jobs.remove(&submission) else {
            return;
        };
        self.deadlines.remove(&(job.deadline, submission));
        let end = DelegationEnd {
            key: job.key,
            outcome: DelegationOutcome::Complete(job.outputs),
        };
        self.record_end(job.entry, end, job.contacted);
    }

    fn fail(&mut self, submission: SubmissionId, reason: Reason, links: &mut Links) {
        let Some(job) = self.jobs.get(&submission) else {
            return;
        };
        let failure = if job.outputs.is_empty() && job.running.is_empty() {
            Failure::not_run(reason)
        } else {
            Failure::may_have_run(reason)
        };
        self.fail_with(submission, failure, links);
    }

    fn fail_after_run(&mut self, submission: SubmissionId, reason: Reason, links: &mut Links) {
        self.fail_with(submission, Failure::may_have_run(reason), links);
    }

    fn fail_with(&mut self, submission: SubmissionId, failure: Failure, links: &mut Links) {
        self.cancel_running(submission, links);
        let Some(job) = self.remove(submission, links) else {
            return;
        };
        debug_assert!(failure.run_state == RunState::MayHaveRun || job.outputs.is_empty());
        let end = DelegationEnd {
            key: job.key,
            outcome: DelegationOutcome::Failed(failure),
        };
        self.record_end(job.entry, end, job.contacted);
    }

    fn record_end(
        &mut self,
        entry: Incarnation,
        end: DelegationEnd,
        contacted: BTreeSet<LinkIndex>,
    ) {
        self.pending_ends.push(PendingEnd {
            entry,
            end: end.clone(),
        });
        let ended = EndedJob {
            entry,
            end,
            contacted,
        };
        self.ended.insert(ended.end.key.submission, ended);
    }

    /// Requests cancellation of a job's running tasks from their agents.
    fn cancel_running(&mut self, submission: SubmissionId, links: &mut Links) {
        let Some(job) = self.jobs.get(&submission) else {
            return;
        };
        let agents: BTreeSet<LinkIndex> =
            job.running.values().map(|running| running.link).collect();
        for link in agents {
            links.get_mut(link).pending_cancels.push(submission);
        }
    }

    /// Removes a job from all indexes without recording an end.
    fn remove(&mut self, submission: SubmissionId, links: &mut Links) -> Option<Job> {
        let job = self.jobs.remove(&submission)?;
        self.deadlines.remove(&(job.deadline, submission));
        if let Some(queue) = self.queues.get_mut(&job.pool) {
            if let Some(rank) = job.rank {
                queue.remove(&job.tenant, rank, submission);
            }
            let waiting = u32::try_from(job.waiting.len()).unwrap_or(u32::MAX);
            queue.remove_tasks(&job.tenant, waiting, job.remaining_work());
            for _ in &job.running {
                queue.vacate_slot(&job.tenant);
            }
        }
        for (task, running) in &job.running {
            let dispatch = DispatchId {
                submission,
                task: *task,
                delegation: job.key.delegation,
            };
            links.get_mut(running.link).unresolved.remove(&dispatch);
        }
        Some(job)
    }

    fn discard(&mut self, submission: SubmissionId, links: &mut Links) {
        self.remove(submission, links);
        self.ended.remove(&submission);
    }
}

/// Number of the first delegation of every submission.
pub const FIRST_DELEGATION: u32 = 1;

fn queue_release(submission: SubmissionId, contacted: &BTreeSet<LinkIndex>, links: &mut Links) {
    for link in contacted {
        links.get_mut(*link).pending_releases.push(submission);
    }
}
