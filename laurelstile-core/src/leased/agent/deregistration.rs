//! The deregistration of a worker: it ends once that is answered.

use std::sync::Arc;

use laurelstile_types::time::{Span, Timestamp};

use super::lease::lease_over_at;
use super::ledger::StopReason;
use super::{AgentEffect, LeasedAgent, LifeEnd};

/// How long the answer to a deregistration is held back until what runs there has been stopped. The
/// worker takes an answer within a second for an answer.
const DEREGISTRATION_PATIENCE: Span = Span::from_millis(800);

/// The deregistration of the worker's present life.
#[derive(Clone, Copy, Debug)]
pub struct Deregistration {
    since: Timestamp,
    is_answered: bool,
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
    pub fn answer(&mut self, life: &Arc<str>, effects: &mut Vec<AgentEffect>) {
        if !std::mem::replace(&mut self.is_answered, true) {
            effects.push(AgentEffect::AnswerDeregistration(Arc::clone(life)));
        }
    }
}

impl LeasedAgent {
    /// A life says that it ends. Its process is still up, and what runs there runs on until it
    /// is gone: told as lost at once, tasks were at work on two workers for up to 50 ms (seconds
    /// where the answer got lost). So its runs are stopped, their leases renewed no more, and
    /// the deregistration is answered when their ends are proved.
    pub(super) fn on_deregistration(
        &mut self,
        now: Timestamp,
        name: String,
        effects: &mut Vec<AgentEffect>,
    ) {
        if !self.is_present(&name) {
            effects.push(AgentEffect::AnswerDeregistration(name.as_str().into()));
            self.deregistered_lives.insert(name);
            return;
        }
        self.deregistered_lives.insert(name);
        let Some(life) = &mut self.life else {
            return;
        };
        life.deregistration.get_or_insert(Deregistration {
            since: now,
            is_answered: false,
        });
        if !life.draining {
            life.draining = true;
            effects.push(AgentEffect::RememberDraining(Arc::clone(&life.name)));
        }
        life.watch_from = now;
        for task in self.ledger.tasks_where(|_| true) {
            self.stop_run(now, task, StopReason::WorkerLeaves, effects);
        }
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
        let is_over = self.ledger.is_empty() && (is_listed_empty || has_lapsed);
        let is_due = deregistration.answer_due().is_some_and(|due| now >= due);
        if !is_over && !is_due {
            return;
        }
        deregistration.answer(&life.name, effects);
        if is_over {
            let name = Arc::clone(&life.name);
            self.on_life_over(now, &name, LifeEnd::Deregistered, effects);
        }
    }

    /// When [`Self::finish_deregistration`] has something to do, if nothing happens before.
    pub(super) fn deregistration_wakeup(&self) -> Option<Timestamp> {
        let life = self.life.as_ref()?;
        let deregistration = life.deregistration?;
        let lapse = deregistration.lease_over(life.renewed);
        Some(
            deregistration
                .answer_due()
                .map_or(lapse, |due| due.min(lapse)),
        )
    }
}
