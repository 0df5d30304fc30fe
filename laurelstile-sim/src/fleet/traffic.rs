//! Bytes by kind of message, as a machine sends and receives them.

use std::collections::BTreeMap;

use serde::Serialize;

/// Bytes of a frame around a message, with its share of a packet.
const FRAME: usize = 48;

/// A writer that only counts.
struct Counter(usize);

impl std::io::Write for Counter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Bytes that a message takes on the wire.
pub fn bytes_of<T: Serialize>(message: &T) -> usize {
    let mut counter = Counter(0);
    let written = ciborium::into_writer(message, &mut counter);
    debug_assert!(written.is_ok());
    counter.0 + FRAME
}

/// What a machine has sent and received.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    /// Bytes sent, by kind.
    pub sent: BTreeMap<&'static str, u64>,
    /// Bytes received, by kind.
    pub received: BTreeMap<&'static str, u64>,
    /// Messages received.
    pub messages: u64,
    /// Dials that ended because nothing came in time.
    pub dials_timed_out: u64,
}

impl Traffic {
    /// Notes a message that leaves.
    pub fn note_sent(&mut self, kind: &'static str, bytes: usize) {
        *self.sent.entry(kind).or_default() += bytes as u64;
    }

    /// Notes a message that has come.
    pub fn note_received(&mut self, kind: &'static str, bytes: usize) {
        *self.received.entry(kind).or_default() += bytes as u64;
        self.messages += 1;
    }
}
