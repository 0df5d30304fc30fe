//! Back-off and time-outs of dialing an address.

use laurelstile_types::time::Span;

/// Initial delay between dials of an address.
const MIN_REDIAL_DELAY: Span = Span::from_millis(25);
/// Maximum delay between dials of an address.
pub const MAX_REDIAL_DELAY: Span = Span::from_millis(400);
/// Time-out for opening a connection: initial and maximum. A machine without power answers no
/// packet, and the operating system retransmits the first one only after a second; a distant
/// machine answers within the maximum.
const MIN_CONNECT_TIMEOUT: Span = Span::from_millis(50);
const MAX_CONNECT_TIMEOUT: Span = Span::from_millis(400);
/// Consecutive failures after which delay and time-out double, each time.
const FAILURES_PER_DOUBLING: u32 = 5;
/// Time-out for a whole dial, with the hello.
pub const DIAL_TIMEOUT: Span = Span::from_millis(600);
/// Consecutive failed dials after which an address is forgotten, until another process names it
/// again.
pub const MAX_DIAL_ATTEMPTS: u32 = 60;

/// Delay before the next dial after this many consecutive failures. The first delays are short,
/// since machines that lost power together start again within a second of each other.
pub fn redial_delay(failures: u32) -> Span {
    backed_off(MIN_REDIAL_DELAY, failures).min(MAX_REDIAL_DELAY)
}

/// Time-out for opening a connection after this many consecutive failures.
pub fn connect_timeout(failures: u32) -> Span {
    backed_off(MIN_CONNECT_TIMEOUT, failures).min(MAX_CONNECT_TIMEOUT)
}

fn backed_off(initial: Span, failures: u32) -> Span {
    let doublings = failures.saturating_sub(1) / FAILURES_PER_DOUBLING;
    Span(initial.0.saturating_mul(2_u64.saturating_pow(doublings)))
}
