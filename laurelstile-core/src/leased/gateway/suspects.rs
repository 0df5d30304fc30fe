//! Placement of tasks during which workers have crashed: first on separate workers, then
//! exclusively, then not at all.
//!
//! Without a limit, a single task can crash every worker of a service in turn: eleven workers
//! within 0.7 s. The tasks that a crash interrupted are placed on different workers; if they stayed
//! together, every further crash would hit all of them and the cause could not be told from the
//! others.

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::candidate::Candidate;
use super::job::{Job, task_id};
use super::{Answer, GatewayDecision, GatewayEffect, LeasedGateway};
use crate::leased::crashes::{CrashEvidence, Suspicion, WorkerCrash};
use crate::leased::messages::ToPeer;
use crate::leased::task::{JobId, TaskId};
use crate::session::SessionId;

/// Maximum number of tasks that run exclusively at a time. Each occupies a whole worker, and
/// may crash it.
const MAX_EXCLUSIVE_TASKS: usize = 1;
/// Maximum number of jobs whose suspects wait to run exclusively. Further ones are given up at
/// once; their crashes are retained for a resubmission.
const MAX_SUSPECTS_WAITING: usize = 3;
/// Minimum free part of a worker, in thousandths, on which a task with one early crash runs
/// exclusively.
const MIN_FREE_PERMILLE: u64 = 300;
/// How long an exclusive task may wait at its worker for the other tasks there to end: most tasks
/// take less than a second.
pub(super) const EXCLUSIVE_MAX_WAIT: Span = Span::from_millis(1_000);

impl LeasedGateway {
    /// Records crashes received from a peer and forwards those that are new here.
    pub(super) fn on_peer_crashes(
        &mut self,
        now: Timestamp,
        source: SessionId,
        crashes: &[WorkerCrash],
        effects: &mut Vec<GatewayEffect>,
    ) {
        let mut new_crashes = Vec::new();
        for crash in crashes {
            let tasks = self.crashes.record_confirmed(now, crash);
            for task in &tasks {
                self.on_task_crash(now, *task, effects);
            }
            new_crashes.extend(crash.restricted_to(|task| tasks.contains(&task)));
        }
        if !new_crashes.is_empty() && !self.crashes.may_have_evicted(now) {
            self.forward_to_peers(source, &ToPeer::Crashes(new_crashes), effects);
        }
    }

    /// Records crashes reported by an agent.
    pub(super) fn on_agent_crashes(
        &mut self,
        now: Timestamp,
        crashes: &[WorkerCrash],
        effects: &mut Vec<GatewayEffect>,
    ) {
        let confirmed = crashes
            .iter()
            .filter(|crash| !self.crashes.is_presumed(crash));
        let own = self.own_crashes(confirmed);
        for crash in crashes {
            for task in self.crashes.record(now, crash) {
                self.on_task_crash(now, task, effects);
            }
        }
        self.send_crashes_to_peers(own, effects);
    }

    /// Records what an agent knows of a crash that it had not confirmed.
    pub(super) fn on_crash_evidence(
        &mut self,
        now: Timestamp,
        evidence: &CrashEvidence,
        effects: &mut Vec<GatewayEffect>,
    ) {
        match evidence {
            CrashEvidence::Presumed(crash) => {
                self.crashes.presume(now, crash);
                self.separate_suspects(crash);
            }
            CrashEvidence::Confirmed(incarnation) => {
                self.confirm_crash(now, incarnation, effects);
            }
            CrashEvidence::Withdrawn(incarnation) => self.crashes.withdraw(incarnation),
        }
    }

    fn confirm_crash(
        &mut self,
        now: Timestamp,
        incarnation: &str,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(crash) = self.crashes.confirm(incarnation) else {
            return;
        };
        let own = self.own_crashes(std::iter::once(&crash));
        for crashed in &crash.tasks {
            self.on_task_crash(now, crashed.task, effects);
        }
        self.send_crashes_to_peers(own, effects);
    }

