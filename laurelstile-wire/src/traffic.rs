//! Traffic counters of all sessions, by direction and kind of message.
//!
//! They are process-wide, like the metrics that are updated with them, since all sessions share the
//! machine's network link.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use metrics::counter;

/// Metric: bytes of sent messages, including frame headers; label `kind`.
pub const SENT_BYTES: &str = "laurelstile_sent_bytes_total";
/// Metric: bytes of received messages, including frame headers; label `kind`.
pub const RECEIVED_BYTES: &str = "laurelstile_received_bytes_total";

/// Average size of a websocket frame header: two to four bytes, and four of the mask from client to
/// server.
const FRAME_BYTES: u64 = 6;

/// Direction of a message, as seen by this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Direction {
    /// Sent by this process.
    Sent,
    /// Received by this process.
    Received,
}

/// Counts of the messages of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MessageCount {
    /// Number of messages.
    pub messages: u64,
    /// Total size of the messages in bytes, including frame headers.
    pub bytes: u64,
}

/// Counts by direction and kind of message.
pub type MessageCounts = BTreeMap<(Direction, &'static str), MessageCount>;

static COUNTS: Mutex<MessageCounts> = Mutex::new(BTreeMap::new());

/// Counts a message, of this many bytes without frame header.
pub fn record(direction: Direction, kind: &'static str, message_bytes: usize) {
    let bytes = message_bytes as u64 + FRAME_BYTES;
    let metric = match direction {
        Direction::Sent => SENT_BYTES,
        Direction::Received => RECEIVED_BYTES,
    };
    counter!(metric, "kind" => kind).increment(bytes);
    let mut counts = lock_counts();
    let count = counts.entry((direction, kind)).or_default();
    count.messages += 1;
    count.bytes += bytes;
}

/// Returns the counts since the last call, and resets them.
pub fn take() -> MessageCounts {
    std::mem::take(&mut *lock_counts())
}

fn lock_counts() -> MutexGuard<'static, MessageCounts> {
    // The counts are consistent at every point, so a poisoned lock can be ignored.
    COUNTS.lock().unwrap_or_else(PoisonError::into_inner)
}
