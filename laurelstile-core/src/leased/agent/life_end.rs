//! The end of a life of the worker, and what becomes of what it ran.

use std::collections::BTreeSet;
use std::sync::Arc;

use laurelstile_types::time::Timestamp;

use super::super::crashes::CrashedTask;
use super::super::messages::{EndKind, NotStartedReason};
use super::super::task::{RunId, TaskId};
use super::super::worker_incarnation::{StartTime, WorkerIncarnation};
use super::crash_memory::is_early;
use super::ledger::{Run, RunState, StopReason};
use super::life::Life;
use super::proof::EndProof;
use super::worker::{OrderFailure, Registration, WorkerClock};
use super::{AgentDecision, AgentEffect, LeasedAgent, LifeEnd, LifeSource, LostRun, OrderAnswer};

impl LeasedAgent {
    /// A life of the worker is over: what it ran has ended. The life that has registered since,
    /// if any, begins.
    pub(super) fn on_life_over(
        &mut self,
        now: Timestamp,
        name: &WorkerIncarnation,
        end: LifeEnd,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(mut present) = self.life.take_if(|life| life.name == *name) else {
            return;
        };
        self.note_over(now, &mut present, end, &BTreeSet::new(), effects);
        let proof = match end {
            LifeEnd::Crashed | LifeEnd::Superseded | LifeEnd::Reborn => EndProof::LifeOver,
            LifeEnd::Deregistered | LifeEnd::Replaced => EndProof::LeaseOver,
        };
        // A worker of another id carries out nothing that was meant for this one.
        let may_restart = name.may_restart() && end != LifeEnd::Superseded;
        for task in self.ledger.tasks_where(|_| true) {
            let is_unconfirmed = self.ledger.get(task).is_some_and(Run::is_unconfirmed);
            if may_restart && is_unconfirmed {
                self.hold_start(now, task, &present, effects);
            } else {
                self.end_run(now, task, EndKind::Lost, proof, effects);
            }
        }
        let next = present.challenger.map(|challenger| challenger.registration);
        let next = next.filter(|next| {
            let is_gone = end == LifeEnd::Superseded && next.life.id == name.id;
            !is_gone && !self.past_lives.is_leaving(now, &next.life)
        });
        if let Some(registration) = next {
            self.begin_registered_life(now, registration, effects);
        }
    }

    /// The worker answers, and was born at another time than the present life: it has started
    /// again under its id. What it lists as its own is `shown`. All else that the life before had
    /// is judged by the lists of the next one, as what the present life runs is.
    pub(super) fn on_reborn(
        &mut self,
        now: Timestamp,
        started_at: StartTime,
        shown: &BTreeSet<RunId>,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(mut present) = self.life.take() else {
            return;
        };
        self.note_over(now, &mut present, LifeEnd::Reborn, shown, effects);
        self.held_id = Some(Arc::clone(&present.name.id));
        let name = present.name.started_again_at(started_at);
        let registered = present.challenger.map(|challenger| challenger.registration);
        match registered.filter(|registration| registration.life == name) {
            Some(registration) => self.begin_registered_life(now, registration, effects),
            None => {
                let registration = Registration {
                    life: name,
                    service: present.service,
                    capacity: present.capacity,
                    labels: present.labels,
                    clock: WorkerClock::default(),
                    draining: false,
                    sequence: 0,
                };
                self.begin_life(now, registration, LifeSource::Lists, effects);
            }
        }
    }

