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

use laurelstile_history::leased::TaskName;
use laurelstile_sim::leased::{CrashOutcome, Culprits, run_crashing};
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
    let outcome = run_crashing(seed, &Culprits::At(times));
    assert_bounded(&outcome);
    let served = &outcome.served[1..16];
    assert!(served.iter().all(|share| *share > SERVED), "{served:?}");
}
