//! The process clock includes time during which the host was suspended.

use std::time::Duration;

use laurelstiled::clock::Clock;
use nix::time::{ClockId, clock_gettime};

/// A test cannot suspend the host; it checks that the clock advances with `CLOCK_BOOTTIME`, which
/// includes suspended time.
#[test]
fn the_clock_advances_with_boot_time() {
    let since_boot = || Duration::from(clock_gettime(ClockId::CLOCK_BOOTTIME).expect("a clock"));
    let before = since_boot();
    let clock = Clock::start();
    let started = since_boot();
    std::thread::sleep(Duration::from_millis(5));
    let until_read = since_boot();
    let reading = Duration::from_micros(clock.now().0);
    let after = since_boot();
    assert!(reading + Duration::from_micros(1) >= until_read - started);
    assert!(reading <= after - before);
}
