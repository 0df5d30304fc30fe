//! Other gateways: which there are, and the newest configuration among them.

use std::collections::BTreeSet;
use std::sync::Arc;

use laurelstile_types::time::Timestamp;

use super::queues::QueueConfiguration;
use super::{GatewayEffect, LeasedGateway};
use crate::leased::messages::{Member, ToAgentBody, ToPeer};
use crate::session::SessionId;

impl LeasedGateway {
    /// This gateway, those with a session, and those that the store lists.
    pub(super) fn members(&self) -> Vec<Member> {
        let known: BTreeSet<&Member> = self
            .peers
            .values()
            .flatten()
            .chain(&self.listed)
            .chain([&self.identity.member])
            .collect();
        known.into_iter().cloned().collect()
    }

    pub(super) fn on_peer_opened(&mut self, session: SessionId, effects: &mut Vec<GatewayEffect>) {
        self.peers.insert(session, None);
        let message = ToPeer::Introduction(self.identity.member.clone());
        effects.push(GatewayEffect::ToPeer { session, message });
        if let Some(configuration) = &self.configuration {
            let message = ToPeer::Configuration(configuration.as_ref().clone());
            effects.push(GatewayEffect::ToPeer { session, message });
        }
        let message = ToPeer::Members(self.members());
        effects.push(GatewayEffect::ToPeer { session, message });
    }

    pub(super) fn on_peer_message(
        &mut self,
        session: SessionId,
        message: ToPeer,
        effects: &mut Vec<GatewayEffect>,
    ) {
        match message {
            ToPeer::Configuration(configuration) => {
                self.adopt(Some(session), configuration, effects);
            }
            ToPeer::Members(members) => effects.push(GatewayEffect::Members(members)),
            ToPeer::Introduction(member) => {
                if let Some(known) = self.peers.get_mut(&session) {
                    *known = Some(member);
                }
            }
        }
    }

    /// Puts a newer configuration in force and passes it on; an older one is
    /// ignored, so that a configuration never reverts.
    pub(super) fn adopt(
        &mut self,
        source: Option<SessionId>,
        configuration: QueueConfiguration,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let known = self.configuration.as_ref().map(|known| known.version);
        if known.is_some_and(|known| known >= configuration.version) {
            return;
        }
        let configuration = Arc::new(configuration);
        self.configuration = Some(Arc::clone(&configuration));
        let is_kept = |name: &str| configuration.queues.iter().any(|queue| queue.name == name);
        self.run_times.retain(is_kept);
        self.shares.retain(is_kept);
        for session in self
            .peers
            .keys()
            .filter(|session| Some(**session) != source)
        {
            let message = ToPeer::Configuration(configuration.as_ref().clone());
            effects.push(GatewayEffect::ToPeer {
                session: *session,
                message,
            });
        }
        effects.push(GatewayEffect::InForce(configuration));
    }

    /// Tells agents and peers when the known gateways have changed.
    pub(super) fn tell_members(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        let members = self.members();
        if members == self.told_members {
            return;
        }
        self.told_members.clone_from(&members);
        let agents: Vec<_> = self.workers.keys().copied().collect();
        for agent in agents {
            self.send(now, agent, ToAgentBody::Members(members.clone()), effects);
        }
        for session in self.peers.keys() {
            let message = ToPeer::Members(members.clone());
            effects.push(GatewayEffect::ToPeer {
                session: *session,
                message,
            });
        }
        effects.push(GatewayEffect::Members(members));
    }
}
