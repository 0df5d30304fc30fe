//! Evacuated zones: distribution to agents and peers, and exclusion from placement.

use laurelstile_types::time::Timestamp;

use super::intake::RETRY_DELAY;
use super::job::Job;
use super::workers::Worker;
use super::{Answer, GatewayDecision, GatewayEffect, LeasedGateway, Refusal};
use crate::leased::evacuation::{Evacuations, Update};
use crate::leased::messages::{ToAgentBody, ToPeer};
use crate::leased::task::JobId;
use crate::session::SessionId;

impl LeasedGateway {
    /// The latest known set of evacuated zones.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Applies evacuations read from the store and sends them to agents and peers. They are
    /// sent even if the zones are unchanged: agents and peers may have learned of an
    /// intermediate change that this gateway missed.
    pub(super) fn on_evacuations_read(
        &mut self,
        now: Timestamp,
        update: Evacuations,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if self.evacuations.update(update) != Update::Stale {
            self.broadcast_evacuations(now, effects);
        }
    }

    /// Applies evacuations received from a peer and forwards them if the zones have changed.
    /// A newer revision with the same zones is not forwarded; otherwise every read by one
    /// gateway would cause messages from all others.
    pub(super) fn on_peer_evacuations(
        &mut self,
        now: Timestamp,
        update: Evacuations,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if self.evacuations.update(update) == Update::Changed {
            self.broadcast_evacuations(now, effects);
        }
    }

    fn broadcast_evacuations(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        let decision = GatewayDecision::Evacuated(self.evacuations.clone());
        effects.push(GatewayEffect::Decided(decision));
        for worker in self.workers.values_mut() {
            worker.update_evacuation(&self.evacuations);
        }
        let peers: Vec<SessionId> = self.peers.keys().copied().collect();
        for session in peers {
            self.send_evacuations_to_peer(session, effects);
        }
        let agents: Vec<SessionId> = self.agent_sessions.keys().copied().collect();
        for session in agents {
            self.send_evacuations_to_agent(now, session, effects);
        }
        self.refuse_evacuated(now, effects);
    }

    /// Sends the evacuated zones to an agent as a session opens, so that no start precedes them.
    pub(super) fn send_evacuations_to_agent(
        &mut self,
        now: Timestamp,
        session: SessionId,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(agent) = self.agent_sessions.get(&session).copied() else {
            return;
        };
        if self.evacuations.revision > 0 {
            let body = ToAgentBody::Evacuations(self.evacuations.clone());
            self.send(now, agent, body, effects);
        }
    }

    /// Sends the evacuated zones to a peer, before any configuration that may let it start
    /// placing tasks.
    pub(super) fn send_evacuations_to_peer(
        &self,
        session: SessionId,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if self.evacuations.revision > 0 {
            let message = ToPeer::Evacuations(self.evacuations.clone());
            effects.push(GatewayEffect::ToPeer { session, message });
        }
    }

    /// Whether `service` has reachable workers and all of them are in evacuated zones.
    pub(super) fn is_evacuated(&self, now: Timestamp, service: &str) -> bool {
        if self.evacuations.zones.is_empty() {
            return false;
        }
        let serves = |worker: &&Worker| {
            let snapshot = worker.snapshot.as_ref();
            worker.is_reachable(now) && snapshot.is_some_and(|snapshot| snapshot.service == service)
        };
        let mut workers = self.workers.values().filter(serves).peekable();
        workers.peek().is_some() && workers.all(|worker| worker.is_evacuated)
    }

    /// Refuses the unstarted jobs whose service has only evacuated workers.
    fn refuse_evacuated(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        let is_excluded =
            |job: &&Job| job.is_unstarted() && self.is_evacuated(now, &job.queue.service);
        let excluded: Vec<JobId> = self
            .jobs
            .values()
            .filter(is_excluded)
            .map(|job| job.id)
            .collect();
        for id in excluded {
            let answer = Answer::Refused {
                reason: Refusal::Evacuated,
                retry_after: self.spread_retry_after(id, RETRY_DELAY),
            };
            self.finish(now, id, answer, effects);
        }
    }
}
