//! Evacuated zones at a gateway: told on, and no longer used.

use laurelstile_types::time::Timestamp;

use super::intake::RETRY_SOON;
use super::job::Job;
use super::workers::Worker;
use super::{Answer, GatewayDecision, GatewayEffect, LeasedGateway, Refusal};
use crate::leased::evacuation::{Evacuations, Update};
use crate::leased::messages::{ToAgentBody, ToPeer};
use crate::leased::task::JobId;
use crate::session::SessionId;

impl LeasedGateway {
    /// The zones that are evacuated, as far as is known here.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Takes in what was read from the store, and tells agents and peers at once. Also if
    /// it says what was known already: in between they may have heard of a change that was
    /// missed here, and of nothing since.
    pub(super) fn on_evacuations_read(
        &mut self,
        now: Timestamp,
        news: Evacuations,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if self.evacuations.update(news) != Update::Stale {
            self.spread_evacuations(now, effects);
        }
    }

    /// Takes in what a peer tells, and passes on what has changed. What only confirms is
    /// not passed on: each gateway that reads would make all others speak.
    pub(super) fn on_evacuations_told(
        &mut self,
        now: Timestamp,
        news: Evacuations,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if self.evacuations.update(news) == Update::Changed {
            self.spread_evacuations(now, effects);
        }
    }

    fn spread_evacuations(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        let decision = GatewayDecision::Evacuated(self.evacuations.clone());
        effects.push(GatewayEffect::Decided(decision));
        for worker in self.workers.values_mut() {
            worker.note_evacuations(&self.evacuations);
        }
        let peers: Vec<SessionId> = self.peers.keys().copied().collect();
        for session in peers {
            self.tell_peer_evacuations(session, effects);
        }
        let agents: Vec<SessionId> = self.agent_sessions.keys().copied().collect();
        for session in agents {
            self.tell_agent_evacuations(now, session, effects);
        }
        self.refuse_evacuated(now, effects);
    }

    /// Tells an agent what is evacuated. The first message of a session, so that no start
    /// overtakes it.
    pub(super) fn tell_agent_evacuations(
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

    /// Tells a peer what is evacuated, before the configuration with which it may begin.
    pub(super) fn tell_peer_evacuations(
        &self,
        session: SessionId,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if self.evacuations.revision > 0 {
            let message = ToPeer::Evacuations(self.evacuations.clone());
            effects.push(GatewayEffect::ToPeer { session, message });
        }
    }

    /// Whether there are workers of `service`, and all of them are in evacuated zones.
    pub(super) fn is_evacuated(&self, now: Timestamp, service: &str) -> bool {
        if self.evacuations.zones.is_empty() {
            return false;
        }
        let serves = |worker: &&Worker| {
            let snapshot = worker.snapshot.as_ref();
            worker.is_present(now) && snapshot.is_some_and(|known| known.service == service)
        };
        let mut workers = self.workers.values().filter(serves).peekable();
        workers.peek().is_some() && workers.all(|worker| worker.is_evacuated)
    }

    /// Refuses the jobs of which nothing was placed and that no worker may run any more.
    fn refuse_evacuated(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        let is_over = |job: &&Job| job.is_untouched() && self.is_evacuated(now, &job.queue.service);
        let over: Vec<JobId> = self
            .jobs
            .values()
            .filter(is_over)
            .map(|job| job.id)
            .collect();
        for id in over {
            let answer = Answer::Refused {
                reason: Refusal::Evacuated,
                retry_after: RETRY_SOON,
            };
            self.finish(now, id, answer, effects);
        }
    }
}
