//! Inequalities between the leased path's time bounds that keep runs of a task from overlapping.

mod leased_support;

use laurelstile_core::leased::agent::worker::{ClockEstimate, Registration, RunLists, WorkerClock};
use laurelstile_core::leased::timing::{
    AGENT_EXPIRY, CALLER_RETRY_DELAY, LEASE_DURATION, MAX_LEASE_DURATION, MAX_START_ECHO_AGE,
    MAX_STOP_TIME, OWNER_TIMEOUT, RUNS_OVER_AFTER,
};
use laurelstile_types::time::Timestamp;
use leased_support::{AgentRig, at, cpu, lists, registration, worker_clock};
use rstest::rstest;

#[test]
fn runs_are_over_before_a_gateway_retries_or_a_caller_resubmits() {
    const { assert!(RUNS_OVER_AFTER.0 + MAX_STOP_TIME.0 <= AGENT_EXPIRY.0) }
    const { assert!(AGENT_EXPIRY.0 < CALLER_RETRY_DELAY.0) }
    // Started runs have an owner whose echo is recent enough.
    const { assert!(MAX_START_ECHO_AGE.0 < OWNER_TIMEOUT.0) }
}

/// A lease is computed from the agent's estimate of the worker's clock, which may be 2% slow.
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
    let until = estimate.lower_bound(Timestamp(renewed)).0 + LEASE_DURATION.as_millis();
    assert!(clock_at(renewed + MAX_LEASE_DURATION.0) >= until);
}

/// An estimate for a past time must not exceed the clock's reading then, or a lease that begins
/// there would be too long.
#[test]
fn an_estimate_of_an_earlier_time_is_not_ahead_of_the_clock() {
    let mut estimate = ClockEstimate::default();
    estimate.update(Timestamp(2_000_000), WorkerClock(1_960));
    assert!(estimate.lower_bound(Timestamp(1_500_000)) <= WorkerClock(1_470));
}

/// A reading that was delayed on the way is lower than the clock; it must not lengthen a lease,
/// whether it is used or ignored.
#[rstest]
fn a_delayed_reading_is_never_ahead_of_the_clock(
    #[values(100, 900, 1_100, 5_000)] received_millis: u64,
    #[values(0, 50, 2_000)] delay_millis: u64,
) {
    let clock_at = |millis: u64| 10_000 + millis * 98 / 100;
    let mut estimate = ClockEstimate::default();
    estimate.update(Timestamp(0), WorkerClock(clock_at(0)));
    let taken_millis = received_millis.saturating_sub(delay_millis);
    let received = Timestamp(received_millis * 1_000);
    estimate.update(received, WorkerClock(clock_at(taken_millis)));
    for later_millis in [received_millis, received_millis + 500] {
        let bound = estimate.lower_bound(Timestamp(later_millis * 1_000));
        assert!(bound.0 <= clock_at(later_millis), "at {later_millis} ms");
    }
}

/// Guards against a lease that lasts too long because the next agent continues from a record whose
/// clock reading is ahead: the worker's clock is 2% slow, and the agent stores the record some time
/// after its latest reading.
#[test]
fn the_clock_reading_of_a_record_is_not_ahead_of_the_clock() {
    let clock_at = |millis: u64| WorkerClock(10_000 + millis * 98 / 100);
    let mut rig = AgentRig::new();
    let heartbeat = Registration {
        clock: clock_at(0),
        ..registration(at(0), "life-1".into(), cpu(1_000), false)
    };
    rig.heartbeat(at(0), heartbeat);
    rig.deregister(at(1_400));
    let record = rig.stored_records.last().expect("a record");
    assert!(record.registration.draining, "stored at the deregistration");
    let reading = record.registration.clock;
    assert!(reading <= clock_at(1_400), "{reading:?}");
}

/// Guards against leases that last too long because of a clock reading that is ahead in a heartbeat of
/// another sender with the worker's id, received before the worker answers or while it does.
#[rstest]
#[case::before_the_first_answer(0)]
#[case::beside_recent_answers(30)]
fn a_heartbeat_with_a_clock_that_is_ahead_does_not_lengthen_leases(#[case] received: u64) {
    let mut rig = AgentRig::new();
    let ahead = Registration {
        clock: WorkerClock(worker_clock(at(received)).0 + 10_000),
        ..registration(at(received), "life-1".into(), cpu(1_000), false)
    };
    rig.register(at(0), "life-1", cpu(1_000), false);
    if received == 0 {
        rig.heartbeat(at(0), ahead.clone());
    }
    rig.answer_watch(at(10), RunLists::default());
    let batch = rig.batch(1, 1, 4);
    rig.message(at(20), batch);
    let mut leases = rig.leases();
    let started = rig.take_starts()[0];
    rig.answer_start(at(21), started, None);
    if received > 0 {
        rig.heartbeat(at(received), ahead);
    }
    rig.answer_watch(at(40), lists(&[(started, 1)], &[]));
    leases.extend(rig.leases());
    let bound = worker_clock(at(40)).0 + LEASE_DURATION.as_millis();
    assert!(leases.len() >= 2, "{leases:?}");
    assert!(leases.iter().all(|lease| lease.0 <= bound), "{leases:?}");
}
