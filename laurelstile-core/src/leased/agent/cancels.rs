//! Cancelled jobs that the agent remembers for gateways that connect later.
//!
//! All gateways may be lost at once, and with them what they know of cancellations. No gateway places a
//! task here before it has received the agent's snapshot, which the cancellations precede.

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::Timestamp;

use super::super::cancel_log::{CancelList, Cancelled};
use super::super::task::JobId;
use super::{AgentDecision, AgentEffect, LeasedAgent};

impl LeasedAgent {
    /// Records jobs that were cancelled, as a gateway tells, and confirms to it that it has told all up to
    /// `position`. Other gateways that have runs of them are told: the news may have been lost with that
    /// gateway.
    pub(super) fn on_cancelled(
        &mut self,
        now: Timestamp,
        gateway: Incarnation,
        (list, position): (&CancelList, Option<u64>),
        effects: &mut Vec<AgentEffect>,
    ) {
        let mut are_recorded = true;
        for cancelled in list.received(now) {
            let job = cancelled.job;
            if self.cancels.record(now, cancelled).is_err() {
                are_recorded = false;
                let decision = AgentDecision::CancelNotRecorded { job };
                effects.push(AgentEffect::Decided(decision));
            }
            let runs = self.runs.iter().filter(|(task, _)| task.job == job);
            let owners = runs.map(|(_, run)| run.owner);
            for owner in owners.filter(|owner| *owner != gateway) {
                if let Some(owner) = self.owners.get_mut(&owner) {
                    owner.add_unsent_cancel(cancelled);
                }
            }
        }
        if let Some(owner) = self.owners.get_mut(&gateway) {
            owner.lacks_cancels |= !are_recorded;
            if let Some(position) = position.filter(|_| !owner.lacks_cancels) {
                owner.record_cancels_received(position);
            }
        }
    }

    /// Whether the job's cancellation is retained; its gateway, which asks for a start, is told.
    pub(super) fn is_cancelled(
        &mut self,
        now: Timestamp,
        gateway: Incarnation,
        job: JobId,
    ) -> bool {
        let cancelled_at = self.cancels.cancelled_at(now, job);
        if let Some(at) = cancelled_at
            && let Some(owner) = self.owners.get_mut(&gateway)
        {
            owner.add_unsent_cancel(Cancelled { job, at });
        }
        cancelled_at.is_some()
    }
}
