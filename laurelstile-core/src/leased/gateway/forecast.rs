//! Forecast of how long unstarted jobs wait to be placed.
//!
//! Under overload, a caller whose job cannot be placed in time should hear so at once instead of
//! after its wait: it then still has time to go elsewhere. For each queue the forecast keeps the
//! backlog, which is the estimated work of the unstarted jobs, and the drain rate, which is the work
//! of unstarted jobs placed in a second while there was a backlog. The expected wait of a job is the
//! backlog ahead of it divided by the drain rate.
//!
//! A wrong rejection loses work that could have been done, a wrong admission only costs the caller
//! the wait that it had before. In doubt the forecast therefore admits.

use std::collections::{BTreeMap, VecDeque};

use laurelstile_types::time::{Span, Timestamp};

/// Half-life of the drain rate. After workers were lost or returned, the rate is off by at most a
/// half after this time. A shorter one would follow single placements: a gateway places some ten
/// large jobs in it.
const HALF_LIFE: Span = Span::from_millis(250);
/// Number of placements from which the drain rate is known. With fewer, one large job decides the
/// rate.
const MIN_PLACEMENTS: usize = 8;
/// Placements older than this are not known any more: they weigh less than 1/256 in the rate.
const PLACEMENT_MEMORY: Span = Span(HALF_LIFE.0 * 8);
/// The drain rate is unknown if the last placement is older than this. Placements that stop
/// altogether say nothing about when they go on.
const MAX_PLACEMENT_AGE: Span = Span::from_millis(300);
/// Minimum age of the backlog. Shorter ones are bursts that the ends of running tasks absorb:
/// placement alone takes a few milliseconds after an end.
const MIN_BACKLOG_AGE: Span = Span::from_millis(50);
/// Maximum interruption of a backlog that does not end it. In a lasting overload the backlog of a
/// queue with short objectives is empty for some milliseconds again and again.
const MAX_INTERRUPTION: Span = Span::from_millis(50);
/// A job is rejected if its expected wait is over the time until its refusal divided by this. The
/// margin covers jobs that arrive later and are ordered first, and keeps enough jobs waiting that
/// freed resources are used at once.
const WAIT_DIVISOR: u64 = 2;

/// Backlogs and drain rates of all queues.
#[derive(Debug, Default)]
pub struct Forecast {
    queues: BTreeMap<String, QueueForecast>,
}

/// Why a job is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpectedWait {
    /// Expected time until the job would be placed.
    pub wait: Span,
    /// Maximum expected wait with which the job would have been admitted.
    pub limit: Span,
    /// Estimated work of the jobs ahead, in core-milliseconds.
    pub ahead: u64,
    /// Drain rate of the queue, in core-milliseconds per second.
    pub drain_rate: u64,
}

/// Backlog and drain rate of a queue.
#[derive(Debug, Default)]
struct QueueForecast {
    /// Number of unstarted jobs.
    jobs: u32,
    /// Estimated work of the unstarted jobs, in core-milliseconds.
    backlog: u64,
    /// When the backlog began, without regard to interruptions shorter than [`MAX_INTERRUPTION`].
    backlog_since: Timestamp,
    /// When the backlog was last empty.
    empty_since: Timestamp,
    /// Decayed work of unstarted jobs placed while there was a backlog, in core-milliseconds.
    placed: f64,
    /// Decayed time with a backlog, in seconds.
    backlog_seconds: f64,
    /// Time to which the decayed values refer.
    updated_at: Timestamp,
    /// Times of the latest placements while there was a backlog.
    placements: VecDeque<Timestamp>,
}

/// Maximum expected wait of a submitted job that would be refused after `until_refusal`.
pub fn wait_limit(until_refusal: Span) -> Span {
    Span(until_refusal.0 / WAIT_DIVISOR)
}

impl Forecast {
    /// Adds an unstarted job of `work` core-milliseconds to the backlog.
    pub fn add(&mut self, now: Timestamp, queue: &str, work: u64) {
        let queue = self.queue(now, queue);
        queue.jobs += 1;
        queue.backlog += work;
        if queue.jobs == 1 && now.since(queue.empty_since) >= MAX_INTERRUPTION {
            queue.backlog_since = now;
        }
    }

    /// Removes a job from the backlog that was added with the same `work`.
    pub fn remove(&mut self, now: Timestamp, queue: &str, work: u64) {
        let queue = self.queue(now, queue);
        queue.jobs = queue.jobs.saturating_sub(1);
        queue.backlog = queue.backlog.saturating_sub(work);
        if queue.jobs == 0 {
            queue.empty_since = now;
        }
    }

