//! The time bounds of leased workers fulfil the inequalities that no task runs beside itself by.

use laurelstile_core::leased::agent::worker::{ClockEstimate, WorkerClock};
use laurelstile_core::leased::timing::{
    CALLERS_RETURN, LAPSE_AFTER_SILENCE, LEASE, LEASE_AT_MOST, OVER_AFTER_SILENCE, OWNER_SILENCE,
    START_FRESHNESS, STOP_AT_MOST,
};
use laurelstile_types::time::Timestamp;
use rstest::rstest;

#[test]
fn leases_are_over_and_workers_have_killed_before_a_gateway_repeats_or_a_caller_returns() {
    const { assert!(OVER_AFTER_SILENCE.0 + STOP_AT_MOST.0 <= LAPSE_AFTER_SILENCE.0) }
    const { assert!(LAPSE_AFTER_SILENCE.0 < CALLERS_RETURN.0) }
    // What starts is answered for.
    const { assert!(START_FRESHNESS.0 < OWNER_SILENCE.0) }
}

/// A lease counts from the agent's estimate of the worker's clock, which runs up to 2% slow.
#[rstest]
fn a_lease_never_lasts_longer_than_its_bound(
    #[values(980, 990, 1_000)] clock_permille: u64,
    #[values(0, 30, 500, 1_000, 5_000)] reading_age_millis: u64,
) {
    let clock_at = |micros: u64| 500_000 + micros * clock_permille / 1_000_000;
    let taken = 700_000;
    let mut estimate = ClockEstimate::default();
    estimate.update(Timestamp(taken), WorkerClock(clock_at(taken)));
    let renewed = taken + reading_age_millis * 1_000;
    let until = estimate.at_least(Timestamp(renewed)).0 + LEASE.as_millis();
    assert!(clock_at(renewed + LEASE_AT_MOST.0) >= until);
}

/// What is answered for until a time in the past has a lease that began then.
#[test]
fn an_estimate_of_an_earlier_time_is_not_ahead_of_the_clock() {
    let mut estimate = ClockEstimate::default();
    estimate.update(Timestamp(2_000_000), WorkerClock(1_960));
    assert!(estimate.at_least(Timestamp(1_500_000)) <= WorkerClock(1_470));
}