    /// Answers, remembers and tells what follows from the end of a life, except for its runs. Those
    /// that the next life has shown as its own have no part in it.
    fn note_over(
        &mut self,
        now: Timestamp,
        life: &mut Life,
        end: LifeEnd,
        shown: &BTreeSet<RunId>,
        effects: &mut Vec<AgentEffect>,
    ) {
        if let Some(deregistration) = &mut life.deregistration {
            deregistration.answer(&life.name.id, effects);
        }
        let lost: Vec<(TaskId, &Run)> = self
            .ledger
            .iter()
            .filter(|(task, run)| run.takes_room() && !shown.contains(&run.id(*task)))
            .collect();
        let runs = lost.iter().map(|(task, run)| LostRun {
            run: run.id(*task),
            age: now.since(run.sent),
        });
        let runs = runs.collect();
        let crashed = lost.iter().map(|(task, run)| CrashedTask {
            task: *task,
            is_early: is_early(run, now.since(run.sent)),
        });
        let begun = crashed.chain(std::mem::take(&mut life.lapsed)).collect();
        self.note_life_end(&life.name, life.draining, end, begun);
        effects.push(AgentEffect::Decided(AgentDecision::LifeOver {
            life: life.name.clone(),
            end,
            runs,
        }));
        self.past_lives.note_ended(life.name.clone());
        if end == LifeEnd::Deregistered {
            self.past_lives.note_deregistered(now, life.name.clone());
        }
    }

    /// A start had no answer, and the worker may come back under its id: a process that knows
    /// nothing of before would carry the order out, seconds late. So the run is not over before
    /// the next life has been told to leave it alone, or another id answers.
    fn hold_start(
        &mut self,
        now: Timestamp,
        task: TaskId,
        life: &Life,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(run) = self.ledger.get(task) else {
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
        self.ledger.set_state(task, state);
        self.ledger.note(task, |run| run.stop_again = None);
        self.held_id = Some(Arc::clone(&life.name.id));
        effects.push(AgentEffect::Decided(AgentDecision::StartHeld { run }));
    }

    /// A life begins: if it has the id for which starts are held, their stops are sent to it.
    pub(super) fn stop_held_starts(&mut self, now: Timestamp) {
        let Some(life) = &self.life else {
            return;
        };
        if self.held_id.as_ref() != Some(&life.name.id) {
            return;
        }
        let is_stopping = |run: &Run| matches!(run.state, RunState::Stopping { .. });
        for task in self.ledger.tasks_where(is_stopping) {
            self.ledger.restart_stop(task, now);
        }
    }

    /// The worker has answered for its present life: if that has another id than the one for which
    /// starts are held, none of them will be carried out.
    pub(super) fn end_held_starts(&mut self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        let Some(life) = &self.life else {
            return;
        };
        let number = life.number;
        let is_other = self.held_id.as_ref().is_some_and(|id| *id != life.name.id);
        if !is_other {
            return;
        }
        self.held_id = None;
        let is_held = |run: &Run| run.takes_room() && run.life != number;
        for task in self.ledger.tasks_where(is_held) {
            self.end_run(now, task, EndKind::Lost, EndProof::LifeOver, effects);
        }
    }

    /// The answer to a start that was sent to an earlier life, or the lack of one.
    pub(super) fn on_late_start_answer(
        &mut self,
        now: Timestamp,
        id: RunId,
        answer: Result<OrderAnswer, OrderFailure>,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(run) = self.ledger.run(id).filter(|run| run.takes_room()) else {
            return;
        };
        let is_starting = run.state == RunState::Starting;
        let (how, proof) = match answer {
            Err(OrderFailure::Refused) => (EndKind::Lost, EndProof::NotSent),
            Err(OrderFailure::LifeOver) => (EndKind::Lost, EndProof::LifeOver),
            Err(OrderFailure::NoAnswer) => {
                if is_starting {
                    self.stop_run(now, id.task, StopReason::Unanswered, effects);
                }
                return;
            }
            Ok(answer) if answer.rejection.is_some() => {
                let how = EndKind::NotStarted(NotStartedReason::Refused);
                (how, EndProof::Rejected)
            }
            // It was carried out by the life that is over, unless the next one lists it.
            Ok(_) if self.life.is_none() => (EndKind::Lost, EndProof::LifeOver),
            Ok(_) => {
                if is_starting {
                    self.note_running(now, id.task);
                }
                self.ledger.confirm(id);
                return;
            }
        };
        self.end_run(now, id.task, how, proof, effects);
    }
}
