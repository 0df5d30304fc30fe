//! The process's clock counts the time for which the machine was suspended.

use std::time::Duration;

use laurelstiled::clock::Clock;
use nix::time::{ClockId, clock_gettime};

/// Which clock it is cannot be seen without suspending the machine; that it goes with the one
/// that counts suspended time can.
#[test]
fn it_goes_with_the_clock_that_counts_suspended_time() {
    let since_boot = || Duration::from(clock_gettime(ClockId::CLOCK_BOOTTIME).expect("a clock"));
    let before = since_boot();
    let clock = Clock::start();
    let inner = since_boot();
    std::thread::sleep(Duration::from_millis(5));
    let until_read = since_boot();
    let reading = Duration::from_micros(clock.now().0);
    let after = since_boot();
    assert!(reading + Duration::from_micros(1) >= until_read - inner);
    assert!(reading <= after - before);
}
