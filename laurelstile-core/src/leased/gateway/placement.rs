//! Placement of tasks on workers.
//!
//! The most urgent job is placed first. Tasks of a job are batched on one worker as far as its
//! free resources allow: they share one message and one copy of the input, and a faulty worker
//! affects fewer jobs. Workers that are fast enough for the job's objective are preferred, then
//! those that can take more of its tasks, then those with the lowest cost: the expected run
//! time plus penalties for another zone and for utilization. With the `locality` policy, workers
//! near a step's data come before those far from it (see [`super::locality`]).

use std::sync::Arc;

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::candidate::Candidate;
use super::job::{Job, Step, StepRequest, TaskState, task_id};
use super::locality::{LocalityRound, RemoteFactor, StepLocality, expected_run_time};
use super::queues::QueueSettings;
use super::suspects::EXCLUSIVE_MAX_WAIT;
use super::workers::Worker;
use super::{GatewayDecision, GatewayEffect, LeasedGateway};
use crate::leased::messages::{StartBatch, ToAgentBody};
use crate::leased::queue_key::QueueKey;
use crate::leased::resources::Resources;
use crate::leased::task::{JobId, RunNumber};

/// Cost of a worker in another zone, in microseconds of run time.
const CROSS_ZONE_COST_MICROS: u64 = 10_000;
/// Cost of a fully utilized worker relative to an empty one, in microseconds of run time.
const UTILIZATION_COST_MICROS: u64 = 20_000;
/// Cost of a worker without the label near the step's data, in percent of the run time, where the
/// settings state no factor. With the `locality` policy its `remote_factor` counts instead.
const REMOTE_DATA_COST_PERCENT: u64 = 50;
/// A worker is slow only if its run time percentage is at least this many times that of the
/// fastest one.
const SLOW_FACTOR: u32 = 2;
/// How long tasks may wait at an agent whose resources another gateway has taken in the
/// meantime. Short, since another worker may have free resources.
const MAX_WAIT: Span = Span::from_millis(4);

/// A request for resources that no worker could satisfy.
#[derive(Debug)]
struct Shortage {
    queue: Arc<QueueSettings>,
    /// Whether the queue is contained, and thus restricted to other workers than the rest of
    /// its service.
    is_contained: bool,
    label: Option<String>,
    /// What was free nevertheless; `None` if no worker was.
    far: Option<FarWorkers>,
    resources: Resources,
}

/// Workers with free resources that a step with data may not use.
#[derive(Debug)]
struct FarWorkers {
    /// The label near the step's data.
    near: Option<String>,
    /// The paces of the workers far from the data, without duplicates, in percent of the nominal run
    /// time.
    paces: Vec<u32>,
}

impl FarWorkers {
    /// Whether a step may not use them either.
    fn are_too_far(&self, step: &StepRequest, locality: Option<&StepLocality>) -> bool {
        let may_use = |locality: &StepLocality| {
            let mut paces = self.paces.iter();
            locality.allows_any_remote() && paces.any(|pace| locality.allows_remote(*pace))
        };
        self.near == step.near && locality.is_some_and(|locality| !may_use(locality))
    }
}

/// What a round of placement has found out.
#[derive(Debug)]
struct PlacementRound<'a> {
    shortages: Vec<Shortage>,
    locality: &'a mut LocalityRound,
}

impl PlacementRound<'_> {
    /// The shortage that shows that no worker is free for a task of `step`, as far as the step may use
    /// workers far from its data now.
    fn shortage_covering(
        &self,
        queue: &QueueSettings,
        is_contained: bool,
        step: &StepRequest,
        locality: Option<&StepLocality>,
    ) -> Option<&Shortage> {
        self.shortages.iter().find(|shortage| {
            let far = shortage.far.as_ref();
            shortage.covers(queue, is_contained, step)
                && far.is_none_or(|far| far.are_too_far(step, locality))
        })
    }
}

impl Shortage {
    /// Whether a task of `step` cannot be placed either, because it needs at least the same
    /// resources on a subset of the same workers.
    fn covers(&self, queue: &QueueSettings, is_contained: bool, step: &StepRequest) -> bool {
        let has_same_workers =
            self.queue.service == queue.service && self.is_contained == is_contained;
        let is_narrower = self.label.is_none() || self.label == step.label;
        has_same_workers && is_narrower && self.resources.fits_in(step.resources)
    }
}

