//! Short identifiers of queues in messages.

use serde::{Deserialize, Serialize};
use twox_hash::XxHash64;

/// Seed of the hash; the same at all processes.
const SEED: u64 = 0;

/// Identifies a queue in messages: a hash of its name, which saves bandwidth and lets an agent count
/// by queue without knowing the configuration. Two queues with the same hash are counted as one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct QueueKey(pub u32);

impl QueueKey {
    /// The key of the queue of this name.
    #[expect(clippy::cast_possible_truncation, reason = "part of a hash")]
    pub fn of(name: &str) -> Self {
        Self(XxHash64::oneshot(SEED, name.as_bytes()) as u32)
    }
}
