//! Fair ordering of jobs under overload: jobs of the group with the lowest recent on-time rate
//! go first.
//!
//! Jobs are grouped by queue and size. Large jobs are harder to place and would otherwise
//! starve. Each gateway counts only its own callers, but agents compare ranks across gateways,
//! so that callers of a gateway with a lower on-time rate go first as well.

use std::collections::BTreeMap;

use laurelstile_types::time::{Span, Timestamp};
use serde::{Deserialize, Serialize};

use super::super::queue_key::QueueKey;
use super::super::usage::ServedCount;

/// Half-life of the weight of an answered job.
const HALF_LIFE: Span = Span::from_secs(3);
/// Weight of the prior, in jobs: a group's prior is the rate of its queue, and a queue's prior
/// is 1.
const PRIOR_WEIGHT: f64 = 4.0;
/// Step by which each job moves a size bound, on a logarithmic scale.
const BOUND_STEP: f64 = 0.05;

/// Size of a job relative to other jobs of its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum SizeGroup {
    /// A job among the smallest 70% of its queue.
    #[serde(rename = "o")]
    Ordinary,
    /// A job larger than 70% of its queue, but not among the largest 10%.
    #[serde(rename = "l")]
    Large,
    /// A job among the largest 10% of its queue.
    #[serde(rename = "x")]
    Largest,
}

impl SizeGroup {
    /// All size groups.
    pub const ALL: [Self; 3] = [Self::Ordinary, Self::Large, Self::Largest];

    /// Name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ordinary => "ordinary",
            Self::Large => "large",
            Self::Largest => "largest",
        }
    }
}

/// On-time rates of a queue and its size groups, and the bounds between the groups.
#[derive(Debug, Default)]
struct QueueRates {
    all: OnTimeRate,
    groups: [OnTimeRate; 3],
    /// Logarithms of the work above which a job is `Large` and `Largest`; `None` before the
    /// first job.
    bounds: Option<[f64; 2]>,
}

/// Target fraction of jobs above each bound.
const FRACTIONS_ABOVE_BOUNDS: [f64; 2] = [0.3, 0.1];

/// Largest weight of the jobs of one queue and size group that one agent tells of. Some five times
/// what an agent of a deployment with 800 jobs a second and 50 agents tells in all.
const MAX_TOLD_JOBS: f64 = 200.0;
/// Largest number of queues that agents may tell of.
const MAX_TOLD_QUEUES: usize = 64;
/// How long what agents told is used: after 15 half-lives the counts of 100 agents weigh less than one
/// job.
const TOLD_RETENTION: Span = Span(HALF_LIFE.0 * 15);

/// Exponentially decayed counts of answered jobs and of those that completed on time.
#[derive(Clone, Copy, Debug, Default)]
pub(in super::super) struct OnTimeRate {
    on_time: f64,
    answered: f64,
    updated_at: Timestamp,
}

/// On-time rates of all queues.
#[derive(Debug, Default)]
pub struct OnTimeRates {
    queues: BTreeMap<String, QueueRates>,
    /// How queues were served by all gateways, as agents told this one.
    told: BTreeMap<QueueKey, ToldRates>,
    /// When an agent last told of any queue.
    told_at: Timestamp,
}

/// What agents told of one queue.
#[derive(Clone, Copy, Debug, Default)]
struct ToldRates {
    all: OnTimeRate,
    groups: [OnTimeRate; 3],
}

impl OnTimeRates {
    /// The size group of a job with `work` core-milliseconds. Also moves the bounds towards
    /// the target fractions.
    pub fn group_of(&mut self, queue: &str, work: u64) -> SizeGroup {
        self.queue(queue).group_of(work)
    }

    /// Records an answered job.
    pub fn record(&mut self, now: Timestamp, queue: &str, group: SizeGroup, is_on_time: bool) {
        let rates = self.queue(queue);
        rates.all.record(now, is_on_time);
        rates.groups[group as usize].record(now, is_on_time);
        if now.since(self.told_at) > TOLD_RETENTION {
            self.told.clear();
        }
    }

