//! Tasks under which workers have crashed: placed apart from each other, then alone, then
//! not at all.
//!
//! Without a bound, one task took down eleven workers of eleven within 0.7 s, and nobody
//! was served until they were back. The victims of a crash go to different workers: sent on
//! together, four sound tasks went down with the same task up to 13 times, and nothing told
//! them from it.

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::candidate::Candidate;
use super::job::{Job, task_id};
use super::{Answer, GatewayDecision, GatewayEffect, LeasedGateway};
use crate::leased::crashes::{Suspicion, WorkerCrash};
use crate::leased::messages::ToPeer;
use crate::leased::task::{JobId, TaskId};
use crate::session::SessionId;

/// Tasks of a gateway that run alone at a time. Each holds a worker for the length of its
/// run, and may take it down.
const MOST_ALONE: usize = 1;
/// Suspects that may wait to run alone. A job whose turn would come later is given up at
/// once: its caller is told when to come back, and the crashes are remembered.
const MOST_SUSPECTS_WAITING: usize = 3;
/// A worker is kept for a task of one early crash alone if so much of it is free, in thousandths.
const IDLE_PERMILLE: u64 = 300;
/// How long a task that is to run alone may wait at its worker until the others there have
/// ended: most tasks take less than a second.
pub(super) const ALONE_PATIENCE: Span = Span::from_millis(1_000);

impl LeasedGateway {
    /// Takes in crashed workers, and gives what of it is news here.
    fn on_crashes(
        &mut self,
        now: Timestamp,
        crashes: &[WorkerCrash],
        effects: &mut Vec<GatewayEffect>,
    ) -> Vec<WorkerCrash> {
        let mut news = Vec::new();
        for crash in crashes {
            let tasks = self.crashes.record(now, crash);
            for task in &tasks {
                self.on_crashed_under(now, *task, effects);
            }
            news.extend(crash.restricted_to(|task| tasks.contains(&task)));
        }
        news
    }

    /// A peer tells of crashed workers. What is news here is passed on.
    pub(super) fn on_crashes_told(
        &mut self,
        now: Timestamp,
        source: SessionId,
        crashes: &[WorkerCrash],
        effects: &mut Vec<GatewayEffect>,
    ) {
        let news = self.on_crashes(now, crashes, effects);
        if !news.is_empty() && !self.crashes.may_have_evicted(now) {
            self.tell_other_peers(source, &ToPeer::Crashes(news), effects);
        }
    }

    /// An agent tells of crashed workers: what touches jobs of this gateway is passed on, so
    /// that a caller who hands in again elsewhere finds it known there. Other gateways
    /// hear of theirs from the agent.
    pub(super) fn on_crashes_at_agent(
        &mut self,
        now: Timestamp,
        crashes: &[WorkerCrash],
        effects: &mut Vec<GatewayEffect>,
    ) {
        let is_own = |task: TaskId| self.jobs.contains_key(&task.job);
        let own = crashes
            .iter()
            .filter_map(|crash| crash.restricted_to(is_own));
        let own: Vec<WorkerCrash> = own.collect();
        self.on_crashes(now, crashes, effects);
        if own.is_empty() {
            return;
        }
        self.tell_peers(&ToPeer::Crashes(own), effects);
    }

    /// One more worker has crashed under a task.
    fn on_crashed_under(&mut self, now: Timestamp, task: TaskId, effects: &mut Vec<GatewayEffect>) {
        let suspicion = self.crashes.suspicion(task);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.set_apart(task);
        if suspicion >= Suspicion::Suspect {
            self.note_suspect(now, task, effects);
            effects.push(GatewayEffect::Decided(GatewayDecision::Suspected {
                task,
                is_given_up: suspicion == Suspicion::Poison,
                workers: self.crashes.incarnations_of(task),
            }));
        }
        match suspicion {
            Suspicion::Poison => self.finish(now, task.job, Answer::Failed, effects),
            Suspicion::Suspect if self.suspects_waiting() >= MOST_SUSPECTS_WAITING => {
                self.finish(now, task.job, Answer::GivenUp, effects);
            }
            _ => {}
        }
    }

