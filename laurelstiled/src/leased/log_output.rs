//! Log lines on standard output that never block the process.
//!
//! Standard output is made non-blocking. A line that its reader has no room
//! for is dropped and counted; a line that went out in part is finished first.

use std::io::ErrorKind;
use std::sync::{Mutex, PoisonError};

use logforth::layout::JsonLayout;
use logforth::record::Record;
use logforth::{Append, Diagnostic, Error, Layout};
use metrics::counter;
use nix::fcntl::{FcntlArg, OFlag, fcntl};
use nix::unistd::write;

use crate::telemetry::LOG_LINES_DROPPED;

/// Appends JSON lines to standard output.
#[derive(Debug, Default)]
pub struct NonBlockingStdout {
    layout: JsonLayout,
    /// The rest of a line that went out in part.
    rest: Mutex<Vec<u8>>,
}

impl NonBlockingStdout {
    /// Makes standard output non-blocking. Where that is refused, lines are
    /// written all the same.
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
        let mut rest = self.rest.lock().unwrap_or_else(PoisonError::into_inner);
        if !rest.is_empty() {
            let written = write_some(&rest);
            rest.drain(..written);
        }
        if !rest.is_empty() {
            counter!(LOG_LINES_DROPPED).increment(1);
            return Ok(());
        }
        let written = write_some(&line);
        if written == 0 {
            counter!(LOG_LINES_DROPPED).increment(1);
        } else {
            rest.extend_from_slice(&line[written..]);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

/// Writes what there is room for; the number of bytes that went out.
fn write_some(bytes: &[u8]) -> usize {
    loop {
        match write(std::io::stdout(), bytes) {
            Ok(written) => return written,
            Err(error) if std::io::Error::from(error).kind() == ErrorKind::Interrupted => {}
            Err(_) => return 0,
        }
    }
}
