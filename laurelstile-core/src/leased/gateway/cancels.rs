//! Cancellations. A caller may cancel a job at any gateway, so gateways forward cancellations to each
//! other. Their agents remember them as well, so that a job stays cancelled if all gateways are lost.

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::job::CallNumber;
use super::{Answer, CancelOutcome, GatewayEffect, LeasedGateway};
use crate::leased::cancel_log::{CancelList, CancelLogFull, Cancelled};
use crate::leased::messages::{ToAgentBody, ToPeer};
use crate::leased::task::JobId;
use crate::session::SessionId;

impl LeasedGateway {
    /// Handles a caller's cancellation. It is acknowledged once confirmations show that nobody can start
    /// the job any more; those of agents suffice if this gateway holds the job and no other has claimed it. A cancellation that is not recorded is not acknowledged: the job could be started
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
        let cancelled = Cancelled { job, at: now };
        let recorded = self.cancel_job(now, cancelled, effects);
        self.tell_agents(cancelled);
        if is_here && !is_elsewhere && recorded.is_ok() {
            self.start_holders_round(now, call, job);
        } else if recorded.is_ok() {
            self.start_cancel_round(now, (call, now), job, effects);
        } else {
            self.broadcast_to_peers(&ToPeer::Cancelled(vec![job]), effects);
            let outcome = CancelOutcome::NotRecorded;
            self.answer_cancel((call, Span::default()), job, outcome, effects);
        }
    }

    /// Has agents told of a cancellation with the next message to each.
    pub(super) fn tell_agents(&mut self, cancelled: Cancelled) {
        self.cancel_position += 1;
        for worker in self.workers.values_mut() {
            worker.add_unsent_cancel(cancelled);
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

    /// Applies earlier cancellations that a peer or an agent has told, and tells peers of those that are
    /// new here: they may have started as lately as this gateway.
    pub(super) fn on_cancel_list(
        &mut self,
        now: Timestamp,
        source: Option<SessionId>,
        list: &CancelList,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let mut recorded = Vec::new();
        for cancelled in list.received(now) {
            let is_new = !self.cancels.contains(now, cancelled.job);
            // One that is not recorded must not be forwarded: it would seem new each time it arrives, and
            // circulate between gateways forever.
            if is_new && self.cancel_job(now, cancelled, effects).is_ok() {
                recorded.push(cancelled);
            }
        }
        let peers: Vec<SessionId> = self.peers.keys().copied().collect();
        for session in peers.into_iter().filter(|one| Some(*one) != source) {
            self.send_cancel_list(now, session, &recorded, effects);
        }
    }

    /// Sends the retained cancellations to a peer that has introduced itself, and may hold some of the
    /// jobs.
    pub(super) fn send_retained_cancels(
        &self,
        now: Timestamp,
        session: SessionId,
        effects: &mut Vec<GatewayEffect>,
    ) {
        self.send_cancel_list(now, session, &self.cancels.retained(now), effects);
    }

    fn send_cancel_list(
        &self,
        now: Timestamp,
        session: SessionId,
        cancelled: &[Cancelled],
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(peer) = self.peers.get(&session).filter(|_| !cancelled.is_empty()) else {
            return;
        };
        let list = CancelList::new(now, cancelled);
        let message = match peer.confirms_cancels {
            true => ToPeer::CancelledEarlier(list),
            false => ToPeer::Cancelled(list.jobs),
        };
        effects.push(GatewayEffect::ToPeer { session, message });
    }

    /// Ends a job, and records its cancellation.
    pub(super) fn cancel_job(
        &mut self,
        now: Timestamp,
        cancelled: Cancelled,
        effects: &mut Vec<GatewayEffect>,
    ) -> Result<(), CancelLogFull> {
        self.finish(now, cancelled.job, Answer::Cancelled, effects);
        self.cancels.record(now, cancelled)
    }
}
