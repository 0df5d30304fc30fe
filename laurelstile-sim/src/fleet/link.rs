//! A machine's link: a rate and a queue each way.

/// Microseconds in a second.
const SECOND: u64 = 1_000_000;

/// A link to the rest of the fleet. Its queues have no bound.
#[derive(Debug)]
pub struct Link {
    bytes_per_second: u64,
    busy_until: [u64; 2],
}

/// Which way bytes go, as the machine sees it.
#[derive(Clone, Copy, Debug)]
pub enum Way {
    /// Away from the machine.
    Out,
    /// To the machine.
    In,
}

impl Link {
    /// A link of that rate, in megabits a second.
    pub fn new(megabits_per_second: u64) -> Self {
        Self {
            bytes_per_second: megabits_per_second * 125_000,
            busy_until: [0; 2],
        }
    }

    /// When bytes that join a queue at `now` have passed.
    pub fn carry(&mut self, way: Way, now: u64, bytes: usize) -> u64 {
        let busy_until = &mut self.busy_until[way as usize];
        let takes = bytes as u64 * SECOND / self.bytes_per_second;
        *busy_until = now.max(*busy_until) + takes;
        *busy_until
    }

    /// Drops what waits: the machine was lost.
    pub fn clear(&mut self) {
        self.busy_until = [0; 2];
    }
}
