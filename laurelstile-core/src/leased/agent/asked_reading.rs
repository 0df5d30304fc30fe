//! Readings of the worker's clock that the agent has asked for, which relate it to the agent's own clock:
//! the worker read its clock no earlier than the agent asked, and no later than the answer arrived.

use laurelstile_types::time::{Span, Timestamp};

use super::worker::WorkerClock;

/// How much faster or slower than the agent's clock the worker's may run, in percent.
const MAX_CLOCK_DRIFT_PERCENT: u64 = 2;
/// Resolution of readings of the worker's clock.
const READING_RESOLUTION: Span = Span::from_millis(1);

/// A reading of the worker's clock that the agent asked for.
#[derive(Clone, Copy, Debug)]
pub struct AskedReading {
    /// When the agent asked. The worker read its clock no earlier.
    pub asked_at: Timestamp,
    /// When the answer arrived. The worker read its clock no later.
    pub answered_at: Timestamp,
    /// The reading in the answer.
    pub reading: WorkerClock,
}

impl AskedReading {
    /// Upper bound of the time that has passed by `now` since the worker's clock showed `reading`.
    pub fn max_age(self, now: Timestamp, reading: WorkerClock) -> Span {
        let since_asked = now.since(self.asked_at).0;
        if reading < self.reading {
            let before = self.reading.since(reading).0 + READING_RESOLUTION.0;
            let longest = before.saturating_mul(100) / (100 - MAX_CLOCK_DRIFT_PERCENT);
            return Span(since_asked.saturating_add(longest));
        }
        let after = reading.since(self.reading).0;
        let after = after.saturating_sub(READING_RESOLUTION.0);
        let shortest = after - after / 100 * MAX_CLOCK_DRIFT_PERCENT;
        Span(since_asked.saturating_sub(shortest))
    }

    /// Whether a later reading is lower than the same clock can show. An answer to what was asked before
    /// this answer arrived may have been overtaken by it.
    pub fn is_contradicted_by(self, later: Self) -> bool {
        if later.asked_at < self.answered_at {
            return false;
        }
        let since = later.asked_at.since(self.answered_at).0;
        let shortest = Span(since - since / 100 * MAX_CLOCK_DRIFT_PERCENT);
        later.reading < self.reading.after(shortest).before(READING_RESOLUTION)
    }

    /// The one of two readings that dates later readings more closely.
    pub fn closer(self, other: Self, now: Timestamp) -> Self {
        let later = self.reading.max(other.reading);
        if other.max_age(now, later) <= self.max_age(now, later) {
            other
        } else {
            self
        }
    }
}
