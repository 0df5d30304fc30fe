//! Identity of a worker process across restarts.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// When a worker's process started, in milliseconds of Unix time by its machine's clock.
///
/// Only distinguishes the starts of a worker and does not order them: the clock may be set back, so
/// that a later start has a smaller value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StartTime(pub u64);

/// One incarnation of a worker, from the start of its process to its end.
///
/// A worker may restart under the same id. Whatever is known under the id (runs, acknowledgements,
/// clock, resources, draining) applies to one incarnation only.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkerIncarnation {
    /// The worker's id, which a restart may keep.
    pub id: Arc<str>,
    /// When the process started; `None` for a worker that does not report it and takes a new id at
    /// each start.
    #[serde(rename = "born", default, skip_serializing_if = "Option::is_none")]
    pub started_at: Option<StartTime>,
}

impl WorkerIncarnation {
    /// The incarnation of the same worker that started at `started_at`.
    pub fn started_again_at(&self, started_at: StartTime) -> Self {
        Self {
            id: Arc::clone(&self.id),
            started_at: Some(started_at),
        }
    }

    /// Whether the worker may restart under the same id.
    pub fn may_restart(&self) -> bool {
        self.started_at.is_some()
    }

    /// Whether a process under this id that started at `started_at` is another incarnation. Not
    /// known, and so `false`, if either start time is missing.
    pub fn is_other_incarnation(&self, started_at: Option<StartTime>) -> bool {
        match (self.started_at, started_at) {
            (Some(own), Some(other)) => own != other,
            _ => false,
        }
    }
}

/// An incarnation of a worker that does not report its start time.
impl From<&str> for WorkerIncarnation {
    fn from(id: &str) -> Self {
        Self {
            id: id.into(),
            started_at: None,
        }
    }
}

impl fmt::Display for WorkerIncarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.started_at {
            Some(StartTime(millis)) => write!(formatter, "{}@{millis}", self.id),
            None => formatter.write_str(&self.id),
        }
    }
}
