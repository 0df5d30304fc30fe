//! Cancellations. A caller may cancel a job at any gateway, so gateways forward cancellations to each
//! other. Their agents remember them as well, so that a job stays cancelled if all gateways are lost.

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::Timestamp;

use super::job::CallNumber;
use super::{Answer, GatewayEffect, LeasedGateway};
use crate::leased::messages::{ToAgentBody, ToPeer};
use crate::leased::task::JobId;
use crate::session::SessionId;

impl LeasedGateway {
    /// Handles a caller's cancellation. If this gateway does not hold the job, the cancellation
    /// is sent to all peers and the caller is answered `Unknown`.
    pub(super) fn on_cancel(
        &mut self,
        now: Timestamp,
        call: CallNumber,
        job: JobId,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let is_here = self.jobs.contains_key(&job);
        self.cancel_job(now, job, effects);
        for worker in self.workers.values_mut() {
            worker.add_unsent_cancel(job);
        }
        let answer = if is_here {
            Answer::Cancelled
        } else {
            self.broadcast_to_peers(&ToPeer::Cancelled(vec![job]), effects);
            Answer::Unknown
        };
        effects.push(GatewayEffect::Answer { call, answer });
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
        for job in &new_jobs {
            self.cancel_job(now, *job, effects);
        }
        if !self.cancels.may_have_evicted(now) {
            self.broadcast_to_peers(&ToPeer::Cancelled(new_jobs), effects);
        }
    }

    /// Sends the retained cancellations to a new peer.
    pub(super) fn send_recent_cancels(
        &self,
        now: Timestamp,
        session: SessionId,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let recent = self.cancels.recent(now);
        if !recent.is_empty() {
            let message = ToPeer::Cancelled(recent);
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
        for job in &new_jobs {
            self.cancel_job(now, *job, effects);
        }
        if !self.cancels.may_have_evicted(now) {
            self.forward_to_peers(source, &ToPeer::Cancelled(new_jobs), effects);
        }
    }

    fn cancel_job(&mut self, now: Timestamp, job: JobId, effects: &mut Vec<GatewayEffect>) {
        self.cancels.record(now, job);
        self.finish(now, job, Answer::Cancelled, effects);
    }
}
