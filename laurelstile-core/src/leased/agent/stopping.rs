//! Stops: who requests them, and how unanswered stop commands are handled.

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::super::messages::{EndKind, NotStartedReason};
use super::super::task::{RunId, TaskId};
use super::super::timing::MAX_LEASE_DURATION;
use super::super::worker_incarnation::WorkerIncarnation;
use super::proof::EndProof;
use super::run_table::{Run, RunState, StopReason};
use super::worker::{CommandError, Rejection};
use super::{AgentDecision, AgentEffect, CommandAnswer, CommandKind, IncarnationEnd, LeasedAgent};

/// Delay before the third and later attempts of a stop, so that a worker that drops every
/// connection is not called in a tight loop.
const STOP_RETRY_DELAY: Span = Span::from_millis(20);
/// Delay before these attempts once the lease in the run's start command has expired. Only starts
/// that nothing has confirmed are still being stopped then.
const EXPIRED_STOP_RETRY_DELAY: Span = Span::from_millis(200);

impl LeasedAgent {
    pub(super) fn on_stop_requested(
        &mut self,
        now: Timestamp,
        gateway: Incarnation,
        task: TaskId,
        effects: &mut Vec<AgentEffect>,
    ) {
        self.withdraw_duplicate(gateway, task, effects);
        let is_owner = self.runs.get(task).is_some_and(|run| run.owner == gateway);
        if is_owner {
            self.stop_run(now, task, StopReason::Requested, effects);
        }
    }

    /// Begins to stop a run, or returns it if it is still waiting.
    pub(super) fn stop_run(
        &mut self,
        now: Timestamp,
        task: TaskId,
        reason: StopReason,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(run) = self.runs.get(task) else {
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
                if reason != StopReason::Requested {
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
                self.runs.set_state(task, state);
                self.send_command(CommandKind::Stop { run: id }, effects);
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
        for task in self.runs.tasks_where(|run| run.owner == gateway) {
            self.stop_run(now, task, StopReason::OwnerSilent, effects);
        }
    }

    pub(super) fn on_stop_answered(
        &mut self,
        now: Timestamp,
        id: RunId,
        incarnation: &WorkerIncarnation,
        answer: Result<CommandAnswer, CommandError>,
        effects: &mut Vec<AgentEffect>,
    ) {
        if !self.is_current(incarnation) {
            return;
        }
        match answer {
            Err(CommandError::IncarnationEnded) if !self.may_outlast_superseding(now) => {
                self.on_incarnation_ended(now, incarnation, IncarnationEnd::Superseded, effects);
            }
            Err(failure) => {
                if failure != CommandError::NoAnswer {
                    self.watch_at_once(now);
                }
                self.on_stop_without_effect(now, id, effects);
            }
            Ok(CommandAnswer { clock, rejection }) => {
                self.update_clock(now, clock);
                match rejection {
                    Some(Rejection::Fenced) => {
                        self.raise_token();
                        self.send_command(CommandKind::Stop { run: id }, effects);
                    }
                    // The worker does not start a run that it rejects as old.
                    None | Some(Rejection::OldRun) => self.on_stop_carried_out(now, id),
                    Some(_) => self.on_stop_without_effect(now, id, effects),
                }
            }
        }
    }

    fn on_stop_carried_out(&mut self, now: Timestamp, id: RunId) {
        let Some(RunState::Stopping { reason, since, .. }) = self.runs.run(id).map(|run| run.state)
        else {
            return;
        };
        let state = RunState::Stopping {
            reason,
            since,
            answered: Some(now),
        };
        self.runs.set_state(id.task, state);
    }

    /// Has a stop sent again that was not answered, or that the worker rejected.
    fn on_stop_without_effect(
        &mut self,
        now: Timestamp,
        id: RunId,
        effects: &mut Vec<AgentEffect>,
    ) {
        if self.runs.run(id).is_some() {
            self.runs.update(id.task, |run| {
                run.retry_stop_at = Some(now.after(stop_retry_delay(run, now)));
                run.unanswered_stops += 1;
            });
            self.log_unanswered_stop(now, id, effects);
        }
    }

    /// Logs, once per run, that its stop takes longer than it may.
    fn log_unanswered_stop(&mut self, now: Timestamp, id: RunId, effects: &mut Vec<AgentEffect>) {
        let Some(run) = self.runs.run(id) else {
            return;
        };
        let RunState::Stopping { reason, since, .. } = run.state else {
            return;
        };
        let (age, stops) = (now.since(since), run.unanswered_stops);
        if !run.is_stop_overdue(now) || run.has_logged_overdue_stop {
            return;
        }
        self.runs
            .update(id.task, |run| run.has_logged_overdue_stop = true);
        effects.push(AgentEffect::Decided(AgentDecision::StopUnanswered {
            run: id,
            reason: reason.name(),
            age,
            stops,
        }));
    }

    /// Sends a watch at once after a refused connection, to find out whether the worker has
    /// ended. Watches have a connection of their own, which a process that has stopped listening
    /// still serves.
    pub(super) fn watch_at_once(&mut self, now: Timestamp) {
        if let Some(worker) = &mut self.worker {
            worker.wants_watch = true;
            worker.watch_from = worker.watch_from.min(now);
        }
    }

    /// Sends unanswered stops again.
    pub(super) fn retry_stops(&mut self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        let due = self
            .runs
            .tasks_where(|run| run.retry_stop_at.is_some_and(|retry_at| now >= retry_at));
        for task in due {
            self.runs.update(task, |run| run.retry_stop_at = None);
            if let Some(run) = self.runs.get(task).map(|run| run.number) {
                let run = RunId { task, run };
                self.send_command(CommandKind::Stop { run }, effects);
            }
        }
    }
}

impl StopReason {
    fn name(self) -> &'static str {
        match self {
            Self::Requested => "asked",
            Self::OwnerSilent => "owner_silent",
            Self::Stalled => "stalled",
            Self::TooSlow { .. } => "too_slow",
            Self::Unanswered => "unanswered",
            Self::AgentStops => "agent_stops",
            Self::WorkerLeaves => "worker_leaves",
            Self::Preempted => "preempted",
            Self::IncarnationChanged => "life_changed",
        }
    }
}

/// Delay before an unanswered stop is sent again.
fn stop_retry_delay(run: &Run, now: Timestamp) -> Span {
    if run.unanswered_stops == 0 {
        Span::default()
    } else if now.since(run.sent) <= MAX_LEASE_DURATION {
        STOP_RETRY_DELAY
    } else {
        EXPIRED_STOP_RETRY_DELAY
    }
}
