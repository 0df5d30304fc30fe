//! How soon an address is dialed again, and how long a dial may take.

use laurelstile_types::time::Span;

/// Pause between two dials of one address, at first and after some failures.
const FIRST_REDIAL: Span = Span::from_millis(25);
const LONGEST_REDIAL: Span = Span::from_millis(400);
/// Longest that the opening of a connection may take, at first and after some
/// failures. A machine that is off answers no packet, and the system repeats the
/// first one only after a second; a far machine answers within the longest.
const FIRST_CONNECT_LIMIT: Span = Span::from_millis(50);
const LONGEST_CONNECT_LIMIT: Span = Span::from_millis(400);
/// Failures in a row after which pause and limit double, and double again.
const FAILURES_PER_DOUBLING: u32 = 5;
/// Longest that a dial may take, with its hello.
pub const DIAL_TIMEOUT: Span = Span::from_millis(600);
/// Dials in a row without success after which an address is forgotten; it is
/// dialed again once somebody names it anew.
pub const MAX_DIAL_ATTEMPTS: u32 = 60;

/// Pause after so many failures in a row. Machines that lost power together come
/// back within less than a second of each other, so the first dials follow closely.
pub fn redial_delay(failures: u32) -> Span {
    doubled(FIRST_REDIAL, failures).min(LONGEST_REDIAL)
}

/// Longest that the opening of a connection may take after so many failures in a row.
pub fn connect_timeout(failures: u32) -> Span {
    doubled(FIRST_CONNECT_LIMIT, failures).min(LONGEST_CONNECT_LIMIT)
}

fn doubled(first: Span, failures: u32) -> Span {
    let doublings = failures.saturating_sub(1) / FAILURES_PER_DOUBLING;
    Span(first.0.saturating_mul(2_u64.saturating_pow(doublings)))
}
