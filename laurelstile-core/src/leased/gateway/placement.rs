//! Placement: which worker gets which tasks.
//!
//! The most urgent job goes first. A job's tasks are kept together as far as
//! one worker has room for them: one message and one copy of the input serve
//! them all, and a bad worker harms fewer jobs. Between workers with room the
//! expected run time decides, then the zone, then what is left free.

use std::sync::Arc;

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::candidate::Candidate;
use super::job::{Job, Step, StepRequest, TaskState, task_id};
use super::queues::QueueSettings;
use super::suspects::ALONE_PATIENCE;
use super::workers::Worker;
use super::{GatewayDecision, GatewayEffect, LeasedGateway};
use crate::leased::messages::{StartBatch, ToAgentBody};
use crate::leased::resources::Resources;
use crate::leased::task::{JobId, RunNumber};

/// What a worker of another zone costs more, in microseconds of run time.
const OTHER_ZONE_MICROS: u64 = 10_000;
/// What a worker without free room would cost more than an empty one.
const FULLNESS_MICROS: u64 = 20_000;
/// What a worker far from the data costs more, in percent of the run time.
const FAR_PERCENT: u64 = 50;
/// A worker that is so many times slower than the best is called slow.
const SLOW_FACTOR: u32 = 2;
/// How long tasks may wait at an agent whose room another gateway has taken
/// meanwhile. Short: another worker may have room.
const PATIENCE: Span = Span::from_millis(4);

/// A task that found no room.
#[derive(Debug)]
struct Shortage {
    queue: Arc<QueueSettings>,
    /// Whether the queue is contained: it has other workers than the rest of its service.
    is_contained: bool,
    label: Option<String>,
    resources: Resources,
}

impl Shortage {
    /// Whether a task of `step` cannot find room either: it asks at least as much
    /// of the same workers, or of some of them.
    fn covers(&self, queue: &QueueSettings, is_contained: bool, step: &StepRequest) -> bool {
        let has_same_workers =
            self.queue.service == queue.service && self.is_contained == is_contained;
        let is_narrower = self.label.is_none() || self.label == step.label;
        has_same_workers && is_narrower && self.resources.fits_in(step.resources)
    }
}

impl LeasedGateway {
    /// Places what waits, the most urgent first. A task that finds no room holds
    /// up those only that ask for as much of the same workers.
    pub(super) fn place_waiting(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        if !self.start_window.is_open() {
            return;
        }
        let mut shortages = Vec::new();
        for id in self.waiting_in_order(now) {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            if now < job.not_before {
                continue;
            }
            let latest_start = job.latest_start;
            if self.place_job(now, id, &mut shortages, effects) {
                self.waiting.remove(&(latest_start, id));
            }
        }
    }

