//! Cancellations. A caller may cancel a job at any gateway, so gateways forward cancellations to each
//! other. Their agents remember them as well, so that a job stays cancelled if all gateways are lost.

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::job::CallNumber;
use super::{Answer, CancelOutcome, GatewayEffect, LeasedGateway};
use crate::leased::cancel_log::CancelLogFull;
use crate::leased::messages::{ToAgentBody, ToPeer};
use crate::leased::task::JobId;
use crate::session::SessionId;

impl LeasedGateway {
    /// Handles a caller's cancellation. It is acknowledged at once if this gateway holds the job and no
    /// other has claimed it, and otherwise once a round of confirmations shows that nobody can start the
    /// job any more. A cancellation that is not recorded is not acknowledged: the job could be started
    /// when it is forgotten.
    pub(super) fn on_cancel(
        &mut self,
        now: Timestamp,
        call: CallNumber,
        job: JobId,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let is_here = self.jobs.contains_key(&job);
        let is_elsewhere = !self.claims.holders(now, job).is_empty();
        let recorded = self.cancel_job(now, job, effects);
        self.tell_agents(job);
        if is_here && !is_elsewhere && recorded.is_ok() {
            let outcome = CancelOutcome::HeldHere;
            self.answer_cancel((call, Span::default()), job, outcome, effects);
        } else if recorded.is_ok() {
            self.start_cancel_round(now, (call, now), job, effects);
        } else {
            self.broadcast_to_peers(&ToPeer::Cancelled(vec![job]), effects);
            let outcome = CancelOutcome::NotRecorded;
            self.answer_cancel((call, Span::default()), job, outcome, effects);
        }
    }

    /// Has agents told of a cancellation with the next message to each.
    pub(super) fn tell_agents(&mut self, job: JobId) {
        self.cancel_position += 1;
        for worker in self.workers.values_mut() {
            worker.add_unsent_cancel(job);
        }
    }

    /// Sends agents the cancellations that they have not been sent with another message.
    pub(super) fn send_cancels_to_agents(
        &mut self,
        now: Timestamp,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let has_unsent = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.has_unsent_cancels());
        let agents: Vec<Incarnation> = has_unsent.map(|(agent, _)| *agent).collect();
        for agent in agents {
            self.send(now, agent, ToAgentBody::Heartbeat, effects);
        }
    }

    /// Applies cancellations that an agent remembers, and tells peers of those that are new here: they
    /// may have started as lately as this gateway.
    pub(super) fn on_agent_cancels(
        &mut self,
        now: Timestamp,
        jobs: &[JobId],
        effects: &mut Vec<GatewayEffect>,
    ) {
        let is_new = |job: &&JobId| !self.cancels.contains(now, **job);
        let new_jobs: Vec<JobId> = jobs.iter().filter(is_new).copied().collect();
        if new_jobs.is_empty() {
            return;
        }
        let recorded = self.cancel_jobs(now, new_jobs, effects);
        if !recorded.is_empty() {
            self.broadcast_to_peers(&ToPeer::Cancelled(recorded), effects);
        }
    }

    /// Sends the retained cancellations to a new peer, which may hold some of the jobs.
    pub(super) fn send_retained_cancels(
        &self,
        now: Timestamp,
        session: SessionId,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let retained = self.cancels.retained(now);
        if !retained.is_empty() {
            let message = ToPeer::Cancelled(retained);
            effects.push(GatewayEffect::ToPeer { session, message });
        }
    }

    /// Applies cancellations received from a peer and forwards those that are new here.
    pub(super) fn on_peer_cancels(
        &mut self,
        now: Timestamp,
        source: SessionId,
        jobs: &[JobId],
        effects: &mut Vec<GatewayEffect>,
    ) {
        let is_new = |job: &&JobId| !self.cancels.contains(now, **job);
        let new_jobs: Vec<JobId> = jobs.iter().filter(is_new).copied().collect();
        if new_jobs.is_empty() {
            return;
        }
        let recorded = self.cancel_jobs(now, new_jobs, effects);
        if !recorded.is_empty() {
            self.forward_to_peers(source, &ToPeer::Cancelled(recorded), effects);
        }
    }

    /// Ends jobs, and returns those whose cancellation was recorded. The others must not be forwarded:
    /// they would seem new each time they arrive, and circulate between gateways forever.
    fn cancel_jobs(
        &mut self,
        now: Timestamp,
        mut jobs: Vec<JobId>,
        effects: &mut Vec<GatewayEffect>,
    ) -> Vec<JobId> {
        jobs.retain(|job| self.cancel_job(now, *job, effects).is_ok());
        jobs
    }

    pub(super) fn cancel_job(
        &mut self,
        now: Timestamp,
        job: JobId,
        effects: &mut Vec<GatewayEffect>,
    ) -> Result<(), CancelLogFull> {
        self.finish(now, job, Answer::Cancelled, effects);
        self.cancels.record(now, job)
    }
}
