//! How long tasks take, by queue.

use laurelstile_core::leased::gateway::run_times::RunTimes;
use laurelstile_types::time::Span;
use rstest::rstest;

const QUEUE: &str = "checks";

fn millis(span: Span) -> u64 {
    span.0 / 1_000
}

fn seen(pairs: impl Iterator<Item = (u64, u64)>) -> RunTimes {
    let mut run_times = RunTimes::default();
    for (guess, longest) in pairs {
        run_times.record(QUEUE, Span::from_millis(guess), Span::from_millis(longest));
    }
    run_times
}

#[test]
fn a_queue_of_which_nothing_was_seen_is_believed_its_guesses() {
    let run_times = RunTimes::default();
    let guess = Span::from_millis(120);
    assert_eq!(run_times.expected(QUEUE, guess), guess);
}

#[rstest]
#[case::three_times_too_short(3, 1)]
#[case::three_times_too_long(1, 3)]
fn guesses_that_are_always_off_by_a_factor_are_corrected(
    #[case] factor: u64,
    #[case] divisor: u64,
) {
    let pairs = (0..200).map(|number| {
        let guess = 60 + number % 60;
        (guess, guess * factor / divisor)
    });
    let expected = millis(seen(pairs).expected(QUEUE, Span::from_millis(90)));
    let truth = 90 * factor / divisor;
    assert!(
        expected.abs_diff(truth) <= truth / 10,
        "{expected} for {truth}"
    );
}

#[test]
fn guesses_that_say_nothing_give_way_to_what_was_seen() {
    let pairs = (0..300).map(|number| (if number % 2 == 0 { 40 } else { 160 }, 80));
    let run_times = seen(pairs);
    for guess in [40, 160] {
        let expected = millis(run_times.expected(QUEUE, Span::from_millis(guess)));
        assert!(
            (70..=95).contains(&expected),
            "{expected} for a guess of {guess}"
        );
    }
}

#[test]
fn a_queue_whose_tasks_suddenly_take_twice_as_long_is_followed() {
    let guess = |number: u64| 80 + number % 40;
    let before = (0..400).map(|number| (guess(number), guess(number)));
    let after = (0..300).map(|number| (guess(number), 2 * guess(number)));
    let expected = millis(seen(before.chain(after)).expected(QUEUE, Span::from_millis(100)));
    assert!((170..=210).contains(&expected), "{expected}");
}

#[test]
fn one_run_that_hung_does_not_spoil_the_rest() {
    let pairs = (0..100).map(|number| (80 + number % 40, 80 + number % 40));
    let hung = std::iter::once((100, 60_000));
    let expected = millis(seen(pairs.chain(hung)).expected(QUEUE, Span::from_millis(100)));
    assert!((95..=115).contains(&expected), "{expected}");
}

#[test]
fn queues_are_told_apart_and_forgotten() {
    let mut run_times = seen((0..200).map(|_| (100, 300)));
    let guess = Span::from_millis(100);
    assert_eq!(run_times.expected("others", guess), guess);
    run_times.retain(|queue| queue == "others");
    assert_eq!(run_times.expected(QUEUE, guess), guess);
}
