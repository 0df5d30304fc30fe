//! Stops: who asks for them, and what becomes of those without an answer.

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::super::messages::{EndKind, NotStartedReason};
use super::super::task::{RunId, TaskId};
use super::super::timing::MAX_LEASE_DURATION;
use super::super::worker_incarnation::WorkerIncarnation;
use super::ledger::{Run, RunState, StopReason};
use super::proof::EndProof;
use super::worker::{OrderFailure, Rejection};
use super::{AgentDecision, AgentEffect, LeasedAgent, LifeEnd, OrderAnswer, OrderKind};

/// Pause before a stop is sent for the third time and later: a worker that breaks
/// every connection would otherwise be called without end.
const STOP_PAUSE: Span = Span::from_millis(20);
/// The same once the lease is over: only a start that no life has shown is still stopped then.
const LONG_STOP_PAUSE: Span = Span::from_millis(200);

impl LeasedAgent {
    pub(super) fn on_stop_asked(
        &mut self,
        now: Timestamp,
        gateway: Incarnation,
        task: TaskId,
        effects: &mut Vec<AgentEffect>,
    ) {
        let is_owner = self
            .ledger
            .get(task)
            .is_some_and(|run| run.owner == gateway);
        if is_owner {
            self.stop_run(now, task, StopReason::Asked, effects);
        }
    }

    /// Begins to stop a run, or ends it if it only waits here.
    pub(super) fn stop_run(
        &mut self,
        now: Timestamp,
        task: TaskId,
        reason: StopReason,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(run) = self.ledger.get(task) else {
            return;
        };
        let id = RunId {
            task,
            run: run.number,
        };
        match run.state {
            RunState::Waiting => {
                let how = EndKind::NotStarted(NotStartedReason::Withdrawn);
                self.end_run(now, task, how, EndProof::NotSent, effects);
            }
            RunState::Starting | RunState::Running { .. } => {
                if reason != StopReason::Asked {
                    let decision = AgentDecision::Stopping {
                        run: id,
                        reason: reason.name(),
                        echo_age: self
                            .owners
                            .get(&run.owner)
                            .map_or(Span::default(), |owner| owner.echo_age(now)),
                        percent: run.percent,
                    };
                    effects.push(AgentEffect::Decided(decision));
                }
                let state = RunState::Stopping {
                    reason,
                    since: now,
                    answered: None,
                };
                self.ledger.set_state(task, state);
                self.order(OrderKind::Stop { run: id }, effects);
            }
            RunState::Stopping { .. } => {}
        }
    }

    pub(super) fn stop_runs_of(
        &mut self,
        now: Timestamp,
        gateway: Incarnation,
        effects: &mut Vec<AgentEffect>,
    ) {
        for task in self.ledger.tasks_where(|run| run.owner == gateway) {
            self.stop_run(now, task, StopReason::OwnerSilent, effects);
        }
    }

    pub(super) fn on_stop_answered(
        &mut self,
        now: Timestamp,
        id: RunId,
        life: &WorkerIncarnation,
        answer: Result<OrderAnswer, OrderFailure>,
        effects: &mut Vec<AgentEffect>,
    ) {
        if !self.is_present(life) {
            return;
        }
        match answer {
            Err(OrderFailure::LifeOver) => {
                self.on_life_over(now, life, LifeEnd::Superseded, effects);
            }
            Err(failure @ (OrderFailure::NoAnswer | OrderFailure::Refused)) => {
                if failure == OrderFailure::Refused {
                    self.watch_at_once(now);
                }
                if self.ledger.run(id).is_some() {
                    self.ledger.note(id.task, |run| {
                        run.stop_again = Some(now.after(pause_before_stop(run, now)));
                        run.lost_stops += 1;
                    });
                    self.tell_unanswered_stop(now, id, effects);
                }
            }
            Ok(OrderAnswer { clock, rejection }) => {
                self.note_clock(now, clock);
                if rejection == Some(Rejection::Fenced) {
                    self.raise_token();
                    self.order(OrderKind::Stop { run: id }, effects);
                    return;
                }
                let Some(RunState::Stopping { reason, since, .. }) =
                    self.ledger.run(id).map(|run| run.state)
                else {
                    return;
                };
                let state = RunState::Stopping {
                    reason,
                    since,
                    answered: Some(now),
                };
                self.ledger.set_state(id.task, state);
            }
        }
    }

    /// Notes for the log, once for a run, that its stop takes longer than a stop may.
    fn tell_unanswered_stop(&mut self, now: Timestamp, id: RunId, effects: &mut Vec<AgentEffect>) {
        let Some(run) = self.ledger.run(id) else {
            return;
        };
        let RunState::Stopping { reason, since, .. } = run.state else {
            return;
        };
        let (age, stops) = (now.since(since), run.lost_stops);
        if !run.is_stop_overdue(now) || run.is_overdue_told {
            return;
        }
        self.ledger.note(id.task, |run| run.is_overdue_told = true);
        effects.push(AgentEffect::Decided(AgentDecision::StopUnanswered {
            run: id,
            reason: reason.name(),
            age,
            stops,
        }));
    }

    /// Nobody listens for orders: whether the worker is gone, its watch tells. That has a
    /// connection of its own, which a process that has only closed its door still serves.
    pub(super) fn watch_at_once(&mut self, now: Timestamp) {
        if let Some(life) = &mut self.life {
            life.has_news = true;
            life.watch_from = life.watch_from.min(now);
        }
    }

    /// Sends stops that got no answer again.
    pub(super) fn repeat_stops(&mut self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        let due = self
            .ledger
            .tasks_where(|run| run.stop_again.is_some_and(|again| now >= again));
        for task in due {
            self.ledger.note(task, |run| run.stop_again = None);
            if let Some(run) = self.ledger.get(task).map(|run| run.number) {
                let run = RunId { task, run };
                self.order(OrderKind::Stop { run }, effects);
            }
        }
    }
}

impl StopReason {
    fn name(self) -> &'static str {
        match self {
            Self::Asked => "asked",
            Self::OwnerSilent => "owner_silent",
            Self::Stalled => "stalled",
            Self::TooSlow { .. } => "too_slow",
            Self::Unanswered => "unanswered",
            Self::AgentStops => "agent_stops",
            Self::WorkerLeaves => "worker_leaves",
            Self::LifeChanged => "life_changed",
        }
    }
}

/// Pause before a stop is sent again that has just had no answer.
fn pause_before_stop(run: &Run, now: Timestamp) -> Span {
    if run.lost_stops == 0 {
        Span::default()
    } else if now.since(run.sent) <= MAX_LEASE_DURATION {
        STOP_PAUSE
    } else {
        LONG_STOP_PAUSE
    }
}
