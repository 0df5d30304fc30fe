//! A machine's share of a processor, and what the work of a session costs it.

/// Processor time of a whole core that a message takes with its frame, in microseconds. A
/// session's part of it, 5, is what `session_cost` of `laurelstile-wire` shows; the rest stands
/// for the machine's own work, which is not measured by itself.
pub const MESSAGE: u64 = 20;
/// The same for each kilobyte that it has, by `session_cost`: lists are decoded entry by entry.
pub const KILOBYTE: u64 = 15;
/// The same for one side of a hello, by `session_cost`: a connection, its upgrade, proofs.
pub const HELLO: u64 = 70;

/// A share of a processor that works through what comes, in order.
#[derive(Debug)]
pub struct Processor {
    share_percent: u64,
    busy_until: u64,
}

impl Processor {
    /// A share of one core, in percent.
    pub fn new(share_percent: u64) -> Self {
        Self {
            share_percent,
            busy_until: 0,
        }
    }

    /// When work that comes `now` and takes that long on a whole core is done.
    pub fn work(&mut self, now: u64, micros: u64) -> u64 {
        let takes = micros * 100 / self.share_percent;
        self.busy_until = now.max(self.busy_until) + takes;
        self.busy_until
    }

    /// Drops what waits: the process has ended.
    pub fn clear(&mut self) {
        self.busy_until = 0;
    }
}

/// Processor time of a message of so many bytes.
pub fn cost_of_message(bytes: usize) -> u64 {
    MESSAGE + KILOBYTE * bytes as u64 / 1_000
}
