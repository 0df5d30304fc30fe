//! Fair shares of a service's capacity between queues under contention.
//!
//! A queue whose demand grows takes capacity from queues whose demand has not changed. Max-min
//! fairness bounds this: each queue gets what it demands up to a common level, and only queues
//! that demand more than the level compete for what is left.

/// Part of a share, in percent, that stands for the whole.
const WHOLE_PERCENT: u64 = 100;

/// Whether a queue is within its fair share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The queue demands no more than its fair share, or runs less than the guaranteed part of
    /// it.
    Guaranteed,
    /// The queue demands more than its fair share and runs at least the guaranteed part of it.
    Contending,
}

impl Standing {
    /// Name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Guaranteed => "guaranteed",
            Self::Contending => "contending",
        }
    }
}

/// What a queue takes and wants of a service, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Capacity that its runs take.
    pub running: u64,
    /// Capacity that its waiting tasks want.
    pub waiting: u64,
    /// Capacity that the queue gets before others if it demands it; 0 if it has no floor.
    pub floor: u64,
}

impl Demand {
    /// Running and waiting capacity.
    pub fn total(self) -> u64 {
        self.running.saturating_add(self.waiting)
    }

    /// The part of the demand that the floor covers.
    fn covered_by_floor(self) -> u64 {
        self.total().min(self.floor)
    }

    /// Share of the queue if all queues without a floor have at most `level`.
    fn share_at(self, level: u64) -> u64 {
        self.total().min(level.max(self.floor))
    }

    /// Whether a queue with this demand and a fair share of `share` runs less than `floor_percent` of
    /// it, which it keeps before priorities decide.
    pub fn is_below_floor(self, share: u64, floor_percent: u32) -> bool {
        self.running < share.saturating_mul(u64::from(floor_percent)) / WHOLE_PERCENT
    }
}

/// Whether the demands exceed `capacity`.
pub fn is_contended(capacity: u64, demands: &[Demand]) -> bool {
    sum(demands.iter().map(|demand| demand.total())) > capacity
}

/// The fair share of each demand, in the same order: max-min fair with equal weights, where a
/// queue with a floor has at least the smaller of its demand and its floor. The shares add up to
/// `capacity` at most, less than one unit per queue below it if the demands exceed it.
pub fn fair_shares(capacity: u64, demands: &[Demand]) -> Vec<u64> {
    let floors = sum(demands.iter().map(|demand| demand.covered_by_floor()));
    if floors > capacity {
        return scaled_floors(capacity, floors, demands);
    }
    let level = highest_level(capacity, demands);
    demands
        .iter()
        .map(|demand| demand.share_at(level))
        .collect()
}

/// The highest common level at which the shares add up to `capacity` at most.
fn highest_level(capacity: u64, demands: &[Demand]) -> u64 {
    let (mut fitting, mut exceeding) = (0, capacity.saturating_add(1));
    while exceeding - fitting > 1 {
        let level = fitting + (exceeding - fitting) / 2;
        let shares = demands.iter().map(|demand| demand.share_at(level));
        if sum(shares) <= capacity {
            fitting = level;
        } else {
            exceeding = level;
        }
    }
    fitting
}

/// Shares if the floors alone exceed the capacity, which they do if queues of several
/// configurations are present: each floor is reduced in proportion.
fn scaled_floors(capacity: u64, floors: u64, demands: &[Demand]) -> Vec<u64> {
    let scaled = |floor: u64| {
        let part = u128::from(floor) * u128::from(capacity) / u128::from(floors);
        u64::try_from(part).unwrap_or(u64::MAX)
    };
    demands
        .iter()
        .map(|demand| scaled(demand.covered_by_floor()))
        .collect()
}

fn sum(values: impl Iterator<Item = u64>) -> u64 {
    values.fold(0, u64::saturating_add)
}
