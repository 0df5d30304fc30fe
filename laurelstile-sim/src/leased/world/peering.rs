//! Sessions between gateways, where a run has them.

use laurelstile_core::leased::gateway::GatewayEvent;
use laurelstile_core::leased::messages::ToPeer;
use laurelstile_core::session::SessionId;
use rand::Rng;

use super::super::faults::Sabotage;
use super::{Happening, USER_TIMEOUT, World};

/// How long a message takes between gateways, in microseconds.
const SHORTEST_WAY: u64 = 200;
const LONGEST_WAY: u64 = 1_500;

impl World {
    /// Gateways tell each other from now on.
    pub fn join_peers(&mut self) {
        self.has_peers = true;
        for index in 0..self.gateways.len() {
            self.open_peers(index, index + 1);
        }
    }

    /// A gateway that has started opens sessions to those from `first` on that are up.
    pub(super) fn open_peers(&mut self, index: usize, first: usize) {
        if !self.has_peers {
            return;
        }
        for other in first..self.gateways.len() {
            if other != index {
                self.open_peer(index, other);
            }
        }
    }

    /// A gateway opens sessions to the others that are up and to which it has none.
    pub(super) fn open_missing_peers(&mut self, index: usize) {
        for other in 0..self.gateways.len() {
            let mut sessions = self.peers.values();
            let has_session = sessions.any(|ends| ends.contains(&index) && ends.contains(&other));
            if other != index && !has_session {
                self.open_peer(index, other);
            }
        }
    }

    fn open_peer(&mut self, index: usize, other: usize) {
        if !self.gateways[other].is_up || self.are_peers_cut(index, other) {
            return;
        }
        let session = SessionId(self.fresh());
        self.peers.insert(session, [index, other]);
        for (gateway, is_dialed) in [(index, true), (other, false)] {
            let opened = GatewayEvent::PeerOpened { session, is_dialed };
            self.gateway_event(gateway, opened);
        }
    }

    /// The others notice that a gateway is gone, after what it has sent.
    pub(super) fn close_peers(&mut self, index: usize) {
        let ended = self.peers.iter().filter(|(_, ends)| ends.contains(&index));
        let ended: Vec<(SessionId, [usize; 2])> =
            ended.map(|(session, ends)| (*session, *ends)).collect();
        for (session, ends) in ended {
            let other = if ends[0] == index { ends[1] } else { ends[0] };
            let notice = self.peer_end_passes(index, other) + LONGEST_WAY;
            self.schedule(notice, Happening::PeerSessionEnds(other, session));
        }
    }

    pub(super) fn peer_session_ends(&mut self, index: usize, session: SessionId) {
        if let Some(ends) = self.peers.remove(&session) {
            self.gateway_event(index, GatewayEvent::PeerClosed { session });
            // The other side of a cut notices the end as well.
            let other = if ends[0] == index { ends[1] } else { ends[0] };
            if self.are_peers_cut(index, other) || self.partial_cuts.is_some() {
                self.gateway_event(other, GatewayEvent::PeerClosed { session });
            }
        }
    }

    /// Sends a message from a gateway to a peer.
    pub(super) fn tell_peer(&mut self, from: usize, session: SessionId, mut message: ToPeer) {
        if self.sabotage == Some(Sabotage::NoClaims)
            && let ToPeer::Introduction(introduction) = &mut message
        {
            // Gateways without claims end no job because nobody confirms them.
            introduction.understands_claims = false;
            introduction.confirms_claims = false;
        }
        let Some(ends) = self.peers.get(&session) else {
            return;
        };
        let is_lost = match message {
            ToPeer::Cancelled(_) | ToPeer::CancelRequested(_) => {
                self.sabotage == Some(Sabotage::NoCancelNews)
            }
            ToPeer::Claim(_) => self.sabotage == Some(Sabotage::NoClaims),
            _ => false,
        };
        if is_lost {
            return;
        }
        let to = if ends[0] == from { ends[1] } else { ends[0] };
        let random = match message {
            ToPeer::Claim(_) => &mut self.claim_random,
            ToPeer::CancelConfirmed(_) => &mut self.confirmation_random,
            _ => &mut self.random,
        };
        let latency = random.random_range(SHORTEST_WAY..LONGEST_WAY);
        let happening = Happening::ToPeer(to, session, Box::new(message));
        let sent = self.now.max(self.peers_cut_until(from, to));
        if sent - self.now <= USER_TIMEOUT {
            let at = self.peer_message_read_at(session, to, sent + latency);
            self.schedule(at, happening);
        }
    }

    /// A message reaches a gateway from a peer.
    pub(super) fn peer_message(&mut self, to: usize, session: SessionId, message: ToPeer) {
        if self.peers.contains_key(&session) {
            self.gateway_event(to, GatewayEvent::PeerMessage { session, message });
        }
    }
}