    /// Places the job's tasks; `false` if some found no room.
    fn place_job(
        &mut self,
        now: Timestamp,
        id: JobId,
        shortages: &mut Vec<Shortage>,
        effects: &mut Vec<GatewayEffect>,
    ) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return true;
        };
        let mut is_placed = true;
        for step in job.placeable() {
            is_placed &= self.place_step(now, id, step, shortages, effects);
            is_placed &= self.place_apart(now, id, step, effects);
        }
        is_placed
    }

    /// Places the tasks of a step; `false` if some found no room.
    fn place_step(
        &mut self,
        now: Timestamp,
        id: JobId,
        step: usize,
        shortages: &mut Vec<Shortage>,
        effects: &mut Vec<GatewayEffect>,
    ) -> bool {
        while let Some(job) = self.jobs.get(&id) {
            let Step {
                request, waiting, ..
            } = &job.steps[step];
            if waiting.is_empty() {
                return true;
            }
            if !self.start_window.is_open() {
                self.start_window.note_full();
                return false;
            }
            let is_contained = self.is_contained(&job.queue);
            let is_short = |shortage: &Shortage| shortage.covers(&job.queue, is_contained, request);
            if shortages.iter().any(is_short) {
                return false;
            }
            let Some(candidate) = self.best_worker(now, id, step) else {
                shortages.push(Shortage {
                    queue: Arc::clone(&job.queue),
                    is_contained,
                    label: request.label.clone(),
                    resources: request.resources,
                });
                return false;
            };
            self.place(now, id, step, candidate, effects);
        }
        true
    }

    fn best_worker(&self, now: Timestamp, id: JobId, step: usize) -> Option<Candidate> {
        let job = self.jobs.get(&id)?;
        let wanted = u32::try_from(job.steps[step].waiting.len()).unwrap_or(u32::MAX);
        self.best_worker_of(now, id, step, wanted, |_| true)
    }

    /// The best worker for `wanted` tasks among those that `is_allowed` names.
    pub(super) fn best_worker_of(
        &self,
        now: Timestamp,
        id: JobId,
        step: usize,
        wanted: u32,
        is_allowed: impl Fn(Incarnation) -> bool,
    ) -> Option<Candidate> {
        let job = self.jobs.get(&id)?;
        let service = &job.queue.service;
        let best_pace = self.best_pace(now, service)?;
        let request = &job.steps[step].request;
        self.workers
            .iter()
            .filter(|(_, worker)| worker.is_usable(now, service))
            .filter(|(agent, _)| is_allowed(**agent) && self.is_open_to(&job.queue, **agent))
            .filter_map(|(agent, worker)| {
                let wanted = wanted_of(job, request, wanted, best_pace, worker)?;
                self.candidate(job, request, wanted, *agent, worker)
            })
            .max_by_key(|candidate| {
                let cost = std::cmp::Reverse(candidate.cost);
                (candidate.is_fast, candidate.tasks, cost)
            })
    }

    /// Pace of the fastest worker that may be given tasks of `service`.
    pub(super) fn best_pace(&self, now: Timestamp, service: &str) -> Option<u32> {
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
        if !worker.fulfils(request) {
            return None;
        }
        let free = worker.free_room();
        let tasks = request
            .resources
            .count_fitting_in(free)
            .min(worker.limit())
            .min(wanted);
        if tasks == 0 {
            return None;
        }
        let snapshot = worker.snapshot.as_ref()?;
        let pace = u64::from(worker.report.run_time_percent);
        let is_far = request
            .near
            .as_ref()
            .is_some_and(|near| !worker.has_label(near));
        let pace = if is_far {
            pace + pace * FAR_PERCENT / 100
        } else {
            pace
        };
        let run_time = request.estimate.0 * pace / 100;
        let zone = if snapshot.zone == self.identity.member.zone {
            0
        } else {
            OTHER_ZONE_MICROS
        };
        let capacity = u64::from(snapshot.capacity.cpu_millis.max(1));
        let taken = capacity.saturating_sub(u64::from(free.cpu_millis));
        let is_fast = run_time <= job.objective.0;
        Some(Candidate {
            agent,
            is_fast,
            tasks,
            cost: run_time + zone + FULLNESS_MICROS * taken / capacity,
            offer: None,
            apart: None,
            is_exclusive: false,
        })
    }

    pub(super) fn place(
        &mut self,
        now: Timestamp,
        id: JobId,
        step: usize,
        candidate: Candidate,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let (Some(job), Some(worker)) = (
            self.jobs.get_mut(&id),
            self.workers.get_mut(&candidate.agent),
        ) else {
            return;
        };
        let tasks = take_tasks(now, job, step, candidate);
        job.first_placed.get_or_insert(now);
        let stalled = candidate
            .apart
            .map(|index| &job.steps[step].tasks[index as usize]);
        let has_stalled = stalled.is_some_and(|task| task.stalls > 0);
        let request = &job.steps[step].request;
        let count = u32::try_from(tasks.len()).unwrap_or(u32::MAX);
        let reported = if candidate.offer.is_some() {
            Resources::default()
        } else {
            request.resources.multiplied_by(count)
        };
        let patience = if candidate.is_exclusive {
            ALONE_PATIENCE
        } else {
            PATIENCE
        };
        let number = worker.next_batch(reported, count);
        for (index, run) in &tasks {
            let task = task_id(id, step, *index);
            worker.place(task, *run);
            if candidate.is_exclusive {
                worker.alone = Some(task);
            }
        }
        let batch = StartBatch {
            number,
            job: id,
            step: u32::try_from(step).unwrap_or(u32::MAX),
            input: job.input.clone(),
            resources: request.resources,
            estimate_millis: u32::try_from(request.estimate.as_millis()).unwrap_or(u32::MAX),
            max_wait_millis: u32::try_from(patience.as_millis()).unwrap_or(u32::MAX),
            tasks,
            offer: candidate.offer,
            is_exclusive: candidate.is_exclusive,
            has_stalled,
        };
        effects.push(GatewayEffect::Decided(GatewayDecision::Placed {
            job: id,
            agent: worker.name.clone(),
            tasks: count,
            report_age: now.since(worker.heard),
            age: now.since(job.arrival),
        }));
        let bytes = batch.bytes();
        self.start_window
            .on_sent(now, candidate.agent, number, bytes);
        self.send(now, candidate.agent, ToAgentBody::Start(batch), effects);
    }
}

/// Tasks that a worker may be given of `wanted`. One that is far slower than the
/// best, and too slow for the objective, gets a single task while it is idle,
/// which shows how it does now; where all are slow the estimates are to blame.
pub(super) fn wanted_of(
    job: &Job,
    request: &StepRequest,
    wanted: u32,
    best_pace: u32,
    worker: &Worker,
) -> Option<u32> {
    let pace = worker.report.run_time_percent;
    let run_time = request.estimate.0 * u64::from(pace) / 100;
    let is_slow = run_time > job.objective.0 && pace >= best_pace.saturating_mul(SLOW_FACTOR);
    match (is_slow, worker.is_idle()) {
        (false, _) => Some(wanted),
        (true, true) => Some(1),
        (true, false) => None,
    }
}

fn take_tasks(
    now: Timestamp,
    job: &mut Job,
    step: usize,
    candidate: Candidate,
) -> Vec<(u32, RunNumber)> {
    let step = &mut job.steps[step];
    let count = candidate.tasks as usize;
    let mut taken = Vec::with_capacity(count);
    while taken.len() < count {
        let next = match candidate.apart {
            Some(index) => step.apart.take(&index),
            None => step.waiting.pop_first(),
        };
        let Some(index) = next else {
            break;
        };
        let task = &mut step.tasks[index as usize];
        task.state = TaskState::Placed;
        task.placed = now;
        task.run = RunNumber(task.run.0 + 1);
        taken.push((index, task.run));
    }
    job.placed += u32::try_from(taken.len()).unwrap_or(u32::MAX);
    taken
}