impl LeasedGateway {
    /// Places waiting jobs, the most urgent first. A task that does not fit blocks only tasks
    /// that need at least the same resources on the same workers.
    pub(super) fn place_waiting(
        &mut self,
        now: Timestamp,
        locality: &mut LocalityRound,
        effects: &mut Vec<GatewayEffect>,
    ) {
        self.next_near_wait_end = None;
        if !self.start_window.is_open() || self.is_rejoining(now) {
            return;
        }
        let mut round = PlacementRound {
            shortages: Vec::new(),
            locality,
        };
        for id in self.waiting_in_order(now) {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            if !job.is_placeable_at(now) {
                continue;
            }
            let latest_start = job.latest_start;
            if self.place_job(now, id, &mut round, effects) {
                self.waiting.remove(&(latest_start, id));
            }
        }
    }

    /// Places the tasks of a job; returns `false` if some did not fit.
    fn place_job(
        &mut self,
        now: Timestamp,
        id: JobId,
        round: &mut PlacementRound<'_>,
        effects: &mut Vec<GatewayEffect>,
    ) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return true;
        };
        let mut is_placed = true;
        for step in job.placeable_steps() {
            is_placed &= self.place_step(now, id, step, round, effects);
            is_placed &= self.place_separated(now, id, step, effects);
        }
        is_placed
    }

    /// Places the batched tasks of a step; returns `false` if some did not fit.
    fn place_step(
        &mut self,
        now: Timestamp,
        id: JobId,
        step: usize,
        round: &mut PlacementRound<'_>,
        effects: &mut Vec<GatewayEffect>,
    ) -> bool {
        self.begin_near_wait(now, id, step);
        while let Some(job) = self.jobs.get(&id) {
            let Step {
                request, waiting, ..
            } = &job.steps[step];
            if waiting.is_empty() {
                return true;
            }
            if !self.start_window.is_open() {
                self.start_window.record_blocked();
                return false;
            }
            let is_contained = self.is_contained(&job.queue);
            let locality = self.step_locality(now, job, step, round.locality);
            let locality = locality.filter(StepLocality::has_near);
            let shortage =
                round.shortage_covering(&job.queue, is_contained, request, locality.as_ref());
            let is_far_only = if let Some(shortage) = shortage {
                shortage.far.is_some()
            } else {
                if let Some(candidate) = self.best_worker(now, id, step, locality.as_ref()) {
                    self.place(now, id, step, candidate, effects);
                    continue;
                }
                let far = locality.as_ref();
                let far = far.and_then(|_| self.free_far_workers(now, job, request));
                let is_far_only = far.is_some();
                round.shortages.push(Shortage {
                    queue: Arc::clone(&job.queue),
                    is_contained,
                    label: request.label.clone(),
                    far,
                    resources: request.resources,
                });
                is_far_only
            };
            if let Some(locality) = locality {
                self.set_near_wait_timer(id, step, &locality, is_far_only);
            }
            return false;
        }
        true
    }

    /// The workers with free resources for a task of a step that found none to use; `None` if no
    /// worker has free resources.
    fn free_far_workers(
        &self,
        now: Timestamp,
        job: &Job,
        request: &StepRequest,
    ) -> Option<FarWorkers> {
        let free = self.workers.iter().filter(|(agent, worker)| {
            worker.is_usable(now, &job.queue.service)
                && self.may_use_worker(&job.queue, **agent)
                && self.candidate(job, request, 1, **agent, worker).is_some()
        });
        let mut free = free.map(|(_, worker)| worker).peekable();
        free.peek()?;
        let far = free.filter(|worker| worker.is_remote_from(request));
        let mut paces: Vec<u32> = far.map(|worker| worker.report.run_time_percent).collect();
        paces.sort_unstable();
        paces.dedup();
        let near = request.near.clone();
        Some(FarWorkers { near, paces })
    }

    fn best_worker(
        &self,
        now: Timestamp,
        id: JobId,
        step: usize,
        locality: Option<&StepLocality>,
    ) -> Option<Candidate> {
        let job = self.jobs.get(&id)?;
        let wanted = u32::try_from(job.steps[step].waiting.len()).unwrap_or(u32::MAX);
        self.best_worker_of(now, id, step, wanted, locality, |_| true)
    }

    /// The best worker for up to `wanted` tasks among those that `is_allowed` accepts. `locality`
    /// limits the use of workers far from the step's data while all near ones are full; with `None`,
    /// it is not limited.
    pub(super) fn best_worker_of(
        &self,
        now: Timestamp,
        id: JobId,
        step: usize,
        wanted: u32,
        locality: Option<&StepLocality>,
        is_allowed: impl Fn(Incarnation) -> bool,
    ) -> Option<Candidate> {
        let job = self.jobs.get(&id)?;
        let service = &job.queue.service;
        let best_percent = self.best_run_time_percent(now, service)?;
        let request = &job.steps[step].request;
        let candidates = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.is_usable(now, service))
            .filter(|(agent, _)| is_allowed(**agent) && self.may_use_worker(&job.queue, **agent))
            .filter_map(|(agent, worker)| {
                let wanted = allowed_tasks(job, request, wanted, best_percent, worker)?;
                let candidate = self.candidate(job, request, wanted, *agent, worker)?;
                Some((worker.report.run_time_percent, candidate))
            });
        let (mut near, mut remote, mut allowed_remote) = (None, None, None);
        for (percent, candidate) in candidates {
            if !candidate.is_remote {
                candidate.replace_worse(&mut near);
                continue;
            }
            candidate.replace_worse(&mut remote);
            let is_limited = || locality.is_some_and(|locality| !locality.allows_remote(percent));
            if near.is_none() && !is_limited() {
                candidate.replace_worse(&mut allowed_remote);
            }
        }
        let Some(near) = near else {
            return allowed_remote;
        };
        let faster_remote = remote.filter(|remote| remote.run_time < near.run_time);
        faster_remote.or(Some(near))
    }

    /// Run time on the fastest usable worker of `service`, in percent of the nominal run time,
    /// or `None` if there is no such worker.
    pub(super) fn best_run_time_percent(&self, now: Timestamp, service: &str) -> Option<u32> {
        self.workers
            .values()
            .filter(|worker| worker.is_usable(now, service))
            .map(|worker| worker.report.run_time_percent)
            .min()
    }

    fn candidate(
        &self,
        job: &Job,
        request: &StepRequest,
        wanted: u32,
        agent: Incarnation,
        worker: &Worker,
    ) -> Option<Candidate> {
        if !worker.has_required_label(request) {
            return None;
        }
        let free = worker.free_resources();
        let tasks = request
            .resources
            .count_fitting_in(free)
            .min(worker.remaining_tasks())
            .min(wanted);
        if tasks == 0 {
            return None;
        }
        let snapshot = worker.snapshot.as_ref()?;
        let remote = self.remote_factor_on(request, worker);
        let run_time = self.run_time_on(request, worker, remote).0;
        let zone_cost = if snapshot.zone == self.identity.member.zone {
            0
        } else {
            CROSS_ZONE_COST_MICROS
        };
        let capacity = u64::from(snapshot.capacity.cpu_millis.max(1));
        let used = capacity.saturating_sub(u64::from(free.cpu_millis));
        let is_fast = run_time <= job.objective.0;
        Some(Candidate {
            agent,
            is_remote: remote.is_some(),
            run_time: Span(run_time),
            is_fast,
            tasks,
            cost: run_time.saturating_add(zone_cost + UTILIZATION_COST_MICROS * used / capacity),
            offer: None,
            separated: None,
            is_exclusive: false,
        })
    }

    /// Expected run time of a step's tasks on a worker; `remote` is the factor if the worker is far
    /// from the step's data. Without the `locality` policy, a constant cost is added there instead.
    fn run_time_on(
        &self,
        request: &StepRequest,
        worker: &Worker,
        remote: Option<RemoteFactor>,
    ) -> Span {
        let percent = worker.report.run_time_percent;
        if self.policies.locality.is_some() || !worker.is_remote_from(request) {
            return expected_run_time(request.estimate, percent, remote);
        }
        let percent = u64::from(percent);
        let percent = percent + percent * REMOTE_DATA_COST_PERCENT / 100;
        Span(request.estimate.0.saturating_mul(percent) / 100)
    }

    /// Sends the candidate's agent a batch of the step's waiting tasks. Offered resources are
    /// not part of the reported free ones, so a batch that answers an offer uses none of these.
    pub(super) fn place(
        &mut self,
        now: Timestamp,
        id: JobId,
        step: usize,
        candidate: Candidate,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let is_preemptible_queue = self
            .jobs
            .get(&id)
            .is_some_and(|job| self.is_preemptible(now, &job.queue));
        let factor = self.remote_factor();
        if !self.workers.contains_key(&candidate.agent) {
            return;
        }
        self.record_first_placement(now, id);
        let (Some(job), Some(worker)) = (
            self.jobs.get_mut(&id),
            self.workers.get_mut(&candidate.agent),
        ) else {
            return;
        };
        let is_remote = worker.is_remote_from(&job.steps[step].request);
        let remote = factor.filter(|_| is_remote);
        let tasks = take_tasks(now, job, step, candidate, remote);
        let queue_shares = self.policies.queue_shares;
        job.first_placed.get_or_insert(now);
        let separated_task = candidate
            .separated
            .map(|index| &job.steps[step].tasks[index as usize]);
        let has_stalled = separated_task.is_some_and(|task| task.stalls > 0);
        // Tasks under suspicion run alone, and are not repeated more often than necessary.
        let is_preemptible = is_preemptible_queue
            && candidate.separated.is_none()
            && !job.has_preempted(step, &tasks);
        for (index, _) in &tasks {
            job.steps[step].tasks[*index as usize].is_preemptible = is_preemptible;
        }
        let checkpoints = job.steps[step].checkpoints_of(&tasks);
        let request = &job.steps[step].request;
        let count = u32::try_from(tasks.len()).unwrap_or(u32::MAX);
        let used = if candidate.offer.is_some() {
            Resources::default()
        } else {
            request.resources.multiplied_by(count)
        };
        let max_wait = if candidate.is_exclusive {
            EXCLUSIVE_MAX_WAIT
        } else {
            MAX_WAIT
        };
        let number = worker.next_batch(used, count);
        for (index, run) in &tasks {
            let task = task_id(id, step, *index);
            worker.add_task(task, *run);
            if candidate.is_exclusive {
                worker.exclusive_task = Some(task);
            }
        }
        let estimate = remote.map_or(request.estimate, |factor| factor.multiply(request.estimate));
        let batch = StartBatch {
            number,
            job: id,
            step: u32::try_from(step).unwrap_or(u32::MAX),
            input: job.input.clone(),
            resources: request.resources,
            estimate_millis: u32::try_from(estimate.as_millis()).unwrap_or(u32::MAX),
            max_wait_millis: u32::try_from(max_wait.as_millis()).unwrap_or(u32::MAX),
            tasks,
            offer: candidate.offer,
            is_exclusive: candidate.is_exclusive,
            has_stalled,
            queue: queue_shares.map(|_| QueueKey::of(&job.queue.name)),
            is_preemptible,
            is_remote: remote.is_some(),
            checkpoints,
        };
        effects.push(GatewayEffect::Decided(GatewayDecision::Placed {
            job: id,
            agent: worker.name.clone(),
            tasks: count,
            report_age: now.since(worker.last_heard),
            age: now.since(job.arrival),
        }));
        let bytes = batch.bytes();
        self.start_window
            .on_sent(now, candidate.agent, number, bytes);
        self.send(now, candidate.agent, ToAgentBody::Start(batch), effects);
        self.on_data_placed(now, id, step, count, remote.is_some(), effects);
        self.update_backlog(now, id);
    }
}

