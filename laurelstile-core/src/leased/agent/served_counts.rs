//! How queues were served lately, as gateways tell this agent. It tells each gateway process once, so
//! that one that starts after the loss of all gateways knows which queues were served worst.

use std::collections::{BTreeMap, VecDeque};

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::Timestamp;

use super::super::gateway::on_time_rates::{OnTimeRate, SizeGroup};
use super::super::queue_key::QueueKey;
use super::super::usage::{MAX_SERVED_COUNTS, ServedCount, ServedCounts};

/// Gateway processes that are remembered as told; beyond this the oldest are forgotten.
const MAX_TOLD_GATEWAYS: usize = 64;
/// Largest number of jobs that one count is taken for: a gateway answers fewer in a second.
const MAX_COUNTED_JOBS: u32 = 10_000;
/// Decayed number of jobs below which a count says nothing.
const MIN_JOBS: f64 = 0.5;

/// Decayed counts by queue and size group.
#[derive(Debug, Default)]
pub struct ServedHistory {
    counts: BTreeMap<(QueueKey, SizeGroup), OnTimeRate>,
    told: VecDeque<Incarnation>,
}

impl ServedHistory {
    /// Adds what a gateway has counted since it last told any agent.
    pub fn record(&mut self, now: Timestamp, counts: &[ServedCount]) {
        for count in counts.iter().take(MAX_SERVED_COUNTS) {
            let answered = count.answered.min(MAX_COUNTED_JOBS);
            let on_time = count.on_time.min(answered);
            let key = (count.queue, count.group);
            if answered > 0 && self.has_room_for(now, key) {
                let rate = self.counts.entry(key).or_default();
                rate.add(now, f64::from(answered), f64::from(on_time));
            }
        }
    }

    /// Whether a gateway process is to be told, as its first session opens. Returns `true` once for
    /// each.
    pub fn is_owed_to(&mut self, gateway: Incarnation) -> bool {
        if self.told.contains(&gateway) {
            return false;
        }
        if self.told.len() >= MAX_TOLD_GATEWAYS {
            self.told.pop_front();
        }
        self.told.push_back(gateway);
        true
    }

    /// The counts as of `now`; `None` if nothing was answered lately.
    pub fn counts(&self, now: Timestamp) -> Option<Box<ServedCounts>> {
        let counts = self.counts.iter().filter_map(|((queue, group), rate)| {
            let (answered, on_time) = rate.counts(now);
            (answered >= MIN_JOBS).then(|| ServedCount {
                queue: *queue,
                group: *group,
                answered: rounded(answered),
                on_time: rounded(on_time),
            })
        });
        let counts: Vec<ServedCount> = counts.collect();
        (!counts.is_empty()).then(|| Box::new(ServedCounts(counts)))
    }

    /// Whether a count is kept or may be added. Counts that say nothing any more make room.
    fn has_room_for(&mut self, now: Timestamp, key: (QueueKey, SizeGroup)) -> bool {
        if self.counts.len() < MAX_SERVED_COUNTS || self.counts.contains_key(&key) {
            return true;
        }
        self.counts.retain(|_, rate| rate.counts(now).0 >= MIN_JOBS);
        self.counts.len() < MAX_SERVED_COUNTS
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "not negative; a cast of a large number saturates"
)]
fn rounded(jobs: f64) -> u32 {
    jobs.round() as u32
}
