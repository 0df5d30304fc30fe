//! Tests for the correction of run time estimates.

use laurelstile_core::leased::gateway::run_times::RunTimes;
use laurelstile_types::time::Span;
use rstest::rstest;

const QUEUE: &str = "checks";

fn millis(span: Span) -> u64 {
    span.0 / 1_000
}

fn observed(pairs: impl Iterator<Item = (u64, u64)>) -> RunTimes {
    let mut run_times = RunTimes::default();
    for (estimate, longest) in pairs {
        run_times.record(
            QUEUE,
            Span::from_millis(estimate),
            Span::from_millis(longest),
        );
    }
    run_times
}

#[test]
fn without_observations_the_estimate_is_unchanged() {
    let run_times = RunTimes::default();
    let estimate = Span::from_millis(120);
    assert_eq!(run_times.expected(QUEUE, estimate), estimate);
}

#[rstest]
#[case::factor_of_three_too_short(3, 1)]
#[case::factor_of_three_too_long(1, 3)]
fn estimates_off_by_a_constant_factor_are_corrected(#[case] factor: u64, #[case] divisor: u64) {
    let pairs = (0..200).map(|number| {
        let estimate = 60 + number % 60;
        (estimate, estimate * factor / divisor)
    });
    let expected = millis(observed(pairs).expected(QUEUE, Span::from_millis(90)));
    let truth = 90 * factor / divisor;
    assert!(
        expected.abs_diff(truth) <= truth / 10,
        "expected about {truth} ms, got {expected} ms"
    );
}

#[test]
fn uninformative_estimates_are_replaced_by_observations() {
    let pairs = (0..300).map(|number| (if number % 2 == 0 { 40 } else { 160 }, 80));
    let run_times = observed(pairs);
    for estimate in [40, 160] {
        let expected = millis(run_times.expected(QUEUE, Span::from_millis(estimate)));
        assert!(
            (70..=95).contains(&expected),
            "{expected} ms for an estimate of {estimate} ms"
        );
    }
}

#[test]
fn a_sudden_change_of_run_times_is_followed() {
    let estimate = |number: u64| 80 + number % 40;
    let before = (0..400).map(|number| (estimate(number), estimate(number)));
    let after = (0..300).map(|number| (estimate(number), 2 * estimate(number)));
    let expected = millis(observed(before.chain(after)).expected(QUEUE, Span::from_millis(100)));
    assert!((170..=210).contains(&expected), "{expected}");
}

#[test]
fn one_hung_run_has_little_effect() {
    let pairs = (0..100).map(|number| (80 + number % 40, 80 + number % 40));
    let hung = std::iter::once((100, 60_000));
    let expected = millis(observed(pairs.chain(hung)).expected(QUEUE, Span::from_millis(100)));
    assert!((95..=115).contains(&expected), "{expected}");
}

#[test]
fn queues_are_independent_and_can_be_removed() {
    let mut run_times = observed((0..200).map(|_| (100, 300)));
    let estimate = Span::from_millis(100);
    assert_eq!(run_times.expected("others", estimate), estimate);
    run_times.retain(|queue| queue == "others");
    assert_eq!(run_times.expected(QUEUE, estimate), estimate);
}
