//! Use of one worker by queue, averaged over the reports of its agent.

use std::collections::BTreeMap;

use laurelstile_types::time::{Span, Timestamp};

use crate::leased::queue_key::QueueKey;
use crate::leased::usage::{QueueLoad, UsageReport};

/// Age of the latest report above which a worker's usage does not count. Agents renew it about each
/// 100 ms, so that a few messages may be late or lost.
pub const MAX_USAGE_AGE: Span = Span::from_millis(500);
/// Half-life of the weight of a report. A queue's demand varies with each of its jobs; without
/// averages the order of the queues would change as often.
const HALF_LIFE: Span = Span::from_millis(100);

/// Use of one worker by queue.
#[derive(Debug, Default)]
pub struct WorkerUsage {
    /// When the latest report was received; `None` before the first.
    received_at: Option<Timestamp>,
    /// Whether the latest report named a queue.
    has_loads: bool,
    /// Average of the reports, by queue.
    loads: BTreeMap<QueueKey, AverageLoad>,
}

/// Average use of one worker by a queue, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
pub struct AverageLoad {
    /// Capacity that the queue's runs take.
    pub running: f64,
    /// Capacity that its tasks wait for.
    pub waiting: f64,
}

/// Average load below which a queue that is no longer reported is forgotten.
const MIN_LOAD: f64 = 1.0;

impl WorkerUsage {
    /// Includes a report in the averages. The first one, and one after a long pause, replaces them.
    pub fn record(&mut self, now: Timestamp, report: &UsageReport) {
        let weight = self.weight_of_report(now);
        for load in self.loads.values_mut() {
            load.running *= 1.0 - weight;
            load.waiting *= 1.0 - weight;
        }
        for QueueLoad {
            queue,
            running_cpu_millis,
            waiting_cpu_millis,
        } in &report.loads
        {
            let load = self.loads.entry(*queue).or_default();
            load.running += weight * f64::from(*running_cpu_millis);
            load.waiting += weight * f64::from(*waiting_cpu_millis);
        }
        self.loads
            .retain(|_, load| load.running + load.waiting >= MIN_LOAD);
        self.received_at = Some(now);
        self.has_loads = !report.loads.is_empty();
    }

    /// The average load of each queue; none if the usage was not reported lately.
    pub fn recent(&self, now: Timestamp) -> impl Iterator<Item = (QueueKey, AverageLoad)> {
        let is_recent = self.is_recent(now);
        let loads = self.loads.iter().filter(move |_| is_recent);
        loads.map(|(queue, load)| (*queue, *load))
    }

    /// The part of a worker's capacity that the demands are compared with, in thousandths of a core.
    ///
    /// An agent reports the runs of its worker only while a task waits for it. Otherwise it reports no
    /// usage, or an empty one, and what runs there is not known by queue. Then the capacity counts as
    /// far as it is `free` or its use is known from earlier reports. With all of it, full workers for
    /// which no task waits at the moment would look free, and contention would end again and again
    /// during a burst: while its jobs are refused, few tasks wait for each worker. With none of it,
    /// idle workers would not prevent contention.
    pub fn counted_capacity(&self, now: Timestamp, capacity: u32, free: u32) -> u64 {
        let capacity = u64::from(capacity);
        if self.has_loads && self.is_recent(now) {
            return capacity;
        }
        let running = self.recent(now).map(|(_, load)| rounded(load.running));
        let known = running.fold(u64::from(free), u64::saturating_add);
        capacity.min(known)
    }

    /// Whether the usage was reported lately.
    pub fn is_recent(&self, now: Timestamp) -> bool {
        self.received_at
            .is_some_and(|at| now.since(at) <= MAX_USAGE_AGE)
    }

    /// Weight of a report that is received now, relative to all.
    #[expect(clippy::cast_precision_loss, reason = "spans are far below 2^52")]
    fn weight_of_report(&self, now: Timestamp) -> f64 {
        match self.received_at.filter(|_| self.is_recent(now)) {
            Some(at) => 1.0 - 0.5_f64.powf(now.since(at).0 as f64 / HALF_LIFE.0 as f64),
            None => 1.0,
        }
    }
}

/// A load in whole thousandths of a core.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "averages of 32-bit numbers"
)]
pub fn rounded(cpu_millis: f64) -> u64 {
    cpu_millis.round() as u64
}
