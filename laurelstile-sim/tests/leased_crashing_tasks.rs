//! A task that takes down each worker that starts it is given up before it takes the
//! service down.
//!
//! Seen: two tasks of otherwise sound jobs ended the processes of eleven workers out of
//! eleven within 0.7 s, three times in ten seconds, and callers of all queues got next to
//! nothing. It came about because a run that was lost with its worker counted nothing: its
//! gateway placed the task again some 15 ms later, on the next worker, before all others and
//! together with the other victims, until its caller's deadline, and the answer then invited
//! the caller to hand it in again. Run numbers that rise without a gap at one gateway, and
//! the same task youngest among the runs of each dead worker, proved that.

use laurelstile_history::leased::{Rule, TaskName};
use laurelstile_sim::leased::{CrashOutcome, CrashPlan, PoisonTasks, Sabotage, run_crashing};
use rstest::rstest;

/// Most workers that one task may take down.
const MOST_CRASHES: u32 = 3;

fn assert_bounded(outcome: &CrashOutcome) {
    let violations = &outcome.violations;
    assert!(violations.is_empty(), "{violations:?}");
    let worst: Option<(&TaskName, &u32)> = outcome.crashes.iter().max_by_key(|(_, count)| *count);
    assert!(
        worst.is_none_or(|(_, count)| *count <= MOST_CRASHES),
        "{worst:?}"
    );
    assert_eq!(outcome.innocents_failed, 0, "sound jobs shown as failed");
}

/// Share of the sound jobs of any second that are served in time while one task after
/// another takes workers down, in percent.
const SERVED: u64 = 60;

#[rstest]
fn a_task_that_takes_its_workers_down_is_given_up(
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
    #[values(vec![4_000_000], vec![4_000_000, 9_000_000])] times: Vec<u64>,
) {
    let outcome = run_crashing(seed, &CrashPlan::of(PoisonTasks::At(times)));
    assert_bounded(&outcome);
    let served = &outcome.served[1..16];
    assert!(served.iter().all(|share| *share > SERVED), "{served:?}");
}

/// Sound tasks beside a poison task, or on workers that die by themselves, a seventh of them at
/// once, are not taken for one.
#[rstest]
fn sound_tasks_are_not_given_up_where_workers_die_by_themselves(
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
    #[values(vec![], vec![4_000_000, 7_900_000])] times: Vec<u64>,
) {
    let outcome = run_crashing(
        seed,
        &CrashPlan {
            deaths: vec![(4_200_000, 2), (8_000_000, 2), (8_500_000, 2)],
            ..CrashPlan::of(PoisonTasks::At(times))
        },
    );
    assert_bounded(&outcome);
}

/// Share of the jobs of the other queues that are served in time, from a second after the
/// first poison task on, while 5% of one queue's jobs take their workers down, in percent.
const SERVED_ELSEWHERE: u64 = 70;

#[rstest]
fn a_queue_of_many_culprits_does_not_take_the_others_with_it(#[values(1, 2, 3, 4)] seed: u64) {
    let plan = CrashPlan::of(PoisonTasks::Share {
        permille: 50,
        from: 3,
        until: 9,
    });
    let outcome = run_crashing(seed, &plan);
    assert_bounded(&outcome);
    let served = &outcome.served_elsewhere[4..16];
    let is_served = |share: &u64| *share > SERVED_ELSEWHERE;
    assert!(served.iter().all(is_served), "{served:?}");
}

/// The runs of a worker that refuses connections are over when its lease has expired.
#[rstest]
fn a_queue_of_many_culprits_does_not_take_the_others_with_it_if_dead_workers_refuse(
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let plan = CrashPlan {
        dead_workers_refuse: true,
        ..CrashPlan::of(PoisonTasks::Share {
            permille: 50,
            from: 3,
            until: 9,
        })
    };
    let outcome = run_crashing(seed, &plan);
    assert_bounded(&outcome);
    let served = &outcome.served_elsewhere[4..16];
    let is_served = |share: &u64| *share > SERVED_ELSEWHERE;
    assert!(served.iter().all(is_served), "{served:?}");
}

#[rstest]
fn a_task_that_takes_its_workers_down_is_given_up_if_dead_workers_refuse(
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
    #[values(vec![4_000_000], vec![4_000_000, 9_000_000])] times: Vec<u64>,
) {
    let plan = CrashPlan {
        dead_workers_refuse: true,
        ..CrashPlan::of(PoisonTasks::At(times))
    };
    let outcome = run_crashing(seed, &plan);
    assert_bounded(&outcome);
    let served = &outcome.served[1..16];
    assert!(served.iter().all(|share| *share > SERVED), "{served:?}");
}

/// Without the agents' word of what ran where, the fault is back.
#[test]
fn the_budget_breaks_without_news_of_crashes() {
    let plan = CrashPlan {
        sabotage: Some(Sabotage::NoCrashNews),
        ..CrashPlan::of(PoisonTasks::At(vec![4_000_000]))
    };
    let violations = run_crashing(1, &plan).violations;
    let broken: Vec<Rule> = violations.iter().map(|violation| violation.rule).collect();
    assert_eq!(broken, [Rule::CrashBudget]);
}
