//! Experiments without faults: ways of scheduling, compared on one workload.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use laurelstile_core::gateway::Policy;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use serde::Serialize;

use crate::workload::{self, WorkloadPlan};
use crate::world::{RunResult, World, WorldPlan};

const GATEWAYS: usize = 3;
const AGENTS: usize = 11;
const SLOTS: u32 = 8;
const DEADLINE: u64 = 300_000_000;
/// Largest ratio that is told apart, in thousandths.
const LARGEST_RATIO: u64 = 1_000_000;
const THOUSAND: f64 = 1_000.0;

/// What an experiment gave.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Jobs answered.
    pub answered: u64,
    /// Mean of response over ideal.
    pub mean: f64,
    /// Median of response over ideal.
    pub p50: f64,
    /// 99th percentile of response over ideal.
    pub p99: f64,
    /// Messages between nodes for each task start.
    pub messages_per_task: f64,
    /// Messages by kind.
    pub messages: BTreeMap<&'static str, u64>,
}

/// Runs one policy at one load, 11 workers of 8 slots and 3 gateways, for
/// `seconds` of virtual time.
pub fn run(policy: Policy, load: f64, seconds: u64, seed: u64) -> Outcome {
    let slots = SLOTS * u32::try_from(AGENTS).unwrap_or(u32::MAX);
    let length = seconds * 1_000_000;
    let mut random = Pcg64::seed_from_u64(seed);
    let jobs = workload::draw(
        WorkloadPlan {
            length,
            slots,
            load,
            burst: 1.6,
            max_tasks: 120,
            tenants: 1,
            unrepeatable_permille: 0,
        },
        &mut random,
    );
    let plan = WorldPlan {
        seed,
        gateways: GATEWAYS,
        agents: AGENTS,
        slots: SLOTS,
        quotas: vec![slots],
        deadline: DEADLINE,
        latency: 500,
        caller_latency: 3_000,
        policy,
        sabotage: None,
    };
    let ideals: Vec<u64> = jobs.iter().map(|job| job.ideal(slots)).collect();
    let result = World::new(plan, jobs, Vec::new()).run(length + DEADLINE);
    outcome_of(&ideals, result)
}

/// The figures of a run whose jobs have these ideal times.
pub fn outcome_of(ideals: &[u64], result: RunResult) -> Outcome {
    let mut ratios = Histogram::<u64>::new_with_max(LARGEST_RATIO, 3)
        .unwrap_or_else(|_| unreachable!("three digits are within the histogram's range"));
    for (job, response) in &result.responses {
        let ratio = response * 1_000 / ideals[*job].max(1);
        ratios.saturating_record(ratio);
    }
    let messages: u64 = result.messages.values().sum();
    Outcome {
        answered: ratios.len(),
        mean: ratios.mean() / THOUSAND,
        p50: to_ratio(ratios.value_at_quantile(0.5)),
        p99: to_ratio(ratios.value_at_quantile(0.99)),
        messages_per_task: divide(messages, result.starts),
        messages: result.messages,
    }
}

#[expect(clippy::cast_precision_loss, reason = "a figure for people")]
fn to_ratio(permille: u64) -> f64 {
    permille as f64 / THOUSAND
}

#[expect(clippy::cast_precision_loss, reason = "a figure for people")]
fn divide(one: u64, other: u64) -> f64 {
    one as f64 / other.max(1) as f64
}