    /// The task of a job that is not to be started again, if there is one.
    pub(super) fn poison_task_of(&self, job: JobId) -> Option<TaskId> {
        let mut tasks = self.crashes.tasks_of(job);
        tasks.find(|task| self.crashes.suspicion(*task) == Suspicion::Poison)
    }

    /// Sets those tasks of a new job apart under which workers have crashed elsewhere.
    pub(super) fn set_known_apart(&self, job: &mut Job) {
        for task in self.crashes.tasks_of(job.id) {
            job.set_apart(task);
        }
    }

    /// Jobs with a suspect that is not at a worker.
    fn suspects_waiting(&self) -> usize {
        let has_suspect = |job: &&Job| {
            job.waiting_apart()
                .any(|task| self.crashes.suspicion(task) == Suspicion::Suspect)
        };
        self.jobs.values().filter(has_suspect).count()
    }

    /// Places the tasks of a step that go one by one; `false` if some found no room.
    pub(super) fn place_apart(
        &mut self,
        now: Timestamp,
        id: JobId,
        step: usize,
        effects: &mut Vec<GatewayEffect>,
    ) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return true;
        };
        let waiting: Vec<u32> = job.steps[step].apart.iter().copied().collect();
        let mut are_placed = true;
        for index in waiting {
            if !self.start_window.is_open() {
                self.start_window.note_full();
                return false;
            }
            match self.worker_apart(now, id, step, index) {
                Some(candidate) => self.place(now, id, step, candidate, effects),
                None => are_placed = false,
            }
        }
        are_placed
    }

    /// The worker for a task that goes by itself.
    fn worker_apart(
        &self,
        now: Timestamp,
        id: JobId,
        step: usize,
        index: u32,
    ) -> Option<Candidate> {
        let suspicion = self.crashes.suspicion(task_id(id, step, index));
        if suspicion == Suspicion::Suspect {
            return self.worker_alone(now, id, step, index, 0);
        }
        if suspicion == Suspicion::OneEarlyCrash {
            let idle = self.worker_alone(now, id, step, index, IDLE_PERMILLE);
            if idle.is_some() {
                return idle;
            }
        }
        let has_other = |agent| self.has_task_apart(agent);
        let candidate = self.best_worker_of(now, id, step, 1, |agent| !has_other(agent))?;
        Some(candidate.apart(index))
    }

    /// Whether a worker has a task of ours under which another has crashed.
    pub(super) fn has_task_apart(&self, agent: Incarnation) -> bool {
        if self.crashes.is_empty() {
            return false;
        }
        let tasks = self.workers.get(&agent).map(|worker| &worker.tasks);
        let mut tasks = tasks.into_iter().flat_map(|tasks| tasks.keys());
        tasks.any(|task| self.crashes.suspicion(*task) != Suspicion::Clear)
    }

    /// The first task of a step that waits to go by itself beside sound ones.
    pub(super) fn first_task_apart(&self, job: &Job, step: usize) -> Option<u32> {
        let mut waiting = job.steps[step].apart.iter();
        let may_share = |index: &&u32| {
            let task = task_id(job.id, step, **index);
            self.crashes.suspicion(task) != Suspicion::Suspect
        };
        waiting.find(may_share).copied()
    }

    /// The worker on which a task is to run alone: the emptiest that may take it, if as much
    /// of it is free, in thousandths.
    fn worker_alone(
        &self,
        now: Timestamp,
        id: JobId,
        step: usize,
        index: u32,
        least_free: u64,
    ) -> Option<Candidate> {
        let alone = self.workers.values().filter(|worker| worker.has_alone());
        if alone.count() >= MOST_ALONE {
            return None;
        }
        let job = self.jobs.get(&id)?;
        let request = &job.steps[step].request;
        let service = &job.queue.service;
        let usable = self.workers.iter().filter(|(agent, worker)| {
            let capacity = worker.snapshot.as_ref().map(|known| known.capacity);
            worker.is_usable(now, service)
                && self.is_open_to(&job.queue, **agent)
                && capacity.is_some_and(|capacity| request.resources.fits_in(capacity))
                && worker.fulfils(request)
        });
        let (agent, worker) = usable.max_by_key(|(_, worker)| worker.free_permille())?;
        (worker.free_permille() >= least_free).then(|| Candidate::alone(*agent, index))
    }
}
