//! Seeded runs under faults, judged by the history checker.

use laurelstile_history::check::{Bounds, Report, check};
use laurelstile_history::event::Record;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use crate::faults;
use crate::workload::{self, WorkloadPlan};
use crate::world::{Sabotage, World, WorldPlan};

/// Length of the faulty part of a run, in microseconds.
const FAULTY: u64 = 60_000_000;
/// Time for the rest to settle, longer than every deadline and fault.
const SETTLING: u64 = 90_000_000;
const DEADLINE: u64 = 20_000_000;
const GATEWAYS: usize = 3;
const AGENTS: usize = 4;
const SLOTS: u32 = 4;
const SEED_STREAM: u64 = 0x5eed;

/// Runs one seed and judges it.
pub fn run_seed(seed: u64, sabotage: Option<Sabotage>) -> (Report, Vec<Record>) {
    let mut random = Pcg64::seed_from_u64(seed ^ SEED_STREAM);
    let slots = SLOTS * u32::try_from(AGENTS).unwrap_or(u32::MAX);
    let jobs = workload::draw(
        WorkloadPlan {
            length: FAULTY,
            slots,
            load: random.random_range(0.3..1.0),
            burst: 1.8,
            max_tasks: random.random_range(2..20),
            tenants: 2,
            unrepeatable_permille: 300,
        },
        &mut random,
    );
    let count = random.random_range(3..25);
    let faults = faults::draw(count, FAULTY, GATEWAYS, AGENTS, &mut random);
    let plan = WorldPlan {
        seed,
        gateways: GATEWAYS,
        agents: AGENTS,
        slots: SLOTS,
        quotas: vec![slots, slots / 2],
        deadline: DEADLINE,
        latency: 500,
        caller_latency: 3_000,
        sabotage,
    };
    let result = World::new(plan, jobs, faults).run(FAULTY + SETTLING);
    let report = check(&result.records, Bounds::default());
    (report, result.records)
}
