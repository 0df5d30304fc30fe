//! The deregistration of a worker: it ends once that is answered.

use std::sync::Arc;

use laurelstile_types::time::{Span, Timestamp};

use super::lease::lease_over_at;
use super::ledger::StopReason;
use super::life::Life;
use super::{AgentDecision, AgentEffect, LeasedAgent, LifeEnd};

/// How long the answer to a deregistration is held back until what runs there has been stopped. The
/// worker takes an answer within a second for an answer.
const DEREGISTRATION_PATIENCE: Span = Span::from_millis(800);

/// A deregistration under the id of the worker's present life.
#[derive(Clone, Copy, Debug)]
pub struct Deregistration {
    since: Timestamp,
    is_answered: bool,
    /// Whether it is this life's. It names the id alone, and may be a late one of the life
    /// before: a worker that leaves says that it drains first.
    is_confirmed: bool,
}

impl Deregistration {
    /// When the lease of its life is over, which is renewed no more.
    fn lease_over(&self, renewed: Timestamp) -> Timestamp {
        lease_over_at(renewed.max(self.since))
    }

    /// When it is answered at the latest, unless it has been.
    fn answer_due(&self) -> Option<Timestamp> {
        (!self.is_answered).then(|| self.since.after(DEREGISTRATION_PATIENCE))
    }

    /// Answers it, unless it has been.
    pub fn answer(&mut self, id: &Arc<str>, effects: &mut Vec<AgentEffect>) {
        if !std::mem::replace(&mut self.is_answered, true) {
            effects.push(AgentEffect::AnswerDeregistration(Arc::clone(id)));
        }
    }
}

impl Life {
    /// Whether it has said that it ends.
    pub fn has_deregistered(&self) -> bool {
        let deregistration = self.deregistration.as_ref();
        deregistration.is_some_and(|deregistration| deregistration.is_confirmed)
    }
}

impl LeasedAgent {
    /// The worker says that it ends. Its process is still up, and what runs there runs on until it
    /// is gone: told as lost at once, tasks were at work on two workers for up to 50 ms (seconds
    /// where the answer got lost). So its runs are stopped, their leases renewed no more, and
    /// the deregistration is answered when their ends are proved.
    ///
    /// If the life has not said that it drains, nothing starts there until its next heartbeat
    /// tells whose word this was.
    pub(super) fn on_deregistration(
        &mut self,
        now: Timestamp,
        id: &Arc<str>,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(life) = self.life.as_mut().filter(|life| life.name.id == *id) else {
            effects.push(AgentEffect::AnswerDeregistration(Arc::clone(id)));
            self.past_lives.note_deregistered_id(now, id);
            return;
        };
        let is_confirmed = life.draining || !life.name.may_restart();
        life.deregistration.get_or_insert(Deregistration {
            since: now,
            is_answered: false,
            is_confirmed,
        });
        if is_confirmed {
            self.confirm_deregistration(now, effects);
        }
    }

    /// The present life leaves: what runs there is stopped.
    fn confirm_deregistration(&mut self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        let Some(life) = &mut self.life else {
            return;
        };
        if let Some(deregistration) = &mut life.deregistration {
            deregistration.is_confirmed = true;
        }
        life.watch_from = now;
        if !life.draining {
            life.draining = true;
            self.remember(now, effects);
        }
        for task in self.ledger.tasks_where(|_| true) {
            self.stop_run(now, task, StopReason::WorkerLeaves, effects);
        }
    }

    /// The present life says, in a heartbeat that is not late, whether it drains: so it tells whose
    /// a deregistration was that came before.
    pub(super) fn judge_deregistration(
        &mut self,
        now: Timestamp,
        is_draining: bool,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(life) = &mut self.life else {
            return;
        };
        let Some(deregistration) = &mut life.deregistration else {
            return;
        };
        if deregistration.is_confirmed {
            return;
        }
        if is_draining {
            self.confirm_deregistration(now, effects);
            return;
        }
        deregistration.answer(&life.name.id, effects);
        life.deregistration = None;
        let life = life.name.clone();
        effects.push(AgentEffect::Decided(AgentDecision::LateDeregistration {
            life,
        }));
    }

    /// Answers a deregistration, and ends the life, once nothing runs there.
    pub(super) fn finish_deregistration(&mut self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        let Some(life) = &mut self.life else {
            return;
        };
        let Some(deregistration) = &mut life.deregistration else {
            return;
        };
        let has_lapsed = now >= deregistration.lease_over(life.renewed);
        let is_listed_empty = life.has_synced && life.foreign.is_empty();
        let is_empty = self.ledger.is_empty() && (is_listed_empty || has_lapsed);
        let is_over = deregistration.is_confirmed && is_empty;
        let is_due = deregistration.answer_due().is_some_and(|due| now >= due);
        if !is_over && !is_due {
            return;
        }
        deregistration.answer(&life.name.id, effects);
        if is_over {
            let name = life.name.clone();
            self.on_life_over(now, &name, LifeEnd::Deregistered, effects);
        }
    }

    /// When [`Self::finish_deregistration`] has something to do, if nothing happens before.
    pub(super) fn deregistration_wakeup(&self) -> Option<Timestamp> {
        let life = self.life.as_ref()?;
        let deregistration = life.deregistration?;
        let lapse = deregistration.lease_over(life.renewed);
        let lapse = deregistration.is_confirmed.then_some(lapse);
        deregistration.answer_due().into_iter().chain(lapse).min()
    }
}
