//! The end of a worker's incarnation, and what it means for its runs.

use std::collections::BTreeSet;
use std::sync::Arc;

use laurelstile_types::time::Timestamp;

use super::super::crashes::CrashedTask;
use super::super::messages::{EndKind, NotStartedReason};
use super::super::task::{RunId, TaskId};
use super::super::worker_incarnation::{StartTime, WorkerIncarnation};
use super::crash_history::is_early;
use super::lease::lease_expired_at;
use super::proof::EndProof;
use super::run_table::{Run, RunState, StopReason};
use super::worker::{CommandError, Registration, WorkerClock};
use super::worker_state::WorkerState;
use super::{
    AgentDecision, AgentEffect, CommandAnswer, IncarnationEnd, IncarnationSource, LeasedAgent,
    LostRun,
};

impl LeasedAgent {
    /// Ends the runs of an incarnation that has ended, and starts the successor that has
    /// registered, if any.
    pub(super) fn on_incarnation_ended(
        &mut self,
        now: Timestamp,
        incarnation: &WorkerIncarnation,
        end: IncarnationEnd,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(mut ended) = self
            .worker
            .take_if(|worker| worker.incarnation == *incarnation)
        else {
            return;
        };
        self.record_incarnation_end(now, &mut ended, end, &BTreeSet::new(), effects);
        let proof = match end {
            IncarnationEnd::Superseded | IncarnationEnd::Restarted => EndProof::IncarnationEnded,
            IncarnationEnd::Crashed | IncarnationEnd::Deregistered | IncarnationEnd::Replaced => {
                EndProof::LeaseExpired
            }
        };
        // A superseded id does not return: the worker with the other id rejects commands for it.
        let may_restart = incarnation.may_restart() && end != IncarnationEnd::Superseded;
        self.return_all_waiting(now, effects);
        for task in self.runs.tasks_where(|_| true) {
            let is_unconfirmed = self.runs.get(task).is_some_and(Run::is_unconfirmed);
            if may_restart && is_unconfirmed {
                self.hold_start(now, task, &ended, effects);
            } else {
                self.end_run(now, task, EndKind::Lost, proof, effects);
            }
        }
        let next = ended.successor.map(|successor| successor.registration);
        let next = next.filter(|next| {
            let is_superseded =
                end == IncarnationEnd::Superseded && next.incarnation.id == incarnation.id;
            !is_superseded && !self.past_incarnations.is_leaving(now, &next.incarnation)
        });
        if let Some(registration) = next {
            self.start_registered_incarnation(now, registration, effects);
        }
    }

    /// Whether runs of the current incarnation may continue although another one answers at its
    /// address. A process that shuts down may stop listening before its runs end.
    pub(super) fn may_outlast_superseding(&self, now: Timestamp) -> bool {
        let worker = self.worker.as_ref();
        let leased = worker.filter(|worker| now < lease_expired_at(worker.renewed));
        self.runs.active() > 0 && leased.is_some_and(WorkerState::is_leaving)
    }

    /// The worker answered with another start time: it has restarted under the same id. The runs
    /// in `listed` are those that the new incarnation lists as its own; its later lists decide
    /// what became of all others.
    pub(super) fn on_restarted(
        &mut self,
        now: Timestamp,
        started_at: StartTime,
        listed: &BTreeSet<RunId>,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(mut ended) = self.worker.take() else {
            return;
        };
        self.record_incarnation_end(now, &mut ended, IncarnationEnd::Restarted, listed, effects);
        self.held_worker_id = Some(Arc::clone(&ended.incarnation.id));
        let restarted = ended.incarnation.started_again_at(started_at);
        let registered = ended.successor.map(|successor| successor.registration);
        match registered.filter(|registration| registration.incarnation == restarted) {
            Some(registration) => self.start_registered_incarnation(now, registration, effects),
            None => {
                let registration = Registration {
                    incarnation: restarted,
                    service: ended.service,
                    capacity: ended.capacity,
                    labels: ended.labels.usable().to_vec(),
                    clock: WorkerClock::default(),
                    draining: false,
                    sequence: 0,
                    remaining: None,
                };
                let source = IncarnationSource::Lists;
                self.start_incarnation(now, registration, source, None, effects);
            }
        }
    }

    /// Records the end of an incarnation, except for its runs: answers a pending deregistration,
    /// records a crash and logs the lost runs. Runs in `listed` belong to the next incarnation
    /// and are not counted as lost.
    fn record_incarnation_end(
        &mut self,
        now: Timestamp,
        worker: &mut WorkerState,
        end: IncarnationEnd,
        listed: &BTreeSet<RunId>,
        effects: &mut Vec<AgentEffect>,
    ) {
        if let Some(deregistration) = &mut worker.deregistration {
            deregistration.answer(&worker.incarnation.id, effects);
        }
        let ended_at = worker.unanswered_since.unwrap_or(now);
        let lost = self.started_runs(listed);
        let runs = lost.iter().map(|(task, run)| LostRun {
            run: run.id(*task),
            age: ended_at.since(run.sent),
        });
        let runs = runs.collect();
        let mut tasks = crashed_tasks(&lost, ended_at);
        tasks.append(&mut worker.expired_tasks);
        let was_announced = worker.draining || end == IncarnationEnd::Deregistered;
        if end == IncarnationEnd::Crashed && !was_announced {
            self.crash_history
                .presume(&worker.incarnation, tasks.clone());
        }
        if !worker.has_reported_crash {
            self.record_crash(&worker.incarnation, worker.draining, end, tasks);
        }
        if was_announced {
            self.crash_history.withdraw(&worker.incarnation);
        } else if end != IncarnationEnd::Crashed {
            self.crash_history.confirm(&worker.incarnation);
        }
        effects.push(AgentEffect::Decided(AgentDecision::IncarnationEnded {
            incarnation: worker.incarnation.clone(),
            end,
            runs,
        }));
        self.past_incarnations
            .record_ended(worker.incarnation.clone());
        if end == IncarnationEnd::Deregistered {
            self.past_incarnations
                .record_deregistered(now, worker.incarnation.clone());
        }
    }

