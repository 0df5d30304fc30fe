//! Sessions with peer gateways: broadcasts, and exchange of the newest configuration.

use std::sync::Arc;

use laurelstile_types::time::{Span, Timestamp};

use super::cancel_rounds::PEER_SILENT_AFTER;
use super::priorities::PriorityOrder;
use super::queues::QueueConfiguration;
use super::{GatewayDecision, GatewayEffect, LeasedGateway};
use crate::leased::cancel_log::CancelList;
use crate::leased::membership::MembershipEffect;
use crate::leased::messages::{ToAgentBody, ToPeer};
use crate::session::SessionId;

/// Time after which an unanswered request for a configuration is sent to another peer.
const RETRY_INTERVAL: Span = Span::from_millis(100);

/// State of a session with a peer gateway.
#[derive(Debug, Default)]
pub struct Peer {
    /// Version of the configuration in force at the peer, or `None` before it announced one.
    version: Option<u64>,
    /// Name of the peer, or `None` before it has introduced itself.
    pub name: Option<String>,
    /// Whether the peer understands [`ToPeer::Claim`].
    understands_claims: bool,
    /// Whether the peer answers claims.
    pub confirms_claims: bool,
    /// Whether the peer understands [`ToPeer::CancelRequested`].
    pub confirms_cancels: bool,
    /// When the oldest request was sent that the peer has answered neither itself nor by answering a
    /// later one; `None` if there is none.
    pub unanswered_since: Option<Timestamp>,
}

impl Peer {
    /// Whether the peer has not answered requests for a while.
    pub fn is_silent(&self, now: Timestamp) -> bool {
        let unanswered_since = self.unanswered_since;
        unanswered_since.is_some_and(|since| now.since(since) > PEER_SILENT_AFTER)
    }
}

impl LeasedGateway {
    /// Sends a message to all peers.
    pub(super) fn broadcast_to_peers(&self, message: &ToPeer, effects: &mut Vec<GatewayEffect>) {
        self.send_to_peers_except(None, message, effects);
    }

    /// Forwards a message to all peers except the one it came from.
    pub(super) fn forward_to_peers(
        &self,
        source: SessionId,
        message: &ToPeer,
        effects: &mut Vec<GatewayEffect>,
    ) {
        self.send_to_peers_except(Some(source), message, effects);
    }

    /// Sends a message to all peers except one, if any is given. Peers that do not understand the
    /// message are left out.
    pub(super) fn send_to_peers_except(
        &self,
        source: Option<SessionId>,
        message: &ToPeer,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let is_claim = matches!(message, ToPeer::Claim(_));
        let recipients = self.peers.iter().filter(|(session, peer)| {
            Some(**session) != source && (peer.understands_claims || !is_claim)
        });
        effects.extend(recipients.map(|(session, _)| GatewayEffect::ToPeer {
            session: *session,
            message: message.clone(),
        }));
    }

    /// Sessions to the peers that understand [`ToPeer::Claim`].
    pub(super) fn claim_peers(&self) -> Vec<SessionId> {
        let peers = self.peers.iter();
        let understanding = peers.filter(|(_, peer)| peer.understands_claims);
        understanding.map(|(session, _)| *session).collect()
    }

    /// Whether a session to the gateway of this name is open.
    pub(super) fn has_peer(&self, name: &str) -> bool {
        let mut names = self.peers.values().map(|peer| peer.name.as_deref());
        names.any(|peer| peer == Some(name))
    }

