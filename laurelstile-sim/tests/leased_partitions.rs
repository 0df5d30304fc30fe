//! Partitions that leave some links, while callers resubmit their jobs at other gateways.

use laurelstile_history::leased::Rule;
use laurelstile_sim::leased::{Outcome, Partition, Sabotage, run_partition_seed};
use rstest::rstest;

fn breaks_one_run(outcome: &Outcome) -> bool {
    let mut broken = outcome.violations.iter();
    broken.any(|violation| violation.rule == Rule::OneRun)
}

/// Guards against two runs of a job whose holder cannot be reached by the gateway to which it was
/// resubmitted, or whose claim arrives late, while agents and callers reach both.
#[rstest]
#[case::gateways(Partition::Gateways)]
#[case::one_way(Partition::OneWay)]
#[case::slow_gateways(Partition::SlowGateways)]
#[case::mixed(Partition::Mixed)]
fn seeds_with_partial_partitions_keep_every_rule(#[case] partition: Partition) {
    for seed in 0..15 {
        let outcome = run_partition_seed(seed, partition, None, None);
        let violations = &outcome.violations;
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
        let unused = &outcome.unused_workers;
        assert!(
            unused.is_empty(),
            "seed {seed}: workers {unused:?} are well and not used"
        );
        let done = outcome.told.get("completed").copied().unwrap_or(0);
        assert!(done > 0, "seed {seed} completed nothing");
    }
}

/// Guards against other broken rules where gateways are cut off together with some agents. That a task
/// runs once is not promised on both sides.
#[test]
fn seeds_with_a_partitioned_zone_keep_every_rule_but_that_of_one_run() {
    for seed in 0..15 {
        let outcome = run_partition_seed(seed, Partition::Zone, None, None);
        let mut others = outcome.violations.iter();
        let other = others.find(|violation| violation.rule != Rule::OneRun);
        assert!(other.is_none(), "seed {seed}: {other:?}");
        let unused = &outcome.unused_workers;
        assert!(
            unused.is_empty(),
            "seed {seed}: workers {unused:?} are well and not used"
        );
    }
}

/// Guards against partitions in which no job is resubmitted while its first runs go on.
#[rstest]
#[case::gateways(Partition::Gateways)]
#[case::one_way(Partition::OneWay)]
#[case::slow_gateways(Partition::SlowGateways)]
#[case::mixed(Partition::Mixed)]
#[case::zone(Partition::Zone)]
fn tasks_run_twice_in_partitions_without_claims(#[case] partition: Partition) {
    let is_broken = (0..15).any(|seed| {
        let outcome = run_partition_seed(seed, partition, Some(Sabotage::NoClaims), None);
        breaks_one_run(&outcome)
    });
    assert!(is_broken, "no task ran twice without claims");
}

/// Guards against draws that depend on anything but the seed.
#[test]
fn a_seed_with_partitions_repeats_exactly() {
    let records = || run_partition_seed(3, Partition::Mixed, None, None).records;
    assert_eq!(records(), records());
}
