//! Writes log lines to standard output without ever blocking the process.
//!
//! A line that does not fit into the pipe is dropped and counted. A line that was written in part
//! is completed before the next one.

use std::io::ErrorKind;
use std::sync::{Mutex, PoisonError};

use logforth::layout::JsonLayout;
use logforth::record::Record;
use logforth::{Append, Diagnostic, Error, Layout};
use metrics::counter;
use nix::fcntl::{FcntlArg, OFlag, fcntl};
use nix::unistd::write;

use crate::telemetry::LOG_LINES_DROPPED;

/// Appends JSON lines to non-blocking standard output.
#[derive(Debug, Default)]
pub struct NonBlockingStdout {
    layout: JsonLayout,
    /// Unwritten remainder of a line that was written in part.
    unwritten: Mutex<Vec<u8>>,
}

impl NonBlockingStdout {
    /// Sets standard output to non-blocking mode. If that fails, lines are still written, but
    /// writes may block.
    pub fn new() -> Self {
        let stdout = std::io::stdout();
        if let Ok(flags) = fcntl(&stdout, FcntlArg::F_GETFL) {
            let flags = OFlag::from_bits_truncate(flags) | OFlag::O_NONBLOCK;
            let _ = fcntl(&stdout, FcntlArg::F_SETFL(flags));
        }
        Self::default()
    }
}

impl Append for NonBlockingStdout {
    fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let mut line = self.layout.format(record, diagnostics)?;
        line.push(b'\n');
        let mut unwritten = self
            .unwritten
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if !unwritten.is_empty() {
            let written = write_available(&unwritten);
            unwritten.drain(..written);
        }
        if !unwritten.is_empty() {
            counter!(LOG_LINES_DROPPED).increment(1);
            return Ok(());
        }
        let written = write_available(&line);
        if written == 0 {
            counter!(LOG_LINES_DROPPED).increment(1);
        } else {
            unwritten.extend_from_slice(&line[written..]);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

/// Writes as many bytes as fit without blocking, and returns their number.
fn write_available(bytes: &[u8]) -> usize {
    loop {
        match write(std::io::stdout(), bytes) {
            Ok(written) => return written,
            Err(error) if std::io::Error::from(error).kind() == ErrorKind::Interrupted => {}
            Err(_) => return 0,
        }
    }
}
