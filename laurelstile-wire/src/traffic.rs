//! What sessions carry, by direction and kind of message.
//!
//! Process-wide, like the metrics that it also feeds: a link belongs to the machine, so
//! what counts is the sum over all sessions.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use metrics::counter;

/// Metric: bytes of messages sent, with their frames; label `kind`.
pub const SENT_BYTES: &str = "laurelstile_sent_bytes_total";
/// Metric: bytes of messages received, with their frames; label `kind`.
pub const RECEIVED_BYTES: &str = "laurelstile_received_bytes_total";

/// Bytes that a websocket puts around a message, on average: two to four, and four of a
/// mask in one of the two directions.
const FRAME_BYTES: u64 = 6;

/// Which way a message went.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Direction {
    /// From this process.
    Sent,
    /// To this process.
    Received,
}

/// Messages of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MessageCount {
    /// How many.
    pub messages: u64,
    /// Their bytes, with their frames.
    pub bytes: u64,
}

/// Messages by direction and kind.
pub type MessageCounts = BTreeMap<(Direction, &'static str), MessageCount>;

static SINCE_LAST_TAKEN: Mutex<MessageCounts> = Mutex::new(BTreeMap::new());

/// Counts a message.
pub fn record(direction: Direction, kind: &'static str, message_bytes: usize) {
    let bytes = message_bytes as u64 + FRAME_BYTES;
    let metric = match direction {
        Direction::Sent => SENT_BYTES,
        Direction::Received => RECEIVED_BYTES,
    };
    counter!(metric, "kind" => kind).increment(bytes);
    let mut tallies = tallies();
    let tally = tallies.entry((direction, kind)).or_default();
    tally.messages += 1;
    tally.bytes += bytes;
}

/// What was counted since this was last asked.
pub fn take() -> MessageCounts {
    std::mem::take(&mut *tallies())
}

fn tallies() -> MutexGuard<'static, MessageCounts> {
    // Counts are whole after each change, so a panic elsewhere does not spoil them.
    SINCE_LAST_TAKEN
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
}
