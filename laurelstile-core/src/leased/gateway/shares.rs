//! Which callers go first when there is not room for all: those of whom the smallest
//! share was served in time lately.
//!
//! Jobs are grouped by queue and size. Wide and long jobs find room less easily, so
//! without this they would be the ones to go without. Each gateway counts its own
//! callers; since agents compare the ranks of several gateways, callers of a gateway
//! that is worse off go first too.

use std::collections::BTreeMap;

use laurelstile_types::time::{Span, Timestamp};

/// A job that was answered counts half after so long.
const HALF_LIFE: Span = Span::from_secs(3);
/// So many jobs of a group weigh as much as its queue's share, and so many of a queue
/// as much as a full share.
const PRIOR: f64 = 4.0;
/// How far a bound between two sizes moves with one job, as a logarithm.
const BOUND_STEP: f64 = 0.05;

/// How much work a job is, compared with others of its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SizeGroup {
    /// Seven of ten jobs.
    Ordinary,
    /// The fifth of the jobs above those.
    Large,
    /// The largest tenth.
    Largest,
}

impl SizeGroup {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ordinary => "ordinary",
            Self::Large => "large",
            Self::Largest => "largest",
        }
    }
}

/// The groups of one queue, and the bounds between them.
#[derive(Debug, Default)]
struct QueueShares {
    all: Share,
    groups: [Share; 3],
    /// Logarithms of the work above which a job is large, and largest.
    bounds: Option<[f64; 2]>,
}

/// Shares of jobs that lie above the two bounds.
const ABOVE_BOUNDS: [f64; 2] = [0.3, 0.1];

/// Jobs that were served in time, of those that were answered.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    served: f64,
    answered: f64,
    noted: Timestamp,
}

/// Shares of all queues.
#[derive(Debug, Default)]
pub struct Shares {
    queues: BTreeMap<String, QueueShares>,
}

impl Shares {
    /// The group of a job with so much work, in core-milliseconds. The bounds follow
    /// the jobs that come.
    pub fn group_of(&mut self, queue: &str, work: u64) -> SizeGroup {
        self.queue(queue).group_of(work)
    }

    /// A job was answered.
    pub fn note(&mut self, now: Timestamp, queue: &str, group: SizeGroup, is_in_time: bool) {
        let shares = self.queue(queue);
        shares.all.note(now, is_in_time);
        shares.groups[group as usize].note(now, is_in_time);
    }

    /// Share of a group that was served in time lately, in thousandths.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "between 0 and 1000"
    )]
    pub fn permille(&self, now: Timestamp, queue: &str, group: SizeGroup) -> u32 {
        let Some(shares) = self.queues.get(queue) else {
            return 1_000;
        };
        let all = shares.all.ratio(now, 1.0);
        let share = shares.groups[group as usize].ratio(now, all);
        (share * 1_000.0) as u32
    }

    /// Forgets the queues that `is_kept` does not name.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.queues.retain(|queue, _| is_kept(queue));
    }

    fn queue(&mut self, queue: &str) -> &mut QueueShares {
        self.queues.entry(queue.to_owned()).or_default()
    }
}

impl QueueShares {
    #[expect(clippy::cast_precision_loss, reason = "work is far below 2^52")]
    fn group_of(&mut self, work: u64) -> SizeGroup {
        let work = (work.max(1) as f64).ln();
        let bounds = self.bounds.get_or_insert([work, work]);
        let [is_large, is_largest] = bounds.map(|bound| work > bound);
        for (bound, above) in bounds.iter_mut().zip(ABOVE_BOUNDS) {
            // Rises and falls cancel out where the wanted share of jobs lies above.
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

impl Share {
    fn note(&mut self, now: Timestamp, is_in_time: bool) {
        let left = self.left(now);
        self.answered = self.answered * left + 1.0;
        self.served = self.served * left + f64::from(u8::from(is_in_time));
        self.noted = now;
    }

    fn ratio(&self, now: Timestamp, prior: f64) -> f64 {
        let left = self.left(now);
        (self.served * left + PRIOR * prior) / (self.answered * left + PRIOR)
    }

    /// What an answer of the time of the last one counts now.
    #[expect(clippy::cast_precision_loss, reason = "spans are far below 2^52")]
    fn left(&self, now: Timestamp) -> f64 {
        let half_lives = now.since(self.noted).0 as f64 / HALF_LIFE.0 as f64;
        0.5_f64.powf(half_lives)
    }
}
