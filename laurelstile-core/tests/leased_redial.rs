//! How soon an address is dialed again, and how long it may take to answer.

use laurelstile_core::leased::redial::{connect_timeout, redial_delay};
use laurelstile_types::time::Span;
use rstest::rstest;

#[rstest]
#[case::a_session_ended(0, 25)]
#[case::first_failure(1, 25)]
#[case::still_close(5, 25)]
#[case::doubled(6, 50)]
#[case::doubled_again(11, 100)]
#[case::longest(21, 400)]
#[case::for_ever(u32::MAX, 400)]
fn the_first_dials_follow_closely(#[case] failures: u32, #[case] millis: u64) {
    assert_eq!(redial_delay(failures), Span::from_millis(millis));
}

/// A dial that meets a machine without power takes its whole limit, so the first
/// limits are short; a machine that is far away is reached by the later ones.
#[rstest]
#[case::first(0, 50)]
#[case::still_short(5, 50)]
#[case::doubled(6, 100)]
#[case::longest(16, 400)]
#[case::for_ever(u32::MAX, 400)]
fn a_connection_may_take_longer_after_failures(#[case] failures: u32, #[case] millis: u64) {
    assert_eq!(connect_timeout(failures), Span::from_millis(millis));
}
