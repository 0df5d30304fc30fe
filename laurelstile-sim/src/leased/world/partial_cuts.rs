//! Cuts of single links: between two gateways, or a gateway and an agent, each way by itself.

use std::collections::BTreeMap;

use laurelstile_core::session::SessionId;
use rand::Rng;

use super::{Happening, USER_TIMEOUT, World};

/// Latest time after the end of a cut at which two gateways have a session again.
const LATEST_PEER_SESSION: u64 = 400_000;
/// Inputs from other connections that a slow gateway may read before one from a peer.
const MOST_INPUTS_BEFORE: u64 = 16;

/// The links that are cut, and until when.
#[derive(Debug, Default)]
pub struct PartialCuts {
    /// By sending and receiving gateway.
    peers: BTreeMap<(usize, usize), u64>,
    /// By agent, gateway, and whether messages to the gateway are cut.
    agents: BTreeMap<(usize, usize, bool), u64>,
    /// When the last message of a session reaches a gateway.
    last_delivery: BTreeMap<(SessionId, usize), u64>,
}

impl World {
    /// Messages of a gateway to another are held back until `end`. Their session ends if the cut is
    /// longer than it lasts without acknowledgements.
    pub(super) fn cut_peers(&mut self, from: usize, to: usize, end: u64) {
        let Some(cuts) = &mut self.partial_cuts else {
            return;
        };
        let until = cuts.peers.entry((from, to)).or_default();
        *until = end.max(*until);
        if end - self.now > USER_TIMEOUT {
            let sessions = self.peers.iter();
            let between = sessions.filter(|(_, ends)| ends.contains(&from) && ends.contains(&to));
            let between: Vec<SessionId> = between.map(|(session, _)| *session).collect();
            for session in between {
                let ended = Happening::PeerSessionEnds(from, session);
                self.schedule(self.now + USER_TIMEOUT, ended);
            }
        }
        // Also for a process that starts during the cut.
        let back = end + self.random.random_range(1_000..LATEST_PEER_SESSION);
        self.schedule(back, Happening::PeersReturn(from));
    }

    /// Messages between an agent and a gateway are held back one way until `end`.
    pub(super) fn cut_way(&mut self, agent: usize, gateway: usize, is_to_gateway: bool, end: u64) {
        if let Some(cuts) = &mut self.partial_cuts {
            let until = cuts.agents.entry((agent, gateway, is_to_gateway));
            let until = until.or_default();
            *until = end.max(*until);
        }
    }

    /// Until when messages of a gateway to another are held back.
    pub(super) fn peer_way_cut_until(&self, from: usize, to: usize) -> u64 {
        let cuts = self.partial_cuts.as_ref();
        let until = cuts.and_then(|cuts| cuts.peers.get(&(from, to)));
        until.copied().unwrap_or(0)
    }

    /// Until when messages between an agent and a gateway are held back one way.
    pub(super) fn way_cut_until(&self, agent: usize, gateway: usize, is_to_gateway: bool) -> u64 {
        let cuts = self.partial_cuts.as_ref();
        let until = cuts.and_then(|cuts| cuts.agents.get(&(agent, gateway, is_to_gateway)));
        until.copied().unwrap_or(0)
    }

    /// Whether an agent cannot open a session to a gateway, as messages are cut at least one way.
    pub(super) fn is_link_cut(&self, agent: usize, gateway: usize) -> bool {
        let both_ways = self.cuts.get(&(agent, gateway)).copied().unwrap_or(0);
        let one_way = [true, false].map(|way| self.way_cut_until(agent, gateway, way));
        one_way.into_iter().chain([both_ways]).max() > Some(self.now)
    }

    /// Whether two gateways cannot open a session.
    pub(super) fn are_peers_cut(&self, one: usize, other: usize) -> bool {
        let ways = [(one, other), (other, one)];
        let mut until = ways
            .map(|(from, to)| self.peers_cut_until(from, to))
            .into_iter();
        until.any(|until| until > self.now)
    }

    /// When a gateway notices that another's process has ended: the end of its connection is held
    /// back as messages are.
    pub(super) fn peer_end_passes(&self, from: usize, to: usize) -> u64 {
        let cut_until = self.peer_way_cut_until(from, to);
        cut_until.clamp(self.now, self.now + USER_TIMEOUT)
    }

    /// When a gateway reads a message of a peer that arrives at `at`: behind those that were held back
    /// before it, and later if the gateway is slow and reads other connections first.
    pub(super) fn peer_message_read_at(&mut self, session: SessionId, to: usize, at: u64) -> u64 {
        if self.partial_cuts.is_none() {
            return at;
        }
        let input_time = self.gateways[to].slow_input_time(self.now);
        let at = at
            + input_time.map_or(0, |time| {
                self.random.random_range(0..time * MOST_INPUTS_BEFORE)
            });
        let Some(cuts) = &mut self.partial_cuts else {
            return at;
        };
        let last = cuts.last_delivery.entry((session, to)).or_default();
        *last = at.max(*last);
        *last
    }
}
