//! The process's monotonic clock, as the machines want it.

use std::time::Instant;

use laurelstile_types::time::Timestamp;

/// A monotonic clock that starts with the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// When the clock started.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// The present reading.
    pub fn now(&self) -> Timestamp {
        let micros = self.started.elapsed().as_micros();
        Timestamp(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}
