//! Scenes with partitions that leave some of the links, and callers that resubmit elsewhere.

use rand::Rng;
use rand_pcg::Pcg64;

use super::faults::{Fault, ScheduledFault};
use super::world::RESEND;

/// Shortest and longest cut or slowness, in microseconds.
const SHORTEST: u64 = 500_000;
const LONGEST: u64 = 6_000_000;
/// Latest resubmission, and latest notice of a broken connection, in microseconds.
const LATEST_RESUBMISSION: u64 = 6_000_000;
const LATEST_NOTICE: u64 = 6_000_000;
/// How many times longer than usual an input takes a slow gateway.
const LEAST_SLOW: u64 = 10;
const MOST_SLOW: u64 = 150;

/// A kind of partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Partition {
    /// Gateways that are cut off from other gateways only, one or several at once.
    Gateways,
    /// Links that are cut one way: between two gateways, and between a gateway and some agents.
    OneWay,
    /// No link is cut: gateways take many times longer for each input.
    SlowGateways,
    /// All of these, overlapping.
    Mixed,
    /// Gateways that are cut off together with some agents from the others.
    Zone,
}

impl Partition {
    /// The kind of this name on the command line.
    pub fn named(name: &str) -> Option<Self> {
        match name {
            "gateways" => Some(Self::Gateways),
            "one-way" => Some(Self::OneWay),
            "slow-gateways" => Some(Self::SlowGateways),
            "mixed" => Some(Self::Mixed),
            "zone" => Some(Self::Zone),
            _ => None,
        }
    }

    /// Separates the random choices of each kind.
    pub(super) fn stream(self) -> u64 {
        match self {
            Self::Gateways => 0x9a7e,
            Self::OneWay => 0x01e3a,
            Self::SlowGateways => 0x510e9a,
            Self::Mixed => 0x313ed,
            Self::Zone => 0x20e4,
        }
    }

    /// Draws series of partitions. The callers of the gateways that they hit lose their connections
    /// before, at the moment of, and after each, and resubmit at other gateways.
    pub(super) fn draw(
        self,
        length: u64,
        gateways: usize,
        workers: usize,
        random: &mut Pcg64,
    ) -> Vec<ScheduledFault> {
        let mut draw = Draw {
            gateways,
            workers,
            random,
            faults: Vec::new(),
        };
        for _ in 0..draw.random.random_range(2..5) {
            let first = draw.random.random_range(500_000..length);
            let pause = draw.random.random_range(100_000..3_000_000);
            for number in 0..draw.random.random_range(1..4) {
                let at = first + number * pause;
                let lasts = draw.random.random_range(SHORTEST..LONGEST);
                let hit = draw.partition(self, at, lasts);
                draw.lose_callers(hit, at, lasts);
            }
        }
        draw.faults
    }
}

/// What has been drawn.
struct Draw<'a> {
    gateways: usize,
    workers: usize,
    random: &'a mut Pcg64,
    faults: Vec<ScheduledFault>,
}