    /// Confirms the crashes of workers that have refused connections for long.
    pub(super) fn confirm_unresolved_crashes(
        &mut self,
        now: Timestamp,
        effects: &mut Vec<GatewayEffect>,
    ) {
        for incarnation in self.crashes.unresolved(now) {
            self.confirm_crash(now, &incarnation, effects);
        }
    }

    /// The parts of crashes that affect jobs of this gateway.
    fn own_crashes<'a>(&self, crashes: impl Iterator<Item = &'a WorkerCrash>) -> Vec<WorkerCrash> {
        let is_own = |task: TaskId| self.jobs.contains_key(&task.job);
        let own = crashes.filter_map(|crash| crash.restricted_to(is_own));
        own.collect()
    }

    /// Sends confirmed crashes that affect local jobs to peers, so that they count if the caller
    /// resubmits elsewhere. Other gateways are sent the crashes that affect their jobs by the agent
    /// itself.
    fn send_crashes_to_peers(&mut self, own: Vec<WorkerCrash>, effects: &mut Vec<GatewayEffect>) {
        if !own.is_empty() {
            self.broadcast_to_peers(&ToPeer::Crashes(own), effects);
        }
    }

    /// Separates those tasks of a presumed crash that are to run exclusively or not at all.
    fn separate_suspects(&mut self, crash: &WorkerCrash) {
        for crashed in &crash.tasks {
            let task = crashed.task;
            let is_suspect = self.crashes.suspicion(task) >= Suspicion::Suspect;
            if let Some(job) = self.jobs.get_mut(&task.job).filter(|_| is_suspect) {
                job.separate(task);
            }
        }
    }

    /// Handles another crash of a worker that ran a task.
    fn on_task_crash(&mut self, now: Timestamp, task: TaskId, effects: &mut Vec<GatewayEffect>) {
        let suspicion = self.crashes.suspicion(task);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.separate(task);
        if suspicion >= Suspicion::Suspect {
            self.record_suspect(now, task, effects);
            effects.push(GatewayEffect::Decided(GatewayDecision::Suspected {
                task,
                is_given_up: suspicion == Suspicion::Poison,
                workers: self.crashes.incarnations_of(task),
            }));
        }
        match suspicion {
            Suspicion::Poison => self.finish(now, task.job, Answer::Failed, effects),
            Suspicion::Suspect
                if self.crashes.is_reported_suspect(task)
                    && self.suspects_waiting() >= MAX_SUSPECTS_WAITING =>
            {
                self.finish(now, task.job, Answer::GivenUp, effects);
            }
            _ => {}
        }
    }

    /// The task of a job that must not be started again, if there is one.
    pub(super) fn poison_task_of(&self, job: JobId) -> Option<TaskId> {
        let mut tasks = self.crashes.tasks_of(job);
        tasks.find(|task| self.crashes.suspicion(*task) == Suspicion::Poison)
    }

    /// Separates those tasks of a new job during which workers have already crashed.
    pub(super) fn separate_crashed_tasks(&self, job: &mut Job) {
        for task in self.crashes.tasks_of(job.id) {
            if self.crashes.suspicion(task) != Suspicion::Clear {
                job.separate(task);
            }
        }
    }

    /// Number of jobs with a suspect that waits for a worker.
    fn suspects_waiting(&self) -> usize {
        let has_suspect = |job: &&Job| {
            job.waiting_separated()
                .any(|task| self.crashes.suspicion(task) == Suspicion::Suspect)
        };
        self.jobs.values().filter(has_suspect).count()
    }

    /// Places the separated tasks of a step; returns `false` if some did not fit.
    pub(super) fn place_separated(
        &mut self,
        now: Timestamp,
        id: JobId,
        step: usize,
        effects: &mut Vec<GatewayEffect>,
    ) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return true;
        };
        let waiting: Vec<u32> = job.steps[step].separated.iter().copied().collect();
        let mut are_placed = true;
        for index in waiting {
            if !self.start_window.is_open() {
                self.start_window.record_blocked();
                return false;
            }
            match self.worker_for_separated(now, id, step, index) {
                Some(candidate) => self.place(now, id, step, candidate, effects),
                None => are_placed = false,
            }
        }
        are_placed
    }

    /// The placement of a separated task, or `None` if no worker can take it now.
    fn worker_for_separated(
        &self,
        now: Timestamp,
        id: JobId,
        step: usize,
        index: u32,
    ) -> Option<Candidate> {
        let suspicion = self.crashes.suspicion(task_id(id, step, index));
        if suspicion > Suspicion::Suspect {
            return None;
        }
        if suspicion == Suspicion::Suspect {
            return self.exclusive_worker(now, id, step, index, 0);
        }
        if suspicion == Suspicion::OneEarlyCrash {
            let exclusive = self.exclusive_worker(now, id, step, index, MIN_FREE_PERMILLE);
            if exclusive.is_some() {
                return exclusive;
            }
        }
        let has_other = |agent| self.has_task_with_crashes(agent);
        let candidate = self.best_worker_of(now, id, step, 1, None, |agent| !has_other(agent))?;
        Some(candidate.with_separated(index))
    }

    /// Whether a worker holds a task of this gateway during which another worker has crashed.
    pub(super) fn has_task_with_crashes(&self, agent: Incarnation) -> bool {
        if self.crashes.is_empty() {
            return false;
        }
        let tasks = self.workers.get(&agent).map(|worker| &worker.tasks);
        let mut tasks = tasks.into_iter().flat_map(|tasks| tasks.keys());
        tasks.any(|task| self.crashes.suspicion(*task) != Suspicion::Clear)
    }

    /// Whether a step waits only for the results of checks on workers that may have crashed.
    pub(super) fn is_withheld(&self, job: &Job, step: usize) -> bool {
        let step_state = &job.steps[step];
        let mut separated = step_state.separated.iter();
        let is_withheld = |index: &u32| {
            let task = task_id(job.id, step, *index);
            self.crashes.suspicion(task) == Suspicion::Withheld
        };
        step_state.waiting.is_empty() && separated.all(is_withheld)
    }

    /// The first waiting separated task of a step that may share a worker with unsuspected
    /// tasks.
    pub(super) fn first_separated_task(&self, job: &Job, step: usize) -> Option<u32> {
        let mut waiting = job.steps[step].separated.iter();
        let may_share = |index: &&u32| {
            let task = task_id(job.id, step, **index);
            self.crashes.suspicion(task) < Suspicion::Suspect
        };
        waiting.find(may_share).copied()
    }

    /// The placement of a task that runs exclusively: on the emptiest suitable worker, if at
    /// least `min_free_permille` of it is free.
    fn exclusive_worker(
        &self,
        now: Timestamp,
        id: JobId,
        step: usize,
        index: u32,
        min_free_permille: u64,
    ) -> Option<Candidate> {
        let exclusive = self
            .workers
            .values()
            .filter(|worker| worker.has_exclusive_task());
        if exclusive.count() >= MAX_EXCLUSIVE_TASKS {
            return None;
        }
        let job = self.jobs.get(&id)?;
        let request = &job.steps[step].request;
        let service = &job.queue.service;
        let usable = self.workers.iter().filter(|(agent, worker)| {
            let capacity = worker.snapshot.as_ref().map(|snapshot| snapshot.capacity);
            worker.is_usable(now, service)
                && self.may_use_worker(&job.queue, **agent)
                && capacity.is_some_and(|capacity| request.resources.fits_in(capacity))
                && worker.has_required_label(request)
        });
        let (agent, worker) = usable.max_by_key(|(_, worker)| worker.free_permille())?;
        (worker.free_permille() >= min_free_permille).then(|| Candidate::exclusive(*agent, index))
    }
}
