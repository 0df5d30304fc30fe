//! Cancelled jobs that the agent remembers for gateways that connect later.
//!
//! All gateways may be lost at once, and with them what they know of cancellations. No gateway places a
//! task here before it has received the agent's snapshot, which the cancellations precede.

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::Timestamp;

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
        (jobs, position): (&[JobId], Option<u64>),
        effects: &mut Vec<AgentEffect>,
    ) {
        let mut are_recorded = true;
        for job in jobs {
            if !self.cancels.contains(now, *job) && self.cancels.record(now, *job).is_err() {
                are_recorded = false;
                effects.push(AgentEffect::Decided(AgentDecision::CancelNotRecorded {
                    job: *job,
                }));
            }
            let runs = self.runs.iter().filter(|(task, _)| task.job == *job);
            let owners = runs.map(|(_, run)| run.owner);
            for owner in owners.filter(|owner| *owner != gateway) {
                if let Some(owner) = self.owners.get_mut(&owner) {
                    owner.add_unsent_cancel(*job);
                }
            }
        }
        if are_recorded
            && let Some(position) = position
            && let Some(owner) = self.owners.get_mut(&gateway)
        {
            owner.record_cancels_received(position);
        }
    }

    /// Whether the job's cancellation is retained; its gateway, which asks for a start, is told.
    pub(super) fn is_cancelled(
        &mut self,
        now: Timestamp,
        gateway: Incarnation,
        job: JobId,
    ) -> bool {
        let is_cancelled = self.cancels.contains(now, job);
        if is_cancelled && let Some(owner) = self.owners.get_mut(&gateway) {
            owner.add_unsent_cancel(job);
        }
        is_cancelled
    }
}