/// Number of the `wanted` tasks that a worker may receive. A worker that is far slower than
/// the fastest one and too slow for the objective receives a single task while idle, as a
/// probe, and otherwise none (`None`). If all workers are slow, the estimate is assumed to be
/// wrong and none is restricted.
pub(super) fn allowed_tasks(
    job: &Job,
    request: &StepRequest,
    wanted: u32,
    best_percent: u32,
    worker: &Worker,
) -> Option<u32> {
    let run_time_percent = worker.report.run_time_percent;
    let run_time = request
        .estimate
        .0
        .saturating_mul(u64::from(run_time_percent))
        / 100;
    let is_slow =
        run_time > job.objective.0 && run_time_percent >= best_percent.saturating_mul(SLOW_FACTOR);
    match (is_slow, worker.is_idle()) {
        (false, _) => Some(wanted),
        (true, true) => Some(1),
        (true, false) => None,
    }
}

/// Marks the candidate's tasks as placed and returns them, with the numbers of their new runs.
fn take_tasks(
    now: Timestamp,
    job: &mut Job,
    step: usize,
    candidate: Candidate,
    remote: Option<RemoteFactor>,
) -> Vec<(u32, RunNumber)> {
    let earlier_run = job.earlier_run;
    let step = &mut job.steps[step];
    let count = candidate.tasks as usize;
    let mut taken = Vec::with_capacity(count);
    while taken.len() < count {
        let next = match candidate.separated {
            Some(index) => step.separated.take(&index),
            None => step.waiting.pop_first(),
        };
        let Some(index) = next else {
            break;
        };
        let task = &mut step.tasks[index as usize];
        task.state = TaskState::Placed;
        task.placed_at = now;
        task.remote = remote;
        task.run = RunNumber(task.run.max(earlier_run).0.saturating_add(1));
        taken.push((index, task.run));
    }
    job.placed_count += u32::try_from(taken.len()).unwrap_or(u32::MAX);
    taken
}
