//! A surge of calls leaves nothing behind: once it is over, callers are served as before.

use laurelstile_sim::leased::{Surge, run_surge};
use rstest::rstest;

/// Seconds after the end of a surge until nearly all are served in time again.
const RECOVERY: u64 = 2;
/// That share, in percent.
const SHARE: u64 = 90;

#[rstest]
#[case::three_times(1, 3)]
#[case::four_times(2, 4)]
fn after_a_surge_over_thin_links_callers_are_served_in_time(
    #[case] seed: u64,
    #[case] factor: u64,
) {
    let surge = Surge {
        from: 3,
        until: 8,
        factor,
    };
    let shares = run_surge(seed, surge);
    let before = shares[2];
    assert!(before > SHARE, "the usual load is served: {shares:?}");
    let after = usize::try_from(surge.until + RECOVERY).expect("a second");
    let recovered = &shares[after..15];
    assert!(
        recovered.iter().all(|share| *share > SHARE),
        "not served again {RECOVERY} s after the surge: {shares:?}"
    );
}
