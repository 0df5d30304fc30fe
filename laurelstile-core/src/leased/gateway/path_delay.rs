//! Estimates the queueing delay of messages between two processes.
//!
//! The clocks need not be synchronized. The difference between receive and send time is the
//! one-way delay plus a constant offset; the minimum over a recent period approximates the
//! offset plus the uncongested delay, as in LEDBAT (RFC 6817). The excess over the minimum is
//! the queueing delay in that direction, independent of the reverse path.

use laurelstile_types::time::{Span, Timestamp};

/// The minimum is kept for one to two of these periods. It must outlast a standing queue on
/// the path.
const BASE_PERIOD: Span = Span::from_secs(30);

/// Delay estimate for one direction of a path between two processes.
#[derive(Clone, Copy, Debug, Default)]
pub struct PathDelay {
    /// Minimum difference of the clocks in the current period, in microseconds.
    min_offset: Option<i64>,
    previous_min_offset: Option<i64>,
    period_began: Timestamp,
}

impl PathDelay {
    /// Records a message sent at `sent` on the sender's clock and received at `received` on
    /// the receiver's clock. Returns its delay in excess of the recent minimum.
    pub fn record(&mut self, sent: Timestamp, received: Timestamp) -> Span {
        if received.since(self.period_began) > BASE_PERIOD {
            self.period_began = received;
            self.previous_min_offset = self.min_offset.take();
        }
        let difference = signed(received) - signed(sent);
        let min_offset = self
            .min_offset
            .map_or(difference, |min_offset| min_offset.min(difference));
        self.min_offset = Some(min_offset);
        let base = self
            .previous_min_offset
            .map_or(min_offset, |last| last.min(min_offset));
        Span(u64::try_from(difference - base).unwrap_or(0))
    }
}

fn signed(time: Timestamp) -> i64 {
    i64::try_from(time.0).unwrap_or(i64::MAX)
}