    pub(super) fn on_peer_closed(&mut self, now: Timestamp, session: SessionId) {
        if let Some(peer) = self.peers.remove(&session)
            && let Some(name) = peer.name
            && !self.has_peer(&name)
        {
            self.releases.record_closed(now, name);
        }
        self.membership.on_peer_closed(now, session);
        self.cancel_rounds.on_peer_closed(session);
        self.claim_leases.request_review();
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
        self.send_evacuations_to_peer(session, effects);
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
                if let Some(configuration) = &self.read_configuration {
                    let message = ToPeer::Configuration(configuration.clone());
                    effects.push(GatewayEffect::ToPeer { session, message });
                }
            }
            ToPeer::Configuration(configuration) => self.apply(configuration, effects),
            ToPeer::Evacuations(update) => self.on_peer_evacuations(now, update, effects),
            ToPeer::Crashes(crashes) => self.on_peer_crashes(now, session, &crashes, effects),
            ToPeer::Suspect { queue, task } => {
                self.on_peer_suspect(now, session, queue, task, effects);
            }
            ToPeer::Cancelled(jobs) => {
                let list = CancelList {
                    jobs,
                    ages_seconds: Vec::new(),
                };
                self.on_cancel_list(now, Some(session), &list, effects);
            }
            ToPeer::CancelledEarlier(list) => {
                self.on_cancel_list(now, Some(session), &list, effects);
            }
            ToPeer::CancelRequested(request) => {
                self.on_cancel_requested(now, session, request, effects);
            }
            ToPeer::CancelConfirmed(confirmation) => {
                self.on_cancel_confirmed(session, confirmation);
            }
            ToPeer::Claim(message) => self.on_claim_message(now, session, message, effects),
            ToPeer::Digest(digest) => self.membership.on_digest(session, digest),
            ToPeer::MembersWanted(parts) => {
                let answer = self.membership.on_members_wanted(session, &parts);
                self.apply_membership_effect(now, answer, effects);
            }
            ToPeer::Members(members) => self.membership.on_members(now, session, members),
            ToPeer::Introduction(introduction) => {
                if let Some(peer) = self.peers.get_mut(&session) {
                    peer.name = Some(introduction.name.clone());
                    peer.understands_claims = introduction.understands_claims;
                    peer.confirms_cancels = introduction.confirms_cancels;
                    peer.confirms_claims = introduction.confirms_claims;
                }
                self.releases.record_alive(&introduction.name);
                self.send_retained_cancels(now, session, effects);
                self.send_claims(now, session, effects);
                let answer = self.membership.on_introduction(session, introduction);
                if let Some(answer) = answer {
                    self.apply_membership_effect(now, answer, effects);
                }
            }
        }
    }

    /// Puts a newer configuration in force and announces its version to peers. An older one is
    /// ignored, so that a configuration never reverts. Only the version is sent, because peers
    /// usually read the same configuration from the store: whole configurations would be 40% of
    /// what the gateways of a small deployment send in the first second after a power failure.
    pub(super) fn apply(
        &mut self,
        configuration: QueueConfiguration,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if Some(configuration.version) <= self.version() {
            return;
        }
        let usable = self.usable(&configuration, effects);
        self.read_configuration = Some(configuration);
        let configuration = Arc::new(usable);
        self.priority_order = PriorityOrder::of(&configuration);
        self.configuration = Some(Arc::clone(&configuration));
        let is_kept = |name: &str| configuration.queues.iter().any(|queue| queue.name == name);
        self.run_times.retain(is_kept);
        self.on_time_rates.retain(is_kept);
        self.admission.forecast.retain(is_kept);
        self.admission.accepted_shares.retain(is_kept);
        self.broadcast_to_peers(&ToPeer::InForce(configuration.version), effects);
        effects.push(GatewayEffect::InForce(configuration));
    }

    /// The configuration with the values that shares of queues can use, which depend on nothing but the
    /// configuration: all gateways put the same ones in force. A wrong value of one queue is reported; if
    /// it held back the configuration, callers of all queues would be served as an earlier version says.
    fn usable(
        &self,
        configuration: &QueueConfiguration,
        effects: &mut Vec<GatewayEffect>,
    ) -> QueueConfiguration {
        if self.policies.queue_shares.is_none() {
            return configuration.clone();
        }
        let Err(error) = configuration.check() else {
            return configuration.clone();
        };
        let version = configuration.version;
        let decision = GatewayDecision::ConfigurationClamped { version, error };
        effects.push(GatewayEffect::Decided(decision));
        configuration.clamped()
    }

    /// Whether a peer has a newer configuration.
    fn has_newer_configuration(&self, peer: &Peer) -> bool {
        peer.version > self.version()
    }

    /// Version of the configuration in force, or `None` before the first one.
    fn version(&self) -> Option<u64> {
        self.configuration
            .as_ref()
            .map(|configuration| configuration.version)
    }

    /// Requests the configuration from a peer that has a newer one; unanswered requests are
    /// repeated to another such peer.
    pub(super) fn request_configuration(
        &mut self,
        now: Timestamp,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if self
            .next_configuration_request_at()
            .is_none_or(|due| now < due)
        {
            return;
        }
        let peers = self.peers.iter();
        let newer = peers.filter(|(_, peer)| self.has_newer_configuration(peer));
        let mut newer: Vec<SessionId> = newer.map(|(session, _)| *session).collect();
        if let Some((asked, _)) = self.configuration_request {
            // Continues round robin after the peer that was asked last.
            let after = newer.partition_point(|session| *session <= asked);
            newer.rotate_left(after);
        }
        let Some(session) = newer.first().copied() else {
            return;
        };
        self.configuration_request = Some((session, now));
        let message = ToPeer::ConfigurationWanted;
        effects.push(GatewayEffect::ToPeer { session, message });
    }

    /// When to request a newer configuration, or `None` if no peer has one.
    pub(super) fn next_configuration_request_at(&self) -> Option<Timestamp> {
        let mut peers = self.peers.values();
        let is_behind = peers.any(|peer| self.has_newer_configuration(peer));
        is_behind.then(|| {
            self.configuration_request
                .map_or(Timestamp::default(), |(_, at)| at.after(RETRY_INTERVAL))
        })
    }

    /// Applies the pending effects of the membership protocol.
    pub(super) fn flush_membership(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        for effect in self.membership.flush(now) {
            self.apply_membership_effect(now, effect, effects);
        }
    }

    fn apply_membership_effect(
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
