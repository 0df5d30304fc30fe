//! Deregistration of a worker. The worker exits once its deregistration is answered.

use std::sync::Arc;

use laurelstile_types::time::{Span, Timestamp};

use super::lease::lease_expired_at;
use super::run_table::StopReason;
use super::worker_state::WorkerState;
use super::{AgentDecision, AgentEffect, IncarnationEnd, LeasedAgent};

/// Longest time that the answer to a deregistration is delayed while runs are stopped. The
/// worker waits for an answer for one second.
const DEREGISTRATION_ANSWER_TIMEOUT: Span = Span::from_millis(800);

/// A deregistration received under the id of the worker's current incarnation.
#[derive(Clone, Copy, Debug)]
pub struct Deregistration {
    since: Timestamp,
    is_answered: bool,
    /// Whether the deregistration is known to come from the current incarnation. The message
    /// carries only the worker id, so it may be a delayed one from the previous incarnation; a
    /// worker that shuts down announces that it is draining first.
    is_confirmed: bool,
}

impl Deregistration {
    /// When the lease of the deregistered incarnation has expired; it is not renewed any more.
    fn expires_at(&self, renewed: Timestamp) -> Timestamp {
        lease_expired_at(renewed.max(self.since))
    }

    /// Deadline for the answer; `None` once it is answered.
    fn answer_due(&self) -> Option<Timestamp> {
        (!self.is_answered).then(|| self.since.after(DEREGISTRATION_ANSWER_TIMEOUT))
    }

    /// Answers the deregistration unless that has been done.
    pub fn answer(&mut self, id: &Arc<str>, effects: &mut Vec<AgentEffect>) {
        if !std::mem::replace(&mut self.is_answered, true) {
            effects.push(AgentEffect::AnswerDeregistration(Arc::clone(id)));
        }
    }
}

impl WorkerState {
    /// Whether a deregistration of this incarnation is confirmed.
    pub fn has_deregistered(&self) -> bool {
        let deregistration = self.deregistration.as_ref();
        deregistration.is_some_and(|deregistration| deregistration.is_confirmed)
    }
}

impl LeasedAgent {
    /// Handles a deregistration. The worker's process is still up and its runs continue until it
    /// exits. Reporting them as lost at once would let the same task run on two workers, so the
    /// runs are stopped, their leases are not renewed, and the deregistration is answered once
    /// all of them are known to have ended.
    ///
    /// If the worker may restart under the same id and has not announced that it is draining,
    /// nothing starts there until its next heartbeat shows whether the deregistration came from
    /// the current incarnation.
    pub(super) fn on_deregistration(
        &mut self,
        now: Timestamp,
        id: &Arc<str>,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(worker) = self
            .worker
            .as_mut()
            .filter(|worker| worker.incarnation.id == *id)
        else {
            effects.push(AgentEffect::AnswerDeregistration(Arc::clone(id)));
            self.past_incarnations.record_deregistered_id(now, id);
            self.crash_history.withdraw_id(id);
            return;
        };
        let is_confirmed = worker.draining || !worker.incarnation.may_restart();
        worker.deregistration.get_or_insert(Deregistration {
            since: now,
            is_answered: false,
            is_confirmed,
        });
        if is_confirmed {
            self.confirm_deregistration(now, effects);
        }
    }

    /// Stops all runs of the current incarnation, which is about to exit.
    fn confirm_deregistration(&mut self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        let Some(worker) = &mut self.worker else {
            return;
        };
        if let Some(deregistration) = &mut worker.deregistration {
            deregistration.is_confirmed = true;
        }
        worker.watch_from = now;
        if !worker.draining {
            worker.draining = true;
            self.persist_record(now, effects);
        }
        for task in self.runs.tasks_where(|_| true) {
            self.stop_run(now, task, StopReason::WorkerLeaves, effects);
        }
    }

    /// Uses the draining flag of an in-order heartbeat to decide whether a pending
    /// deregistration came from the current incarnation. A heartbeat that was held up, and may have been
    /// made before the deregistration, does not show that the worker stays. `age` is the upper bound of
    /// the heartbeat's age.
    pub(super) fn resolve_deregistration(
        &mut self,
        now: Timestamp,
        age: Option<Span>,
        is_draining: bool,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(worker) = &mut self.worker else {
            return;
        };
        let Some(deregistration) = &mut worker.deregistration else {
            return;
        };
        if deregistration.is_confirmed {
            return;
        }
        if is_draining {
            self.confirm_deregistration(now, effects);
            return;
        }
        let since_deregistration = now.since(deregistration.since);
        if age.is_none_or(|age| age >= since_deregistration) {
            return;
        }
        deregistration.answer(&worker.incarnation.id, effects);
        worker.deregistration = None;
        let incarnation = worker.incarnation.clone();
        effects.push(AgentEffect::Decided(AgentDecision::LateDeregistration {
            incarnation,
        }));
    }

    /// Ends a deregistered incarnation once nothing runs there. Answers the deregistration then,
    /// or at its deadline if that is earlier.
    pub(super) fn finish_deregistration(&mut self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        let Some(worker) = &mut self.worker else {
            return;
        };
        let Some(deregistration) = &mut worker.deregistration else {
            return;
        };
        let has_expired = now >= deregistration.expires_at(worker.renewed);
        let is_listed_empty = worker.has_synced && worker.orphans.is_empty();
        let is_empty = self.runs.is_empty() && (is_listed_empty || has_expired);
        let has_ended = deregistration.is_confirmed && is_empty;
        let is_due = deregistration.answer_due().is_some_and(|due| now >= due);
        if !has_ended && !is_due {
            return;
        }
        deregistration.answer(&worker.incarnation.id, effects);
        if has_ended {
            let incarnation = worker.incarnation.clone();
            self.on_incarnation_ended(now, &incarnation, IncarnationEnd::Deregistered, effects);
        }
    }

    /// When [`Self::finish_deregistration`] is next due without further events.
    pub(super) fn deregistration_wakeup(&self) -> Option<Timestamp> {
        let worker = self.worker.as_ref()?;
        let deregistration = worker.deregistration?;
        let expiry = deregistration.expires_at(worker.renewed);
        let expiry = deregistration.is_confirmed.then_some(expiry);
        deregistration.answer_due().into_iter().chain(expiry).min()
    }
}
