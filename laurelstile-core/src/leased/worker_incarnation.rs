//! Names of workers' lives.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// When a worker's process started, in milliseconds of Unix time by the clock of its machine.
///
/// It tells the starts of a worker apart, and nothing more: that clock may be set back, so a
/// later start may have a smaller number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StartTime(pub u64);

/// Name of one life of a worker, from the start of its process to its end.
///
/// A worker may start again under the id that it had. Whatever was known under the id (what runs,
/// what has been acknowledged, its clock, its room, that it drains) is of one life only.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkerIncarnation {
    /// The worker's id.
    pub id: Arc<str>,
    /// When this life began; `None` for a worker that does not tell: its id is new with each
    /// start.
    #[serde(rename = "born", default, skip_serializing_if = "Option::is_none")]
    pub started_at: Option<StartTime>,
}

impl WorkerIncarnation {
    /// The life of this worker that began at `born`.
    pub fn started_again_at(&self, started_at: StartTime) -> Self {
        Self {
            id: Arc::clone(&self.id),
            started_at: Some(started_at),
        }
    }

    /// Whether the worker may begin another life under the same id.
    pub fn may_restart(&self) -> bool {
        self.started_at.is_some()
    }

    /// Whether whoever began at `born` under this id is another life. A process that does not
    /// tell its birth is not known to be.
    pub fn is_other_incarnation(&self, started_at: Option<StartTime>) -> bool {
        match (self.started_at, started_at) {
            (Some(own), Some(other)) => own != other,
            _ => false,
        }
    }
}

/// The life of a worker that does not tell when it began.
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