    /// Recent on-time rate of a group, in thousandths.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "between 0 and 1000"
    )]
    pub fn permille(&self, now: Timestamp, queue: &str, group: SizeGroup) -> u32 {
        let told = self.told_of(queue);
        let prior = told.map_or(1.0, |told| told.all.ratio(now, 1.0));
        let rates = self.queues.get(queue);
        let all = rates.map_or(prior, |rates| rates.all.ratio(now, prior));
        let group_prior = told.map_or(all, |told| told.groups[group as usize].ratio(now, all));
        let rate = rates.map_or(group_prior, |rates| {
            rates.groups[group as usize].ratio(now, group_prior)
        });
        (rate * 1_000.0) as u32
    }

    /// Adds what an agent tells of how queues were served. It is the prior of the queues' own rates,
    /// so it decides only where this gateway has answered few jobs.
    pub fn record_told(&mut self, now: Timestamp, counts: &[ServedCount]) {
        for count in counts {
            let is_known = self.told.contains_key(&count.queue);
            if !is_known && self.told.len() >= MAX_TOLD_QUEUES {
                continue;
            }
            let answered = f64::from(count.answered);
            let on_time = f64::from(count.on_time.min(count.answered));
            let scale = (MAX_TOLD_JOBS / answered.max(1.0)).min(1.0);
            let (answered, on_time) = (answered * scale, on_time * scale);
            let told = self.told.entry(count.queue).or_default();
            told.all.add(now, answered, on_time);
            told.groups[count.group as usize].add(now, answered, on_time);
            self.told_at = now;
        }
    }

    /// What agents told of a queue, if any did lately.
    fn told_of(&self, queue: &str) -> Option<&ToldRates> {
        // Saves the hash in a gateway that has run for long.
        if self.told.is_empty() {
            return None;
        }
        self.told.get(&QueueKey::of(queue))
    }

    /// Removes the queues for which `is_kept` returns `false`.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.queues.retain(|queue, _| is_kept(queue));
    }

    fn queue(&mut self, queue: &str) -> &mut QueueRates {
        self.queues.entry(queue.to_owned()).or_default()
    }
}

impl QueueRates {
    #[expect(clippy::cast_precision_loss, reason = "work is far below 2^52")]
    fn group_of(&mut self, work: u64) -> SizeGroup {
        let work = (work.max(1) as f64).ln();
        let bounds = self.bounds.get_or_insert([work, work]);
        let [is_large, is_largest] = bounds.map(|bound| work > bound);
        for (bound, above) in bounds.iter_mut().zip(FRACTIONS_ABOVE_BOUNDS) {
            // Upward and downward steps balance when the target fraction of jobs is above the
            // bound.
            *bound += if work > *bound {
                BOUND_STEP * (1.0 - above)
            } else {
                -BOUND_STEP * above
            };
        }
        match (is_large, is_largest) {
            (_, true) => SizeGroup::Largest,
            (true, false) => SizeGroup::Large,
            (false, false) => SizeGroup::Ordinary,
        }
    }
}

impl OnTimeRate {
    fn record(&mut self, now: Timestamp, is_on_time: bool) {
        self.add(now, 1.0, f64::from(u8::from(is_on_time)));
    }

    /// Adds numbers of answered jobs and of those that were on time.
    pub(in super::super) fn add(&mut self, now: Timestamp, answered: f64, on_time: f64) {
        let decay = self.decay(now);
        self.answered = self.answered * decay + answered;
        self.on_time = self.on_time * decay + on_time;
        self.updated_at = now;
    }

    /// The decayed numbers of answered jobs and of those that were on time.
    pub(in super::super) fn counts(&self, now: Timestamp) -> (f64, f64) {
        let decay = self.decay(now);
        (self.answered * decay, self.on_time * decay)
    }

    fn ratio(&self, now: Timestamp, prior: f64) -> f64 {
        let decay = self.decay(now);
        (self.on_time * decay + PRIOR_WEIGHT * prior) / (self.answered * decay + PRIOR_WEIGHT)
    }

    /// Decay factor of the counts since the last update.
    #[expect(clippy::cast_precision_loss, reason = "spans are far below 2^52")]
    fn decay(&self, now: Timestamp) -> f64 {
        let half_lives = now.since(self.updated_at).0 as f64 / HALF_LIFE.0 as f64;
        0.5_f64.powf(half_lives)
    }
}
