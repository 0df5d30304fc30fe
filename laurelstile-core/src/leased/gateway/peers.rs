//! Other gateways: which there are, and the newest configuration among them.

use std::sync::Arc;

use laurelstile_types::time::{Span, Timestamp};

use super::queues::QueueConfiguration;
use super::{GatewayDecision, GatewayEffect, LeasedGateway};
use crate::leased::membership::MembershipEffect;
use crate::leased::messages::{ToAgentBody, ToPeer};
use crate::session::SessionId;

/// A configuration that was asked for and has not come after so long is asked of another
/// peer.
const ASK_AGAIN: Span = Span::from_millis(100);

/// Another gateway, by its session.
#[derive(Debug, Default)]
pub struct Peer {
    /// Version of the configuration in force there, as far as is known.
    version: Option<u64>,
}

impl LeasedGateway {
    /// Tells all peers the same.
    pub(super) fn tell_peers(&self, message: &ToPeer, effects: &mut Vec<GatewayEffect>) {
        self.tell_peers_but(None, message, effects);
    }

    /// Tells all peers the same, but the one that it came from.
    pub(super) fn tell_other_peers(
        &self,
        source: SessionId,
        message: &ToPeer,
        effects: &mut Vec<GatewayEffect>,
    ) {
        self.tell_peers_but(Some(source), message, effects);
    }

    fn tell_peers_but(
        &self,
        source: Option<SessionId>,
        message: &ToPeer,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let told = self
            .peers
            .keys()
            .filter(|session| Some(**session) != source);
        effects.extend(told.map(|session| GatewayEffect::ToPeer {
            session: *session,
            message: message.clone(),
        }));
    }

    pub(super) fn on_peer_closed(&mut self, now: Timestamp, session: SessionId) {
        self.peers.remove(&session);
        self.membership.on_peer_closed(now, session);
    }

    pub(super) fn on_peer_opened(
        &mut self,
        now: Timestamp,
        session: SessionId,
        is_dialed: bool,
        effects: &mut Vec<GatewayEffect>,
    ) {
        self.peers.insert(session, Peer::default());
        let introduction = self.membership.on_peer_opened(now, session, is_dialed);
        let message = ToPeer::Introduction(introduction);
        effects.push(GatewayEffect::ToPeer { session, message });
        self.tell_peer_evacuations(session, effects);
        self.tell_peer_cancels(now, session, effects);
        if let Some(configuration) = &self.configuration {
            let message = ToPeer::InForce(configuration.version);
            effects.push(GatewayEffect::ToPeer { session, message });
        }
    }

    pub(super) fn on_peer_message(
        &mut self,
        now: Timestamp,
        session: SessionId,
        message: ToPeer,
        effects: &mut Vec<GatewayEffect>,
    ) {
        match message {
            ToPeer::InForce(version) => {
                if let Some(peer) = self.peers.get_mut(&session) {
                    peer.version = Some(version);
                }
            }
            ToPeer::ConfigurationWanted => {
                if let Some(configuration) = &self.configuration {
                    let message = ToPeer::Configuration(configuration.as_ref().clone());
                    effects.push(GatewayEffect::ToPeer { session, message });
                }
            }
            ToPeer::Configuration(configuration) => self.adopt(configuration, effects),
            ToPeer::Evacuations(news) => self.on_evacuations_told(now, news, effects),
            ToPeer::Crashes(crashes) => self.on_crashes_told(now, session, &crashes, effects),
            ToPeer::Suspect { queue, task } => {
                self.on_suspect_told(now, session, queue, task, effects);
            }
            ToPeer::Cancelled(jobs) => self.on_cancels_told(now, session, &jobs, effects),
            ToPeer::Digest(digest) => self.membership.on_digest(session, digest),
            ToPeer::MembersWanted(parts) => {
                let answer = self.membership.on_members_wanted(session, &parts);
                self.carry_out_membership(now, answer, effects);
            }
            ToPeer::Members(members) => self.membership.on_members(now, session, members),
            ToPeer::Introduction(introduction) => {
                let answer = self.membership.on_introduction(session, introduction);
                if let Some(answer) = answer {
                    self.carry_out_membership(now, answer, effects);
                }
            }
        }
    }

    /// Puts a newer configuration in force and tells the peers its version; an older one
    /// is ignored, so that a configuration never reverts. All gateways read the store, so
    /// peers usually have it: whole configurations to all peers were 40% of what gateways
    /// of a small deployment sent in the first second after a loss of power.
    pub(super) fn adopt(
        &mut self,
        configuration: QueueConfiguration,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if Some(configuration.version) <= self.version() {
            return;
        }
        let configuration = Arc::new(configuration);
        self.configuration = Some(Arc::clone(&configuration));
        let is_kept = |name: &str| configuration.queues.iter().any(|queue| queue.name == name);
        self.run_times.retain(is_kept);
        self.shares.retain(is_kept);
        self.tell_peers(&ToPeer::InForce(configuration.version), effects);
        effects.push(GatewayEffect::InForce(configuration));
    }

    /// Version of the configuration in force here.
    fn version(&self) -> Option<u64> {
        self.configuration.as_ref().map(|known| known.version)
    }

    /// Asks one of the peers that have a newer configuration, and after a while another.
    pub(super) fn ask_for_configuration(
        &mut self,
        now: Timestamp,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if self.ask_again_at().is_none_or(|due| now < due) {
            return;
        }
        let version = self.version();
        let newer = self.peers.iter().filter(|(_, peer)| peer.version > version);
        let mut newer: Vec<SessionId> = newer.map(|(session, _)| *session).collect();
        if let Some((asked, _)) = self.asked_peer {
            // The one after the last that was asked, round and round.
            let after = newer.partition_point(|session| *session <= asked);
            newer.rotate_left(after);
        }
        let Some(session) = newer.first().copied() else {
            return;
        };
        self.asked_peer = Some((session, now));
        let message = ToPeer::ConfigurationWanted;
        effects.push(GatewayEffect::ToPeer { session, message });
    }

    /// When to ask for a newer configuration, if a peer has one.
    pub(super) fn ask_again_at(&self) -> Option<Timestamp> {
        let version = self.version();
        let is_behind = self.peers.values().any(|peer| peer.version > version);
        is_behind.then(|| {
            self.asked_peer
                .map_or(Timestamp::default(), |(_, asked)| asked.after(ASK_AGAIN))
        })
    }

    /// Does what the knowledge of other gateways gives rise to.
    pub(super) fn tend_membership(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        for effect in self.membership.flush(now) {
            self.carry_out_membership(now, effect, effects);
        }
    }

    fn carry_out_membership(
        &mut self,
        now: Timestamp,
        effect: MembershipEffect,
        effects: &mut Vec<GatewayEffect>,
    ) {
        match effect {
            MembershipEffect::SendToAgent(session, members) => {
                if let Some(agent) = self.agent_sessions.get(&session).copied() {
                    self.send(now, agent, ToAgentBody::Members(members), effects);
                }
            }
            MembershipEffect::SendToPeer(session, message) => {
                effects.push(GatewayEffect::ToPeer { session, message });
            }
            MembershipEffect::Dial {
                members,
                is_settled,
            } => effects.push(GatewayEffect::Dial {
                members,
                is_settled,
            }),
            MembershipEffect::Close(session) => effects.push(GatewayEffect::Close(session)),
            MembershipEffect::Changed(view) => {
                effects.push(GatewayEffect::Decided(GatewayDecision::Neighbors(view)));
            }
        }
    }
}
