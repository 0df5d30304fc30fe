//! Back-off and connection time-outs of dialing.

use laurelstile_core::leased::redial::{connect_timeout, redial_delay};
use laurelstile_types::time::Span;
use rstest::rstest;

#[rstest]
#[case::a_session_ended(0, 25)]
#[case::first_failure(1, 25)]
#[case::last_initial(5, 25)]
#[case::doubled(6, 50)]
#[case::doubled_again(11, 100)]
#[case::longest(21, 400)]
#[case::saturated(u32::MAX, 400)]
fn redial_delays_back_off(#[case] failures: u32, #[case] millis: u64) {
    assert_eq!(redial_delay(failures), Span::from_millis(millis));
}

/// A dial to a machine without power takes the whole time-out, so the first time-outs are short;
/// later ones are long enough for a distant machine.
#[rstest]
#[case::first(0, 50)]
#[case::last_initial(5, 50)]
#[case::doubled(6, 100)]
#[case::longest(16, 400)]
#[case::saturated(u32::MAX, 400)]
fn connect_timeouts_grow_with_failures(#[case] failures: u32, #[case] millis: u64) {
    assert_eq!(connect_timeout(failures), Span::from_millis(millis));
}