    /// Records that an unstarted job was placed, and returns whether the placement counts: without
    /// a backlog it does not. Call it before the job is removed from the backlog.
    pub fn record_placed(&mut self, now: Timestamp, queue: &str, work: u64) -> bool {
        let queue = self.queue(now, queue);
        if queue.jobs == 0 {
            return false;
        }
        queue.placed += as_f64(work);
        queue.placements.push_back(now);
        if queue.placements.len() > MIN_PLACEMENTS {
            queue.placements.pop_front();
        }
        true
    }

    /// Takes back a placement that counted, because agents returned the job's tasks without
    /// starting them.
    pub fn record_returned(&mut self, now: Timestamp, queue: &str, work: u64) {
        let queue = self.queue(now, queue);
        if queue.placements.pop_back().is_some() {
            queue.placed = (queue.placed - as_f64(work)).max(0.0);
        }
    }

    /// Estimated work of the queue's unstarted jobs, in core-milliseconds.
    pub fn backlog(&self, queue: &str) -> u64 {
        self.queues.get(queue).map_or(0, |queue| queue.backlog)
    }

    /// Drain rate of a queue in core-milliseconds per second; `None` if too few placements are
    /// known or the last one is too old.
    pub fn drain_rate(&self, now: Timestamp, queue: &str) -> Option<f64> {
        self.queues.get(queue)?.drain_rate(now)
    }

    /// The forecast for a submitted job with `ahead` core-milliseconds ahead of it, if it is to be
    /// rejected; `None` if it is admitted. `until_refusal` is the time after which the job would be
    /// refused.
    pub fn rejection(
        &self,
        now: Timestamp,
        queue: &str,
        ahead: u64,
        until_refusal: Span,
    ) -> Option<ExpectedWait> {
        self.wait_over(now, queue, ahead, wait_limit(until_refusal))
    }

    /// The forecast for a job with `ahead` core-milliseconds ahead of it, if its expected wait is over
    /// `limit`; `None` if it is not, or in doubt.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "positive; the cast saturates"
    )]
    pub fn wait_over(
        &self,
        now: Timestamp,
        queue: &str,
        ahead: u64,
        limit: Span,
    ) -> Option<ExpectedWait> {
        let queue = self.queues.get(queue)?;
        if queue.jobs == 0 || now.since(queue.backlog_since) < MIN_BACKLOG_AGE {
            return None;
        }
        let drain_rate = queue.drain_rate(now)?;
        let wait = Span((as_f64(ahead) / drain_rate * 1e6) as u64);
        (wait > limit).then_some(ExpectedWait {
            wait,
            limit,
            ahead,
            drain_rate: drain_rate as u64,
        })
    }

    /// Removes the queues without a backlog for which `is_kept` returns `false`.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.queues
            .retain(|name, queue| queue.jobs > 0 || is_kept(name));
    }

    /// The queue, with its decayed values advanced to `now`.
    fn queue(&mut self, now: Timestamp, name: &str) -> &mut QueueForecast {
        if !self.queues.contains_key(name) {
            self.queues
                .insert(name.to_owned(), QueueForecast::default());
        }
        let queue = self.queues.entry(name.to_owned()).or_default();
        (queue.placed, queue.backlog_seconds) = queue.decayed(now);
        queue.updated_at = now.max(queue.updated_at);
        queue
    }
}

impl QueueForecast {
    /// Decayed work placed and decayed seconds with a backlog, as of `now`.
    fn decayed(&self, now: Timestamp) -> (f64, f64) {
        let half_life = as_f64(HALF_LIFE.0);
        let decay = 0.5_f64.powf(as_f64(now.since(self.updated_at).0) / half_life);
        let elapsed = if self.jobs > 0 {
            // Integral of the decaying weight over the time since the last update.
            (1.0 - decay) * half_life / std::f64::consts::LN_2 / 1e6
        } else {
            0.0
        };
        (self.placed * decay, self.backlog_seconds * decay + elapsed)
    }

    fn drain_rate(&self, now: Timestamp) -> Option<f64> {
        let is_stopped = now.since(*self.placements.back()?) > MAX_PLACEMENT_AGE;
        let has_enough = self.placements.len() >= MIN_PLACEMENTS
            && now.since(*self.placements.front()?) <= PLACEMENT_MEMORY;
        if is_stopped || !has_enough {
            return None;
        }
        let (placed, seconds) = self.decayed(now);
        (placed > 0.0 && seconds > 0.0).then(|| placed / seconds)
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "work and spans are far below 2^52"
)]
fn as_f64(value: u64) -> f64 {
    value as f64
}
