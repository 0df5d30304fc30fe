//! Jobs that callers submit, drawn from a seed.

use laurelstile_types::id::IdempotencyKey;
use rand::Rng;
use rand::distr::{Distribution, Uniform};

/// A job of the workload.
#[derive(Clone, Debug)]
pub struct SimJob {
    /// When it is submitted, in microseconds.
    pub at: u64,
    /// Index of its tenant.
    pub tenant: usize,
    /// Run time of each task on a worker of usual speed, in microseconds.
    pub runs: Vec<u64>,
    /// Key, if the request may not be repeated.
    pub key: Option<IdempotencyKey>,
}

/// What a workload is drawn from.
#[derive(Clone, Copy, Debug)]
pub struct WorkloadPlan {
    /// Length, in microseconds.
    pub length: u64,
    /// Slots that serve it.
    pub slots: u32,
    /// Mean load, as a share of the slots.
    pub load: f64,
    /// Load in the bursts, as a multiple of the mean.
    pub burst: f64,
    /// Most tasks of a job.
    pub max_tasks: u32,
    /// Number of tenants.
    pub tenants: usize,
    /// Share of the requests that may not be repeated, in thousandths.
    pub unrepeatable_permille: u32,
}

const SHORTEST_RUN: u64 = 50_000;
const LONGEST_RUN: u64 = 1_000_000;
const BURST_PERIOD: u64 = 10_000_000;

/// Draws a workload: jobs of a uniform number of tasks of 50 ms to 1 s, in a
/// Poisson stream that alternates between bursts and lulls.
pub fn draw(plan: WorkloadPlan, random: &mut impl Rng) -> Vec<SimJob> {
    let mut jobs = Vec::new();
    let runs = Uniform::new_inclusive(SHORTEST_RUN, LONGEST_RUN)
        .unwrap_or_else(|_| unreachable!("the range is not empty"));
    let mean_run = f64_of(SHORTEST_RUN + LONGEST_RUN) / 2.0;
    let mean_tasks = f64::from(1 + plan.max_tasks) / 2.0;
    let mean_rate = plan.load * f64::from(plan.slots) / (mean_run * mean_tasks);
    let mut at = 0.0;
    loop {
        let in_burst = (u64_of(at) / BURST_PERIOD).is_multiple_of(2);
        let factor = if in_burst {
            plan.burst
        } else {
            2.0 - plan.burst
        };
        let gap = -random.random::<f64>().max(1e-12).ln() / (mean_rate * factor.max(0.05));
        at += gap;
        if u64_of(at) >= plan.length {
            return jobs;
        }
        let tasks = random.random_range(1..=plan.max_tasks);
        let unrepeatable = random.random_range(0..1_000) < plan.unrepeatable_permille;
        jobs.push(SimJob {
            at: u64_of(at),
            tenant: random.random_range(0..plan.tenants),
            runs: (0..tasks).map(|_| runs.sample(random)).collect(),
            key: unrepeatable.then(|| IdempotencyKey(format!("key-{}", jobs.len()))),
        });
    }
}

impl SimJob {
    /// How long an idle, perfect system of `slots` slots would take.
    pub fn ideal(&self, slots: u32) -> u64 {
        let longest = self.runs.iter().copied().max().unwrap_or(0);
        let spread = self.runs.iter().sum::<u64>() / u64::from(slots.max(1));
        longest.max(spread)
    }
}

#[expect(clippy::cast_precision_loss, reason = "times of a run are small")]
fn f64_of(value: u64) -> f64 {
    value as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "times of a run are small and positive"
)]
fn u64_of(value: f64) -> u64 {
    value as u64
}
