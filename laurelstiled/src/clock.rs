//! The process's clock, as the machines want it.
//!
//! A machine may be suspended for seconds, with all its processes. The usual monotonic clock
//! does not count that time, so what was fresh before would seem fresh after: an old echo
//! would let a start through that its gateway has long placed elsewhere. The clock here
//! counts it: for the machines, a suspended process is one that stood still.

use std::time::{Duration, Instant};

use laurelstile_types::time::Timestamp;
use nix::time::{ClockId, clock_gettime};

/// Time since the system was started, with the time for which it was suspended.
const SINCE_BOOT: ClockId = ClockId::CLOCK_BOOTTIME;

/// A clock that starts with the process, never goes back, and counts suspended time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    since_boot: Option<Duration>,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        let started = Instant::now();
        Self {
            started,
            since_boot: since_boot(),
        }
    }

    /// When the clock started.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// The present reading. Where the system has no such clock, suspended time is lost.
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
