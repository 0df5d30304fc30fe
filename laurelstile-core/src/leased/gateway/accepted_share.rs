//! The share of each queue's jobs of which something is placed, and the share to reject at arrival.
//!
//! At a gateway with a small part of a service's load, the wait of a single job is hardly known, but
//! the share of the arrivals that will be refused after their wait is. Rejecting that share at arrival
//! lets these callers go elsewhere at once. The rejections are spread evenly over the arrivals.

use std::collections::BTreeMap;

use laurelstile_types::time::{Span, Timestamp};

/// Half-life of the counts: some fifty arrivals at a gateway that receives a hundred jobs a second.
const HALF_LIFE: Span = Span::from_millis(500);
/// Number of arrivals (decayed) from which the share is known. With fewer, single jobs decide it; with
/// more, nothing would be known of queues with few large jobs.
const MIN_ARRIVALS: f64 = 10.0;
/// Jobs admitted for each accepted one. The excess waits and is accepted when capacity returns.
const ADMITTED_PER_ACCEPTED: f64 = 1.05;
/// Nothing is rejected if the last refusal after a wait is older than this: the admitted excess is
/// then being placed.
const MAX_REFUSAL_AGE: Span = Span::from_millis(500);
/// Maximum number of rejections that are still due. Arrivals that are placed at once are never
/// rejected, and the rejections due from them are made up for by the next ones that wait.
const MAX_DUE: f64 = 4.0;

/// Counts of all queues.
#[derive(Debug, Default)]
pub struct AcceptedShares {
    queues: BTreeMap<String, QueueCounts>,
}

/// Why a job is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpectedShare {
    /// Jobs of the queue that arrived, counted with a half-life of 500 ms.
    pub arrived: u64,
    /// Jobs of which something was placed, counted in the same way.
    pub accepted: u64,
}

#[derive(Debug, Default)]
struct QueueCounts {
    arrived: f64,
    accepted: f64,
    /// Time to which the counts refer.
    updated_at: Timestamp,
    /// Sum of the shares to reject of the arrivals, less the rejections.
    due: f64,
    /// The last refusal of a job after a wait.
    refused_at: Option<Timestamp>,
}

impl AcceptedShares {
    /// Counts an arrival.
    pub fn record_arrival(&mut self, now: Timestamp, queue: &str) {
        let counts = self.counts(now, queue);
        counts.arrived += 1.0;
        match counts.excess(now) {
            Some(excess) => counts.due = (counts.due + excess).min(MAX_DUE),
            None => counts.due = 0.0,
        }
    }

    /// Counts a job of which something is placed.
    pub fn record_accepted(&mut self, now: Timestamp, queue: &str) {
        self.counts(now, queue).accepted += 1.0;
    }

    /// Takes back an accepted job, because agents returned all its tasks without starting them.
    pub fn record_returned(&mut self, now: Timestamp, queue: &str) {
        let counts = self.counts(now, queue);
        counts.accepted = (counts.accepted - 1.0).max(0.0);
    }

    /// Records that a job was refused after a wait.
    pub fn record_refusal(&mut self, now: Timestamp, queue: &str) {
        self.counts(now, queue).refused_at = Some(now);
    }

    /// Whether a job that has arrived and is not placed is to be rejected. Each rejection returned is
    /// to be carried out.
    pub fn take_rejection(&mut self, now: Timestamp, queue: &str) -> Option<ExpectedShare> {
        let counts = self.queues.get_mut(queue)?;
        if counts.due < 1.0 {
            return None;
        }
        counts.due -= 1.0;
        let (arrived, accepted) = counts.decayed(now);
        Some(ExpectedShare {
            arrived: rounded(arrived),
            accepted: rounded(accepted),
        })
    }

    /// Removes the queues for which `is_kept` returns `false`.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.queues.retain(|name, _| is_kept(name));
    }

    /// The counts of a queue, advanced to `now`.
    fn counts(&mut self, now: Timestamp, queue: &str) -> &mut QueueCounts {
        if !self.queues.contains_key(queue) {
            self.queues.insert(queue.to_owned(), QueueCounts::default());
        }
        let counts = self.queues.entry(queue.to_owned()).or_default();
        (counts.arrived, counts.accepted) = counts.decayed(now);
        counts.updated_at = now.max(counts.updated_at);
        counts
    }
}

impl QueueCounts {
    /// Arrived and accepted jobs as of `now`.
    #[expect(clippy::cast_precision_loss, reason = "spans are far below 2^52")]
    fn decayed(&self, now: Timestamp) -> (f64, f64) {
        let half_lives = now.since(self.updated_at).0 as f64 / HALF_LIFE.0 as f64;
        let decay = 0.5_f64.powf(half_lives);
        (self.arrived * decay, self.accepted * decay)
    }

    /// Share of the arrivals to reject; `None` if nothing is to be rejected.
    fn excess(&self, now: Timestamp) -> Option<f64> {
        let is_refusing = now.since(self.refused_at?) <= MAX_REFUSAL_AGE;
        if !is_refusing || self.arrived < MIN_ARRIVALS {
            return None;
        }
        let excess = 1.0 - ADMITTED_PER_ACCEPTED * self.accepted / self.arrived;
        (excess > 0.0).then_some(excess)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "positive and far below 2^52"
)]
fn rounded(count: f64) -> u64 {
    count.round() as u64
}