impl Draw<'_> {
    fn add(&mut self, at: u64, length: u64, fault: Fault) {
        self.faults.push(ScheduledFault { at, length, fault });
    }

    fn gateway(&mut self) -> usize {
        self.random.random_range(0..self.gateways)
    }

    /// Adds a partition of a kind; returns the gateways whose callers resubmit.
    fn partition(&mut self, kind: Partition, at: u64, length: u64) -> Vec<usize> {
        match kind {
            Partition::Gateways => self.cut_gateways(at, length),
            Partition::OneWay => self.cut_ways(at, length),
            Partition::SlowGateways => self.slow_gateways(at, length),
            Partition::Zone => self.cut_zone(at, length),
            Partition::Mixed => match self.random.random_range(0..3) {
                0 => self.cut_gateways(at, length),
                1 => self.cut_ways(at, length),
                _ => self.slow_gateways(at, length),
            },
        }
    }

    /// One gateway, or several at once, loses its links to all or some of the others.
    fn cut_gateways(&mut self, at: u64, length: u64) -> Vec<usize> {
        let mut hit = vec![self.gateway()];
        if self.random.random_bool(0.3) {
            hit.push(self.gateway());
        }
        let is_from_all = self.random.random_bool(0.7);
        for gateway in hit.clone() {
            for other in (0..self.gateways).filter(|other| *other != gateway) {
                if is_from_all || self.random.random_bool(0.5) {
                    self.cut_both_ways(gateway, other, at, length);
                }
            }
        }
        hit
    }

    /// Each way of a connection may go on at a time of its own after a cut.
    fn cut_both_ways(&mut self, one: usize, other: usize, at: u64, length: u64) {
        let longer = match self.random.random_bool(0.5) {
            true => length,
            false => self.random.random_range(length..2 * length),
        };
        self.add(at, length, Fault::CutPeers(one, other));
        self.add(at, longer, Fault::CutPeers(other, one));
    }

    /// Messages of a gateway, or those to it, do not arrive at some or all gateways and agents.
    fn cut_ways(&mut self, at: u64, length: u64) -> Vec<usize> {
        let gateway = self.gateway();
        let is_outbound = self.random.random_bool(0.5);
        let (hits_gateways, hits_agents) = match self.random.random_range(0..3) {
            0 => (true, false),
            1 => (false, true),
            _ => (true, true),
        };
        let share = self.random.random_range(0.3..=1.0);
        for other in (0..self.gateways).filter(|other| hits_gateways && *other != gateway) {
            if self.random.random_bool(share) {
                let cut = match is_outbound {
                    true => Fault::CutPeers(gateway, other),
                    false => Fault::CutPeers(other, gateway),
                };
                self.add(at, length, cut);
            }
        }
        for agent in (0..self.workers).filter(|_| hits_agents) {
            if self.random.random_bool(share) {
                self.add(at, length, Fault::CutWay(agent, gateway, !is_outbound));
            }
        }
        vec![gateway]
    }

    fn slow_gateways(&mut self, at: u64, length: u64) -> Vec<usize> {
        let mut hit = vec![self.gateway()];
        if self.random.random_bool(0.3) {
            hit.push(self.gateway());
        }
        for gateway in hit.clone() {
            let factor = self.random.random_range(LEAST_SLOW..=MOST_SLOW);
            self.add(at, length, Fault::SlowGateway(gateway, factor));
        }
        hit
    }

    /// One or two gateways and some agents, fewer than all, lose their links to the others.
    fn cut_zone(&mut self, at: u64, length: u64) -> Vec<usize> {
        let first = self.gateway();
        let second = self.gateway();
        let has_two = self.gateways > 3 && self.random.random_bool(0.3);
        let is_inside = |gateway| gateway == first || has_two && gateway == second;
        let offset = self.random.random_range(0..self.workers);
        let count = self.random.random_range(1..self.workers);
        let workers = self.workers;
        let is_agent_inside = |agent| (agent + offset) % workers < count;
        for gateway in 0..self.gateways {
            for other in (0..self.gateways).filter(|other| is_inside(gateway) != is_inside(*other))
            {
                self.add(at, length, Fault::CutPeers(gateway, other));
            }
            for agent in (0..workers).filter(|agent| is_inside(gateway) != is_agent_inside(*agent))
            {
                for is_to_gateway in [true, false] {
                    self.add(at, length, Fault::CutWay(agent, gateway, is_to_gateway));
                }
            }
        }
        let mut outside = (0..self.gateways).filter(|gateway| !is_inside(*gateway));
        [Some(first), outside.next()]
            .into_iter()
            .flatten()
            .collect()
    }

    fn lose_callers(&mut self, hit: Vec<usize>, at: u64, length: u64) {
        for gateway in hit {
            for _ in 0..self.random.random_range(1..3) {
                let lost_at = match self.random.random_range(0..3) {
                    0 => at,
                    1 => at - self.random.random_range(0..at.min(2_000_000)),
                    _ => at + self.random.random_range(0..length),
                };
                let resubmitted_after = match self.random.random_bool(0.6) {
                    true => RESEND,
                    false => self.random.random_range(RESEND..LATEST_RESUBMISSION),
                };
                let notice = self.random.random_range(1_000..LATEST_NOTICE);
                self.add(
                    lost_at,
                    notice,
                    Fault::MoveCallers(gateway, resubmitted_after),
                );
            }
        }
    }
}
