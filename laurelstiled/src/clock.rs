//! The clock of the state machines: monotonic, and including time during which the host was
//! suspended.
//!
//! The usual monotonic clock stops during a suspension. Measured by it, data received before a
//! suspension would look fresh after it, and an agent could accept a start that the gateway has
//! long since placed elsewhere.

use std::time::{Duration, Instant};

use laurelstile_types::time::Timestamp;
use nix::time::{ClockId, clock_gettime};

/// Time since boot, including suspended time.
const SINCE_BOOT: ClockId = ClockId::CLOCK_BOOTTIME;

/// A monotonic clock that counts from its start and includes suspended time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    since_boot: Option<Duration>,
}

impl Clock {
    /// Starts a clock at 0.
    pub fn start() -> Self {
        let started = Instant::now();
        Self {
            started,
            since_boot: since_boot(),
        }
    }

    /// Instant at which the clock was started.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// Time since the start, in microseconds. On a system without `CLOCK_BOOTTIME`, suspended time
    /// is not included.
    pub fn now(&self) -> Timestamp {
        let elapsed = match (self.since_boot, since_boot()) {
            (Some(begin), Some(now)) => now.saturating_sub(begin),
            _ => self.started.elapsed(),
        };
        Timestamp(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
    }
}

fn since_boot() -> Option<Duration> {
    clock_gettime(SINCE_BOOT).ok().map(Duration::from)
}
