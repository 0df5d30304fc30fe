//! Sessions to gateways and the messages received on them.

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::super::cancel_log::CancelList;
use super::super::messages::{ToAgent, ToAgentBody};
use super::owner::Owner;
use super::{AgentDecision, AgentEffect, LeasedAgent};
use crate::session::SessionId;

impl LeasedAgent {
    /// Reports no free resources to the gateway of a session that is about to be closed, or
    /// undoes that. Starts that the gateway has already sent are still carried out.
    pub fn release(&mut self, session: SessionId, is_released: bool) {
        let gateway = self.sessions.get(&session);
        if let Some(owner) = gateway.and_then(|gateway| self.owners.get_mut(gateway)) {
            owner.is_released = is_released;
        }
    }

    /// Whether the session's gateway has neither runs nor unacknowledged ends here; true for an
    /// unknown session.
    pub fn is_idle_for(&self, session: SessionId) -> bool {
        let Some(gateway) = self.sessions.get(&session) else {
            return true;
        };
        let has_unacknowledged = self
            .owners
            .get(gateway)
            .is_some_and(Owner::has_unacknowledged);
        let awaits_answers = self.duplicates_of(*gateway).next().is_some();
        !has_unacknowledged && !awaits_answers && !self.owns_runs(*gateway)
    }

    pub(super) fn on_opened(
        &mut self,
        now: Timestamp,
        session: SessionId,
        gateway: Incarnation,
        effects: &mut Vec<AgentEffect>,
    ) {
        let owner = self
            .owners
            .entry(gateway)
            .or_insert_with(|| Owner::new(now, self.last_forgotten_end));
        // A new session of the same incarnation replaces the old one.
        if let Some(old) = owner.session {
            self.sessions.remove(&old);
            effects.push(AgentEffect::Close(old));
        }
        let silence = owner.echo_age(now);
        self.last_session += 1;
        let cancelled = self.cancels.retained(now);
        owner.open(now, session, self.last_session, cancelled);
        owner.is_owed_served |= self.served.is_owed_to(gateway);
        self.sessions.insert(session, gateway);
        self.log_resumed_session(gateway, silence, effects);
    }

    /// Logs that runs have outlived a session, with the age of the gateway's latest echo.
    fn log_resumed_session(
        &self,
        gateway: Incarnation,
        silence: Span,
        effects: &mut Vec<AgentEffect>,
    ) {
        let owned = self.runs.iter().filter(|(_, run)| run.owner == gateway);
        let runs = owned.count();
        if runs > 0 {
            effects.push(AgentEffect::Decided(AgentDecision::SessionResumed {
                gateway,
                silence,
                runs,
            }));
        }
    }

    pub(super) fn on_closed(&mut self, session: SessionId) {
        let Some(gateway) = self.sessions.remove(&session) else {
            return;
        };
        if let Some(owner) = self.owners.get_mut(&gateway) {
            owner.close();
        }
    }

    pub(super) fn on_gateway_ended(
        &mut self,
        now: Timestamp,
        gateway: Incarnation,
        effects: &mut Vec<AgentEffect>,
    ) {
        self.stop_runs_of(now, gateway, effects);
        self.forget_gateway(gateway);
        let of_gateway = |_: &SessionId, owner: &mut Incarnation| *owner == gateway;
        let sessions = self.sessions.extract_if(.., of_gateway);
        effects.extend(sessions.map(|(session, _)| AgentEffect::Close(session)));
    }

    /// Forgets a gateway. Its process may still be running and connect again; it ignores ends with
    /// numbers that it has received before.
    pub(super) fn forget_gateway(&mut self, gateway: Incarnation) {
        if let Some(owner) = self.owners.remove(&gateway) {
            self.last_forgotten_end = self.last_forgotten_end.max(owner.last_number());
        }
    }

    pub(super) fn on_message(
        &mut self,
        now: Timestamp,
        session: SessionId,
        message: ToAgent,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(gateway) = self.sessions.get(&session).copied() else {
            return;
        };
        let Some(owner) = self.owners.get_mut(&gateway) else {
            return;
        };
        owner.echo = owner.echo.max(message.echo);
        owner.acknowledge(message.acknowledged);
        let cancelled = CancelList {
            jobs: message.cancelled,
            ages_seconds: message.cancel_ages,
        };
        let position = message.cancel_position;
        self.on_cancelled(now, gateway, (&cancelled, position), effects);
        self.served.record(now, &message.served);
        match message.body {
            ToAgentBody::Heartbeat | ToAgentBody::Predecessor { .. } => {}
            ToAgentBody::Start(batch) => self.on_start(now, gateway, message.echo, &batch, effects),
            ToAgentBody::Stop(tasks) => {
                for task in tasks {
                    self.on_stop_requested(now, gateway, task, effects);
                }
            }
            ToAgentBody::Members(members) => effects.push(AgentEffect::Members(members)),
            ToAgentBody::Announce(announcements) => {
                if self.knows_description(gateway, message.echo) {
                    self.on_announced(now, gateway, &announcements);
                }
            }
            ToAgentBody::Evacuations(update) => self.on_evacuations(update, effects),
            ToAgentBody::Claims(claims) => {
                self.on_claims(now, (session, gateway), &claims, effects);
            }
            ToAgentBody::Decline(offers) => {
                if let Some(owner) = self.owners.get_mut(&gateway) {
                    for number in offers {
                        owner.end_offer(number);
                    }
                }
            }
        }
    }
}
