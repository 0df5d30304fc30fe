//! Order of the queues' priorities.

use super::queues::QueueConfiguration;

/// The largest position. Ranks of waiting jobs have no room for more, and no configuration has as many
/// queues.
pub const MAX_POSITION: u32 = 2_000_000;

/// Positions of priorities in an order with room for [`MAX_POSITION`]. A priority may be any number,
/// and only its order among the others matters.
#[derive(Debug, Default)]
pub struct PriorityOrder {
    /// The priorities in force, ascending and distinct, if one is larger than [`MAX_POSITION`]; empty
    /// otherwise.
    numbered: Vec<u32>,
}

impl PriorityOrder {
    /// The order of the priorities of a configuration.
    ///
    /// Priorities that have room are their own positions. Gateways that have different configurations
    /// in force for a while, or an older version, then order jobs in the same way.
    pub fn of(configuration: &QueueConfiguration) -> Self {
        let queues = configuration.queues.iter();
        let mut numbered: Vec<u32> = queues.map(|queue| queue.priority).collect();
        numbered.sort_unstable();
        numbered.dedup();
        if numbered.last().is_none_or(|last| *last <= MAX_POSITION) {
            numbered.clear();
        }
        Self { numbered }
    }

    /// Position of a priority, also of a queue that has been removed; at most [`MAX_POSITION`].
    pub fn position(&self, priority: u32) -> u32 {
        if self.numbered.is_empty() {
            return priority.min(MAX_POSITION);
        }
        let earlier = self.numbered.partition_point(|other| *other < priority);
        u32::try_from(earlier).map_or(MAX_POSITION, |position| position.min(MAX_POSITION))
    }
}
