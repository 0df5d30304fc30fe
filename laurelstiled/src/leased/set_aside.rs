//! Counts and logs entries of other writers that cannot be read and are left out.
//!
//! An entry is read again and again for as long as it is there, so the lines of each kind are limited.

use std::fmt::Display;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use metrics::counter;

use crate::telemetry::ENTRIES_SET_ASIDE;

/// Interval in which at most [`MAX_LINES`] lines of a kind are logged.
const LOG_PERIOD: Duration = Duration::from_secs(10);
/// Maximum number of lines of a kind per [`LOG_PERIOD`].
const MAX_LINES: u32 = 5;
/// Longest part of a key or reason that is logged, in characters. Both may contain what another writer
/// wrote.
const MAX_LOGGED_CHARS: usize = 160;

/// Kind of an entry that can be left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    /// A row of the record store, or a field of it.
    Row,
    /// A gateway's record.
    Member,
    /// The record of an agent's worker.
    WorkerRecord,
    /// The operator's configuration.
    Configuration,
    /// A queue of the operator's configuration.
    Route,
    /// A number in a queue of the operator's configuration, for which the nearest usable one stands.
    RouteNumber,
    /// An answer of a worker.
    WorkerAnswer,
    /// An entry of a worker's run lists.
    WorkerEntry,
}

/// Number of kinds of entries.
const KINDS: usize = 8;

impl Entry {
    /// Name in metrics; with the suffix `_set_aside`, the event in logs.
    fn name(self) -> &'static str {
        match self {
            Self::Row => "row",
            Self::Member => "member",
            Self::WorkerRecord => "worker_record",
            Self::Configuration => "configuration",
            Self::Route => "route",
            Self::RouteNumber => "route_number",
            Self::WorkerAnswer => "worker_answer",
            Self::WorkerEntry => "worker_entries",
        }
    }
}

/// Lines of one kind in the current period.
#[derive(Clone, Copy, Debug)]
struct Lines {
    period_start: Option<Instant>,
    logged: u32,
    /// Entries that were not logged since the last line.
    suppressed: u64,
}

const NO_LINES: Lines = Lines {
    period_start: None,
    logged: 0,
    suppressed: 0,
};

static LINES: Mutex<[Lines; KINDS]> = Mutex::new([NO_LINES; KINDS]);

impl Lines {
    /// Counts an entry; returns the number of entries suppressed before it if it is to be logged.
    fn admit(&mut self, now: Instant) -> Option<u64> {
        let start = self.period_start;
        if start.is_none_or(|start| now.duration_since(start) >= LOG_PERIOD) {
            self.period_start = Some(now);
            self.logged = 0;
        }
        if self.logged >= MAX_LINES {
            self.suppressed += 1;
            return None;
        }
        self.logged += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}

/// Counts an entry that was left out or replaced by the nearest usable value, and logs it with its key, if it has a readable one, and the
/// reason.
pub fn record(entry: Entry, key: &str, reason: &dyn Display) {
    counter!(ENTRIES_SET_ASIDE, "kind" => entry.name()).increment(1);
    let mut lines = LINES.lock().unwrap_or_else(PoisonError::into_inner);
    let admitted = lines[entry as usize].admit(Instant::now());
    drop(lines);
    if let Some(suppressed) = admitted {
        let event = format!("{}_set_aside", entry.name());
        let (key, reason) = (shortened(key), shortened(&reason.to_string()));
        log::warn!(event = event.as_str(), key = key.as_str(), error = reason.as_str(), suppressed = suppressed; "unreadable entry left out, or the nearest usable value taken");
    }
}

/// The beginning of a text that others may have written.
pub fn shortened(text: &str) -> String {
    text.chars().take(MAX_LOGGED_CHARS).collect()
}
