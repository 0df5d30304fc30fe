//! How soon an address is dialed again.

use std::time::Duration;

use laurelstiled::leased::sessions::redial_pause;
use rstest::rstest;

#[rstest]
#[case::a_session_ended(0, 100)]
#[case::first_failure(1, 100)]
#[case::still_close(5, 100)]
#[case::doubled(6, 200)]
#[case::longest(11, 400)]
#[case::for_ever(u32::MAX, 400)]
fn the_first_dials_follow_closely(#[case] failures: u32, #[case] millis: u64) {
    assert_eq!(redial_pause(failures), Duration::from_millis(millis));
}
