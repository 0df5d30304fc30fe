//! Writing and reading history files.

use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use thiserror::Error;

use crate::event::{Event, Record};

/// Why a history could not be written or read.
#[derive(Debug, Error)]
pub enum HistoryError {
    /// The file could not be opened or read.
    #[error("cannot use {}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        #[source]
        source: std::io::Error,
    },
    /// A line is not an event.
    #[error("{}:{line}: not an event", path.display())]
    Line {
        /// The file.
        path: PathBuf,
        /// Number of the line, from 1.
        line: usize,
        /// Why.
        #[source]
        source: serde_json::Error,
    },
}

/// Appends events to a file, each with one write, so that a killed process
/// leaves whole lines.
#[derive(Clone, Debug)]
pub struct HistoryWriter {
    node: String,
    file: Option<Arc<Mutex<File>>>,
}

impl HistoryWriter {
    /// A writer that drops every event.
    pub fn none() -> Self {
        Self {
            node: String::new(),
            file: None,
        }
    }

    /// A writer that appends to `path` as `node`.
    ///
    /// # Errors
    /// [`HistoryError::File`] if the file cannot be opened.
    pub fn open(path: &Path, node: &str) -> Result<Self, HistoryError> {
        let file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(path)
            .map_err(|source| HistoryError::File {
                path: path.to_owned(),
                source,
            })?;
        Ok(Self {
            node: node.to_owned(),
            file: Some(Arc::new(Mutex::new(file))),
        })
    }

    /// Appends an event with the present time. A write error is dropped: the
    /// checker finds the gap.
    pub fn record(&self, event: Event) {
        let Some(file) = &self.file else {
            return;
        };
        let record = Record {
            at_micros: now_micros(),
            node: self.node.clone(),
            event,
        };
        let Ok(mut line) = serde_json::to_vec(&record) else {
            return;
        };
        line.push(b'\n');
        let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = file.write_all(&line);
    }
}

/// Reads histories and merges them in the order of their times. A last line
/// without a newline is skipped: its writer was killed.
///
/// # Errors
/// [`HistoryError`].
pub fn read_histories(paths: &[PathBuf]) -> Result<Vec<Record>, HistoryError> {
    let mut records = Vec::new();
    for path in paths {
        read_history(path, &mut records)?;
    }
    records.sort_by_key(|record| record.at_micros);
    Ok(records)
}

fn read_history(path: &Path, records: &mut Vec<Record>) -> Result<(), HistoryError> {
    let file_error = |source| HistoryError::File {
        path: path.to_owned(),
        source,
    };
    let file = File::open(path).map_err(file_error)?;
    let mut reader = BufReader::new(file);
    let mut text = String::new();
    for line in 1.. {
        text.clear();
        let read = reader.read_line(&mut text).map_err(file_error)?;
        if read == 0 || !text.ends_with('\n') {
            return Ok(());
        }
        let record = serde_json::from_str(&text).map_err(|source| HistoryError::Line {
            path: path.to_owned(),
            line,
            source,
        })?;
        records.push(record);
    }
    Ok(())
}

/// Microseconds since the epoch.
pub fn now_micros() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}