    /// Reports a crash of a worker that refuses connections, so that a task which crashes its workers is
    /// recognized before the lease has expired. Its runs do not count as ended.
    pub(super) fn report_suspected_crash(&mut self, now: Timestamp) {
        let Some(worker) = &mut self.worker else {
            return;
        };
        if worker.is_leaving() || worker.has_reported_crash {
            return;
        }
        worker.has_reported_crash = true;
        let ended_at = worker.unanswered_since.unwrap_or(now);
        let incarnation = worker.incarnation.clone();
        let mut expired_tasks = std::mem::take(&mut worker.expired_tasks);
        let mut tasks = crashed_tasks(&self.started_runs(&BTreeSet::new()), ended_at);
        tasks.append(&mut expired_tasks);
        self.crash_history.presume(&incarnation, tasks.clone());
        self.record_crash(&incarnation, false, IncarnationEnd::Crashed, tasks);
    }

    /// The runs that may have started and are not in `listed`.
    fn started_runs(&self, listed: &BTreeSet<RunId>) -> Vec<(TaskId, &Run)> {
        let runs = self.runs.iter();
        runs.filter(|(task, run)| run.takes_resources() && !listed.contains(&run.id(*task)))
            .collect()
    }

    /// Keeps a run whose start was unanswered when the incarnation ended. The worker may restart
    /// under the same id, and the new process would carry out a delayed start command. The run
    /// ends only once the next incarnation has answered its stop, or a worker with another id
    /// answers.
    fn hold_start(
        &mut self,
        now: Timestamp,
        task: TaskId,
        worker: &WorkerState,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(run) = self.runs.get(task) else {
            return;
        };
        let reason = match run.state {
            RunState::Stopping { reason, .. } => reason,
            _ => StopReason::Unanswered,
        };
        let run = run.id(task);
        let state = RunState::Stopping {
            reason,
            since: now,
            answered: None,
        };
        self.runs.set_state(task, state);
        self.runs.update(task, |run| run.retry_stop_at = None);
        self.held_worker_id = Some(Arc::clone(&worker.incarnation.id));
        effects.push(AgentEffect::Decided(AgentDecision::StartHeld { run }));
    }

    /// Sends the stops of held starts to the incarnation that has just started, if it has the id
    /// that they are held for.
    pub(super) fn stop_held_starts(&mut self, now: Timestamp) {
        let Some(worker) = &self.worker else {
            return;
        };
        if self.held_worker_id.as_ref() != Some(&worker.incarnation.id) {
            return;
        }
        let is_stopping = |run: &Run| matches!(run.state, RunState::Stopping { .. });
        for task in self.runs.tasks_where(is_stopping) {
            self.runs.reset_stop(task, now);
        }
    }

    /// Ends the held starts if the current incarnation, which has just answered, has another id
    /// than the one that they are held for: none of them will be carried out.
    pub(super) fn discard_held_starts(&mut self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        let Some(worker) = &self.worker else {
            return;
        };
        let number = worker.number;
        let is_other = self
            .held_worker_id
            .as_ref()
            .is_some_and(|id| *id != worker.incarnation.id);
        if !is_other {
            return;
        }
        self.held_worker_id = None;
        let is_held = |run: &Run| run.takes_resources() && run.incarnation != number;
        for task in self.runs.tasks_where(is_held) {
            self.end_run(
                now,
                task,
                EndKind::Lost,
                EndProof::IncarnationEnded,
                effects,
            );
        }
    }

    /// Handles the result of a start that was sent to an earlier incarnation.
    pub(super) fn on_late_start_answer(
        &mut self,
        now: Timestamp,
        id: RunId,
        answer: Result<CommandAnswer, CommandError>,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(run) = self.runs.run(id).filter(|run| run.takes_resources()) else {
            return;
        };
        let is_starting = run.state == RunState::Starting;
        let (how, proof) = match answer {
            Err(CommandError::ConnectionRefused | CommandError::Outdated) => {
                (EndKind::Lost, EndProof::NotSent)
            }
            Err(CommandError::IncarnationEnded) => (EndKind::Lost, EndProof::IncarnationEnded),
            Err(CommandError::NoAnswer) => {
                if is_starting {
                    self.stop_run(now, id.task, StopReason::Unanswered, effects);
                }
                return;
            }
            Ok(answer) if answer.rejection.is_some() => {
                let how = EndKind::NotStarted(NotStartedReason::Refused);
                (how, EndProof::Rejected)
            }
            // Either the ended incarnation carried it out or the next one has, whose lists will show
            // it.
            Ok(_) if self.worker.is_none() => return,
            Ok(_) => {
                if is_starting {
                    self.mark_running(now, id.task);
                }
                self.runs.confirm(id);
                return;
            }
        };
        self.end_run(now, id.task, how, proof, effects);
    }
}

fn crashed_tasks(runs: &[(TaskId, &Run)], ended_at: Timestamp) -> Vec<CrashedTask> {
    let crashed = runs.iter().map(|(task, run)| CrashedTask {
        task: *task,
        is_early: is_early(run, ended_at.since(run.sent)),
    });
    crashed.collect()
}
