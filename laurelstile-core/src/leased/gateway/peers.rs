//! Other gateways: which there are, and the newest configuration among them.

use std::sync::Arc;

use laurelstile_types::time::{Span, Timestamp};

use super::queues::QueueConfiguration;
use super::{GatewayEffect, LeasedGateway};
use crate::leased::messages::{Member, ToAgentBody, ToPeer};
use crate::session::SessionId;

/// A configuration that was asked for and has not come after so long is asked of another
/// peer.
const ASK_AGAIN: Span = Span::from_millis(100);

/// Another gateway, by its session.
#[derive(Debug, Default)]
pub struct Peer {
    /// Who it is, once it has said so.
    member: Option<Member>,
    /// Version of the configuration in force there, as far as is known.
    version: Option<u64>,
}

impl LeasedGateway {
    /// Notes which gateways are known: this one, those with a session, and those that the
    /// store lists.
    pub(super) fn note_members(&mut self) {
        let known = self.peers.values().filter_map(|peer| peer.member.as_ref());
        let known = known.chain(&self.listed);
        let present = known.chain([&self.identity.member]).cloned().collect();
        self.members.update(present);
    }

    /// Tells all peers the same.
    pub(super) fn tell_peers(&self, message: &ToPeer, effects: &mut Vec<GatewayEffect>) {
        for session in self.peers.keys() {
            effects.push(GatewayEffect::ToPeer {
                session: *session,
                message: message.clone(),
            });
        }
    }

    pub(super) fn on_peer_closed(&mut self, session: SessionId) {
        self.peers.remove(&session);
        self.members.close(session);
        self.note_members();
    }

    pub(super) fn on_peer_opened(
        &mut self,
        now: Timestamp,
        session: SessionId,
        effects: &mut Vec<GatewayEffect>,
    ) {
        self.peers.insert(session, Peer::default());
        self.members.open(session);
        let message = ToPeer::Introduction(self.identity.member.clone());
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
            ToPeer::Crashes(crashes) => self.on_crashes(now, &crashes, effects),
            ToPeer::Suspect { queue, task } => self.on_suspect_told(now, &queue, task),
            ToPeer::Cancelled(jobs) => self.on_cancels_told(now, &jobs, effects),
            ToPeer::Members(members) => effects.push(GatewayEffect::Members(members)),
            ToPeer::Introduction(member) => {
                if let Some(peer) = self.peers.get_mut(&session) {
                    peer.member = Some(member);
                    self.note_members();
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

    /// Tells agents, peers and the driver which gateways have become known.
    pub(super) fn tell_members(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        let news = self.members.take_news(now);
        for (session, members) in news.sessions {
            if let Some(agent) = self.agent_sessions.get(&session).copied() {
                self.send(now, agent, ToAgentBody::Members(members), effects);
            } else {
                let message = ToPeer::Members(members);
                effects.push(GatewayEffect::ToPeer { session, message });
            }
        }
        if !news.here.is_empty() {
            effects.push(GatewayEffect::Members(news.here));
        }
    }
}
