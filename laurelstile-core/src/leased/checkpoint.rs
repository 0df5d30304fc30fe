//! Saved progress of a task, from which another run of it can continue.

use serde::{Deserialize, Serialize};

/// Maximum length of a checkpoint, in bytes. It crosses the gateway's link twice: 4 KiB occupy one of
/// 25 Mbit/s for 1.3 ms each time.
pub const MAX_CHECKPOINT_BYTES: usize = 4_096;

/// What a worker supplied as the saved progress of a run. Only the worker understands it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Checkpoint(String);

impl Checkpoint {
    /// A checkpoint of this text; `None` if that is empty or longer than [`MAX_CHECKPOINT_BYTES`].
    pub fn new(text: &str) -> Option<Self> {
        let checkpoint = Self(text.to_owned());
        checkpoint.is_valid().then_some(checkpoint)
    }

    /// The text, as the worker supplied it.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Whether the text is neither empty nor too long. Always so, except for a message of a process
    /// with another limit.
    pub fn is_valid(&self) -> bool {
        !self.0.is_empty() && self.0.len() <= MAX_CHECKPOINT_BYTES
    }
}
