//! Gateways that are cut off from all agents and other gateways, and still reach their callers.

use rand::Rng;

use super::{Happening, USER_TIMEOUT, World};

/// Latest time after the end of a cut at which gateways have sessions to each other again.
const LATEST_PEER_SESSION: u64 = 400_000;

impl World {
    /// Cuts a gateway off until `end`. Its sessions to others end if the cut is longer than they last
    /// without answers.
    pub(super) fn isolate_gateway(&mut self, gateway: usize, end: u64) {
        for agent in 0..self.agents.len() {
            let until = self.cuts.entry((agent, gateway)).or_default();
            *until = end.max(*until);
        }
        let until = self.isolated.entry(gateway).or_default();
        *until = end.max(*until);
        if end - self.now <= USER_TIMEOUT {
            return;
        }
        let sessions = self.peers.iter();
        let own = sessions.filter(|(_, ends)| ends.contains(&gateway));
        let own: Vec<_> = own.map(|(session, ends)| (*session, *ends)).collect();
        for (session, ends) in own {
            let ended = Happening::PeerSessionEnds(ends[0], session);
            self.schedule(self.now + USER_TIMEOUT, ended);
        }
        let back = end + self.random.random_range(1_000..LATEST_PEER_SESSION);
        self.schedule(back, Happening::PeersReturn(gateway));
    }

    /// Until when messages of a gateway to another do not arrive.
    pub(super) fn peers_cut_until(&self, from: usize, to: usize) -> u64 {
        let until = [from, to].map(|index| self.isolated.get(&index).copied());
        let until = until.into_iter().flatten().max().unwrap_or(0);
        until.max(self.peer_way_cut_until(from, to))
    }

    /// A gateway is no longer cut off, and opens sessions to the others.
    pub(super) fn peers_return(&mut self, gateway: usize) {
        let is_cut_again = self
            .isolated
            .get(&gateway)
            .is_some_and(|until| *until > self.now);
        if self.gateways[gateway].is_up && !is_cut_again {
            self.open_missing_peers(gateway);
        }
    }
}
