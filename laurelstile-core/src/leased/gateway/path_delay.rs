//! How much longer than at best messages take from one process to another.
//!
//! Two clocks without a common zero tell the time on the way but for a constant, and the
//! least that was seen lately stands for that constant, as LEDBAT does it (RFC 6817). So a
//! queue on the way in shows, whatever waits on the way out.

use laurelstile_types::time::{Span, Timestamp};

/// The least difference counts for one to two such times. It has to outlast a queue that
/// stands on the way.
const BASE_PERIOD: Span = Span::from_secs(30);

/// One direction of the way between two processes.
#[derive(Clone, Copy, Debug, Default)]
pub struct PathDelay {
    /// The least difference of the clocks, in microseconds, in this period and the last.
    least: Option<i64>,
    last_least: Option<i64>,
    period_began: Timestamp,
}

impl PathDelay {
    /// A message that left at `sent`, by its sender's clock, was taken in at `taken_in`, by
    /// its receiver's. Gives how much longer it took than the fastest one lately.
    pub fn note(&mut self, sent: Timestamp, taken_in: Timestamp) -> Span {
        if taken_in.since(self.period_began) > BASE_PERIOD {
            self.period_began = taken_in;
            self.last_least = self.least.take();
        }
        let difference = signed(taken_in) - signed(sent);
        let least = self.least.map_or(difference, |least| least.min(difference));
        self.least = Some(least);
        let base = self.last_least.map_or(least, |last| last.min(least));
        Span(u64::try_from(difference - base).unwrap_or(0))
    }
}

fn signed(time: Timestamp) -> i64 {
    i64::try_from(time.0).unwrap_or(i64::MAX)
}
